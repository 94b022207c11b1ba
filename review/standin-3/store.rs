//! The platform's store: a log with topics, keyed topics and groups, as PROTOCOL.md describes it.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Request, Response, response};
use crate::json::{self, Json, quote};

pub const PARTS: u32 = 16;
const APPEND_TIME: Duration = Duration::from_millis(3);

#[derive(Default)]
struct Producer {
    epoch: u64,
    /// Sequence number of the next append; any one after the epoch was set by an empty append.
    next: Option<u64>,
    last: Vec<(u64, String)>,
}

#[derive(Default)]
struct Part {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (u64, Vec<u8>)>,
    producers: HashMap<String, Producer>,
}

struct Member {
    expires: Instant,
    /// Generation that the member named last.
    generation: u64,
}

#[derive(Default)]
struct Group {
    topic: String,
    generation: u64,
    members: BTreeMap<String, Member>,
    /// Member that each partition shall have.
    target: BTreeMap<u32, String>,
    /// Member that has it, until it has released it.
    held: BTreeMap<u32, String>,
}

#[derive(Default)]
struct State {
    parts: HashMap<(String, u32), Part>,
    groups: HashMap<String, Group>,
}

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    /// One append at a time is carried out for each partition; a single lock is stricter.
    appends: Mutex<HashMap<(String, u32), std::sync::Arc<Mutex<()>>>>,
    changed: Condvar,
}

impl Store {
    pub fn handle(&self, request: &Request) -> Response {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/log-append") => self.append(request),
            ("GET", "/log-read") => self.read(request),
            ("GET", "/log-newest") => self.newest(request),
            ("POST", "/log-join") => self.join(&request.text()),
            ("POST", "/log-leave") => self.leave(&request.text()),
            ("POST", "/log-commit" | "/log-trim") => response(200, "{}"),
            ("GET", "/log-owners") => self.owners(request.parameter("group")),
            _ => response(404, "{}"),
        }
    }

    /// Writes a record of the operator or of a runner; an empty value removes the key.
    pub fn write(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend(key.bytes());
        record.extend(value.bytes());
        let mut state = self.state.lock().unwrap();
        add(state.parts.entry((topic.to_owned(), 0)).or_default(), topic, vec![record]);
        drop(state);
        self.changed.notify_all();
    }

    /// Partition of a topic that holds a key, or held it.
    pub fn partition_with(&self, topic: &str, key: &str) -> Option<u32> {
        let state = self.state.lock().unwrap();
        let mut parts = state.parts.iter().filter(|((it, _), _)| it == topic);
        let has_key = |part: &Part| part.records.iter().any(|it| 1 < it.len() && it[1..].starts_with(key.as_bytes()));
        parts.find(|(_, part)| has_key(part)).map(|((_, number), _)| *number)
    }

    /// Member that has a partition.
    pub fn holder(&self, group: &str, part: u32) -> Option<String> {
        let mut state = self.state.lock().unwrap();
        let group = state.groups.get_mut(group)?;
        group.expire();
        group.held.get(&part).cloned()
    }

    /// Number of partitions that each member has.
    pub fn holders(&self, group: &str) -> BTreeMap<String, usize> {
        let mut state = self.state.lock().unwrap();
        let mut counts = BTreeMap::new();
        if let Some(group) = state.groups.get_mut(group) {
            group.expire();
            group.held.values().for_each(|it| *counts.entry(it.clone()).or_default() += 1);
        }
        counts
    }

    fn append(&self, request: &Request) -> Response {
        let (topic, number) = (request.parameter("topic").to_owned(), request.number("part").unwrap_or(0) as u32);
        if topic == "keyed.op" || topic == "keyed.servers" {
            return response(403, "{}");
        }
        let Some(records) = split_records(&request.body) else {
            return response(400, "{}");
        };
        let turn = self.appends.lock().unwrap().entry((topic.clone(), number)).or_default().clone();
        let _turn = turn.lock().unwrap();
        std::thread::sleep(APPEND_TIME);
        let mut state = self.state.lock().unwrap();
        let part = state.parts.entry((topic.clone(), number)).or_default();
        if request.number("at").is_some_and(|it| it != part.records.len() as u64) {
            return response(412, format!("{{\"endOffset\":{}}}", part.records.len()));
        }
        let sequence = request.number("sequence").unwrap_or(0);
        let name = request.parameter("producer").to_owned();
        if !name.is_empty() {
            let epoch = request.number("epoch").unwrap_or(0);
            let producer = part.producers.entry(name.clone()).or_default();
            if epoch < producer.epoch {
                return response(409, "{\"reason\":\"fenced\"}");
            }
            if producer.epoch < epoch {
                *producer = Producer {
                    epoch,
                    ..Producer::default()
                };
            }
            if records.is_empty() {
                let end = part.records.len();
                return response(200, format!("{{\"offset\":{end},\"endOffset\":{end}}}"));
            }
            if let Some((_, answer)) = producer.last.iter().find(|(it, _)| *it == sequence) {
                return response(200, answer.clone());
            }
            if let Some(next) = producer.next.filter(|it| *it != sequence) {
                return response(409, format!("{{\"reason\":\"seq\",\"sequence\":{next}}}"));
            }
        }
        let offset = part.records.len();
        add(part, &topic, records);
        let answer = format!("{{\"offset\":{offset},\"endOffset\":{}}}", part.records.len());
        if let Some(producer) = part.producers.get_mut(&name) {
            producer.next = Some(sequence + 1);
            producer.last.push((sequence, answer.clone()));
            let excess = producer.last.len().saturating_sub(5);
            producer.last.drain(..excess);
        }
        drop(state);
        self.changed.notify_all();
        response(200, answer)
    }

    fn read(&self, request: &Request) -> Response {
        let key = (request.parameter("topic").to_owned(), request.number("part").unwrap_or(0) as u32);
        let from = request.number("from").unwrap_or(0) as usize;
        let until = Instant::now() + Duration::from_millis(request.number("waitMs").unwrap_or(0).min(30_000));
        let mut state = self.state.lock().unwrap();
        while state.parts.get(&key).is_none_or(|it| it.records.len() <= from) {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
        let records = state.parts.get(&key).map_or(&[][..], |it| &it.records);
        let mut body = (records.len() as u64).to_be_bytes().to_vec();
        body.extend(0_u64.to_be_bytes());
        for record in records.iter().skip(from) {
            if (1 << 20) < body.len() + record.len() {
                break;
            }
            body.extend((record.len() as u32).to_be_bytes());
            body.extend(record);
        }
        response(200, body)
    }

    fn newest(&self, request: &Request) -> Response {
        let key = (request.parameter("topic").to_owned(), request.number("part").unwrap_or(0) as u32);
        let state = self.state.lock().unwrap();
        let Some(part) = state.parts.get(&key) else {
            return response(200, "{\"items\":[],\"hasMore\":false,\"endOffset\":0}");
        };
        let after = request.parameter("after");
        let mut later = part.newest.iter().filter(|(it, _)| after < it.as_str());
        let item = |(key, (offset, value)): (&String, &(u64, Vec<u8>))| {
            format!("{{\"key\":{},\"value\":\"{}\",\"offset\":{offset}}}", quote(key), base64(value))
        };
        let items: Vec<String> = later.by_ref().take(500).map(item).collect();
        let has_more = later.next().is_some();
        let end = part.records.len();
        let body = format!("{{\"items\":[{}],\"hasMore\":{has_more},\"endOffset\":{end}}}", items.join(","));
        response(200, body)
    }

    fn join(&self, body: &str) -> Response {
        let Some(body) = json::parse(body) else {
            return response(400, "{}");
        };
        let member = body.get("member").text().to_owned();
        let ttl = Duration::from_millis(body.get("ttlMs").number().unwrap_or(2000).max(1000));
        let generation = body.get("generation").number().unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        let group = state.groups.entry(body.get("group").text().to_owned()).or_default();
        if let Json::List(topics) = body.get("topics") {
            group.topic = topics.first().map_or("", Json::text).to_owned();
        }
        group.expire();
        let is_new = !group.members.contains_key(&member);
        let expires = Instant::now() + ttl;
        group.members.insert(member.clone(), Member { expires, generation });
        if is_new {
            group.deal();
        }
        group.release();
        let listed = group
            .held
            .iter()
            .filter(|(part, it)| **it == member && group.target.get(*part) == Some(&member));
        let parts: Vec<String> = listed.map(|(part, _)| format!("[{},{part},0]", quote(&group.topic))).collect();
        let (generation, ttl) = (group.generation, ttl.as_millis());
        response(
            200,
            format!("{{\"generation\":{generation},\"ttlMs\":{ttl},\"parts\":[{}]}}", parts.join(",")),
        )
    }

    fn leave(&self, body: &str) -> Response {
        let Some(body) = json::parse(body) else {
            return response(400, "{}");
        };
        let mut state = self.state.lock().unwrap();
        if let Some(group) = state.groups.get_mut(body.get("group").text()) {
            group.remove(&[body.get("member").text().to_owned()]);
        }
        response(200, "{}")
    }

    fn owners(&self, group: &str) -> Response {
        let mut state = self.state.lock().unwrap();
        let Some(group) = state.groups.get_mut(group) else {
            return response(200, "{\"parts\":[]}");
        };
        group.expire();
        let row = |(part, member): (&u32, &String)| format!("[{},{part},{},0]", quote(&group.topic), quote(member));
        let rows: Vec<String> = group.held.iter().map(row).collect();
        response(200, format!("{{\"parts\":[{}]}}", rows.join(",")))
    }
}

impl Group {
    fn expire(&mut self) {
        let now = Instant::now();
        let expired: Vec<String> = self
            .members
            .iter()
            .filter(|(_, it)| it.expires < now)
            .map(|(name, _)| name.clone())
            .collect();
        self.remove(&expired);
    }

    fn remove(&mut self, names: &[String]) {
        let before = self.members.len();
        self.members.retain(|name, _| !names.contains(name));
        if self.members.len() != before {
            self.held.retain(|_, it| !names.contains(it));
            self.deal();
            self.release();
        }
    }

    /// Deals the partitions out evenly, and moves as few as that takes.
    fn deal(&mut self) {
        self.generation += 1;
        self.target.retain(|_, it| self.members.contains_key(it));
        if self.members.is_empty() {
            return;
        }
        let most = (PARTS as usize).div_ceil(self.members.len());
        let least = PARTS as usize / self.members.len();
        let mut counts: BTreeMap<String, usize> = self.members.keys().map(|it| (it.clone(), 0)).collect();
        let mut free = Vec::new();
        for part in 0..PARTS {
            match self.target.get(&part) {
                Some(member) if counts[member] < most => *counts.get_mut(member).unwrap() += 1,
                _ => free.push(part),
            }
        }
        let too_few: usize = counts.values().map(|it| least.saturating_sub(*it)).sum();
        if free.len() < too_few {
            let mut wanted = too_few - free.len();
            for part in 0..PARTS {
                let Some(member) = self.target.get(&part).filter(|_| !free.contains(&part) && wanted != 0) else {
                    continue;
                };
                if least < counts[member] {
                    *counts.get_mut(member).unwrap() -= 1;
                    free.push(part);
                    wanted -= 1;
                }
            }
        }
        for part in free {
            let (member, _) = counts.iter().min_by_key(|(_, it)| **it).unwrap();
            let member = member.clone();
            *counts.get_mut(&member).unwrap() += 1;
            self.target.insert(part, member);
        }
    }

    /// Gives partitions to their next members that the earlier ones have released: these have joined
    /// at the generation of the deal or a later one, or are gone.
    fn release(&mut self) {
        let mut free = Vec::new();
        for (part, target) in &self.target {
            let is_free = match self.held.get(part) {
                Some(holder) if holder == target => continue,
                Some(holder) => self.members.get(holder).is_none_or(|it| self.generation <= it.generation),
                None => true,
            };
            if is_free {
                free.push((*part, target.clone()));
            }
        }
        if !free.is_empty() {
            self.generation += 1;
            self.held.extend(free);
        }
    }
}

fn add(part: &mut Part, topic: &str, records: Vec<Vec<u8>>) {
    for record in records {
        let offset = part.records.len() as u64;
        if topic.starts_with("keyed.") && !record.is_empty() {
            let length = usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..1 + length]).into_owned();
            let value = record[1 + length..].to_vec();
            match value.is_empty() {
                true => _ = part.newest.remove(&key),
                false => _ = part.newest.insert(key, (offset, value)),
            }
        }
        part.records.push(record);
    }
}

fn split_records(mut body: &[u8]) -> Option<Vec<Vec<u8>>> {
    let mut records = Vec::new();
    while !body.is_empty() {
        let length = u32::from_be_bytes(body.get(..4)?.try_into().ok()?) as usize;
        records.push(body.get(4..4 + length)?.to_vec());
        body = &body[4 + length..];
    }
    Some(records)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0_u32, |word, it| word << 8 | u32::from(*it)) << (8 * (3 - chunk.len()));
        for digit in 0..4 {
            match digit <= chunk.len() {
                true => text.push(DIGITS[(word >> (18 - 6 * digit)) as usize & 63] as char),
                false => text.push('='),
            }
        }
    }
    text
}
