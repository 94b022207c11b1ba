//! Stand-in of the platform's store: a log with keyed topics, and the group that divides
//! partitions among its members.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Answer, Request, Server};
use crate::json::{self, Json};
use crate::record::Record;

pub const PARTS: usize = 16;
/// Time that an append takes in its partition (`appendMs`).
const APPEND_TIME: Duration = Duration::from_millis(3);
/// Largest record and largest sum of the records of one call (`recordBytes`, `callBytes`).
const RECORD_BYTES: usize = 262_144;
const CALL_BYTES: usize = 2_097_152;
/// Items of one answer with the newest records, and their bytes.
const PAGE: (usize, usize) = (500, 1_000_000);
/// Records of one read, bytes (`maxKb`).
const READ_BYTES: usize = 1024 * 1024;
/// Lower limit of a member's time to live (`ttlMinMs`).
const TTL_MIN_MS: u64 = 1000;
/// Appends whose repetition gets the first answer again.
const REMEMBERED: usize = 5;

#[derive(Default)]
struct Partition {
    /// All records; those before `first` are no longer read.
    first: usize,
    records: Vec<(String, Vec<u8>)>,
    newest: BTreeMap<String, (usize, Vec<u8>)>,
    epoch: Option<u64>,
    last_sequence: Option<u64>,
    recent: VecDeque<(u64, u64, usize, usize)>,
}

#[derive(Clone, Default)]
struct Assignment {
    holder: Option<String>,
    /// Member that gets the partition once its holder has released it.
    target: Option<String>,
    /// Generation that set the target.
    since: u64,
}

#[derive(Default)]
struct Group {
    generation: u64,
    members: BTreeMap<String, (Instant, Duration)>,
    parts: Vec<Assignment>,
}

#[derive(Default)]
struct State {
    partitions: HashMap<(String, u64), Partition>,
    group: Group,
    /// Connections of an instance that carry a read of a topic fall silent: instance, topic,
    /// partition, and when; set by a case and taken by the next such read.
    silence_next_read: Option<(usize, String, u64)>,
    /// When that happened.
    silenced_at: Option<Instant>,
    refused_appends: usize,
    /// Until when all calls are refused.
    down_until: Option<Instant>,
}

/// The store.
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    /// One lock for each partition, as it processes its appends one at a time.
    queues: Mutex<HashMap<(String, u64), Arc<Mutex<()>>>>,
    record: Arc<Record>,
}

impl Store {
    pub fn new(record: Arc<Record>) -> Arc<Store> {
        let mut state = State::default();
        state.group.parts = vec![Assignment::default(); PARTS];
        Arc::new(Store {
            state: Mutex::new(state),
            changed: Condvar::new(),
            queues: Mutex::default(),
            record,
        })
    }

    /// Serves the store at an address for one instance.
    pub fn serve(self: &Arc<Store>, addr: SocketAddr, instance: usize) -> std::io::Result<Server> {
        let store = self.clone();
        Server::start(addr, move |request| store.handle(instance, request))
    }

    /// Writes a record of the operator or of a runner.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        let partition = state.partitions.entry((topic.to_owned(), 0)).or_default();
        partition.push(key.to_owned(), value.as_bytes().to_vec());
        self.changed.notify_all();
    }

    /// Name of the member that holds a partition.
    pub fn holder(&self, part: u64) -> Option<String> {
        let mut state = self.state.lock().unwrap();
        state.group.expire();
        state.group.parts[part as usize].holder.clone()
    }

    /// Partition of a topic that has ever had a record with this key.
    pub fn partition_with(&self, topic: &str, key: &str) -> Option<u64> {
        let state = self.state.lock().unwrap();
        let mut found = state.partitions.iter().filter(|((name, _), _)| name == topic);
        found
            .find(|(_, it)| it.records.iter().any(|(name, _)| name == key))
            .map(|((_, part), _)| *part)
    }

    /// Has the connection fall silent on which an instance next reads a partition.
    pub fn silence_next_read(&self, instance: usize, topic: &str, part: u64) {
        let mut state = self.state.lock().unwrap();
        state.silenced_at = None;
        state.silence_next_read = Some((instance, topic.to_owned(), part));
    }

    /// When a connection has fallen silent.
    pub fn silenced_at(&self) -> Option<Instant> {
        self.state.lock().unwrap().silenced_at
    }

    /// Refuses all calls for a time. The members' times to live pause meanwhile.
    pub fn go_down(&self, time: Duration) {
        let mut state = self.state.lock().unwrap();
        state.down_until = Some(Instant::now() + time);
        for (joined, _) in state.group.members.values_mut() {
            *joined += time;
        }
        self.record
            .say(format!("trouble: the store answers 503 for {:.1} s", time.as_secs_f64()));
        self.changed.notify_all();
    }

    fn is_down(&self) -> bool {
        self.state.lock().unwrap().is_down()
    }

    /// Deletes all records of a topic but the newest of each key.
    pub fn forget_history(&self, topic: &str) {
        let mut state = self.state.lock().unwrap();
        if let Some(partition) = state.partitions.get_mut(&(topic.to_owned(), 0)) {
            partition.first = partition.records.len();
            self.record.say(format!(
                "trouble: the store deletes the records of {topic} but the newest of each key"
            ));
        }
        self.changed.notify_all();
    }

    /// Number of appends refused for their size.
    pub fn refused_appends(&self) -> usize {
        self.state.lock().unwrap().refused_appends
    }

    fn handle(&self, instance: usize, request: &Request) -> Answer {
        if self.is_down() {
            return send(503, "{}".to_owned());
        }
        match request.path.as_str() {
            "/log-append" => self.append(instance, request),
            "/log-read" => self.read(instance, request),
            "/log-newest" => self.newest(request),
            "/log-join" => {
                let answer = self.state.lock().unwrap().group.join(&json::parse(&request.body));
                send(200, answer)
            }
            "/log-leave" => match self.state.lock().unwrap().group.leave(&json::parse(&request.body)) {
                true => send(200, "{}".to_owned()),
                false => send(409, "{}".to_owned()),
            },
            "/log-owners" => {
                let mut state = self.state.lock().unwrap();
                state.group.expire();
                let rows: Vec<String> = state.group.parts.iter().enumerate().filter_map(owner_row).collect();
                send(200, format!("{{\"owners\":[{}]}}", rows.join(",")))
            }
            _ => send(400, "{}".to_owned()),
        }
    }

    fn append(&self, instance: usize, request: &Request) -> Answer {
        let name = (request.text("topic").to_owned(), request.number("part"));
        let records = decode(&request.body);
        let total: usize = records.iter().map(|(_, _, size)| size).sum();
        let largest = records.iter().map(|(_, _, size)| *size).max().unwrap_or(0);
        if CALL_BYTES < total || RECORD_BYTES < largest {
            let mut state = self.state.lock().unwrap();
            state.refused_appends += 1;
            if state.refused_appends <= 20 || state.refused_appends % 50 == 0 {
                self.record.note(format!(
                    "store: refused append {} of entry-{instance} to {} {}: {} records, {total} bytes, the largest {largest}",
                    state.refused_appends,
                    name.0,
                    name.1,
                    records.len()
                ));
            }
            return send(413, "{\"error\":\"the records of one call are too large\"}".to_owned());
        }
        let queue = self.queues.lock().unwrap().entry(name.clone()).or_default().clone();
        let _turn = queue.lock().unwrap();
        thread::sleep(APPEND_TIME);
        let mut state = self.state.lock().unwrap();
        let partition = state.partitions.entry(name).or_default();
        if !request.text("producer").is_empty() {
            let (epoch, sequence) = (request.number("epoch"), request.number("sequence"));
            if partition.epoch.is_some_and(|it| epoch < it) {
                return send(409, "{\"reason\":\"fenced\"}".to_owned());
            }
            if records.is_empty() {
                if partition.epoch != Some(epoch) {
                    (partition.epoch, partition.last_sequence) = (Some(epoch), None);
                }
                return send(200, offsets(partition.records.len(), partition.records.len()));
            }
            if let Some((_, _, first, end)) = partition.recent.iter().find(|it| (it.0, it.1) == (epoch, sequence)) {
                return send(200, offsets(*first, *end));
            }
            let expected = partition.last_sequence.filter(|_| partition.epoch == Some(epoch)).map(|it| it + 1);
            if let Some(expected) = expected.filter(|it| *it != sequence) {
                return send(409, format!("{{\"reason\":\"seq\",\"sequence\":{expected}}}"));
            }
            (partition.epoch, partition.last_sequence) = (Some(epoch), Some(sequence));
            let first = partition.records.len();
            partition.recent.push_back((epoch, sequence, first, first + records.len()));
            if REMEMBERED < partition.recent.len() {
                partition.recent.pop_front();
            }
        }
        let first = partition.records.len();
        for (key, value, _) in records {
            partition.push(key, value);
        }
        let end = partition.records.len();
        self.changed.notify_all();
        send(200, offsets(first, end))
    }

    fn read(&self, instance: usize, request: &Request) -> Answer {
        let name = (request.text("topic").to_owned(), request.number("part"));
        let from = request.number("from") as usize;
        let deadline = Instant::now() + Duration::from_millis(request.number("waitMs"));
        let mut state = self.state.lock().unwrap();
        let is_silenced = |it: &(usize, String, u64)| *it == (instance, name.0.clone(), name.1) && request.number("waitMs") != 0;
        if state.silence_next_read.as_ref().is_some_and(is_silenced) {
            state.silence_next_read = None;
            state.silenced_at = Some(Instant::now());
            self.record.say(format!(
                "trouble: the connection on which entry-{instance} reads {} {} falls silent",
                name.0, name.1
            ));
            return Answer::Silence;
        }
        loop {
            let end = state.partitions.get(&name).map_or(0, |it| it.records.len());
            if state.is_down() {
                return send(503, "{}".to_owned());
            }
            let first = state.partitions.get(&name).map_or(0, |it| it.first);
            if from < first {
                return send(410, format!("{{\"firstOffset\":{first}}}"));
            }
            let now = Instant::now();
            if from < end || deadline <= now {
                let mut body = Vec::new();
                body.extend((end as u64).to_be_bytes());
                body.extend((first as u64).to_be_bytes());
                let records = state.partitions.get(&name).map_or(&[][..], |it| &it.records[from.min(end)..]);
                for (key, value) in records {
                    if READ_BYTES < body.len() + value.len() && 16 < body.len() {
                        break;
                    }
                    body.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend(key.as_bytes());
                    body.extend(value);
                }
                return Answer::Send(200, body);
            }
            state = self.changed.wait_timeout(state, deadline - now).unwrap().0;
        }
    }

    fn newest(&self, request: &Request) -> Answer {
        let name = (request.text("topic").to_owned(), request.number("part"));
        let after = request.text("after");
        let state = self.state.lock().unwrap();
        let Some(partition) = state.partitions.get(&name) else {
            return send(200, "{\"items\":[],\"hasMore\":false,\"endOffset\":0}".to_owned());
        };
        let mut items = Vec::new();
        let (mut bytes, mut has_more) = (0, false);
        for (key, (offset, value)) in partition.newest.iter().filter(|(key, _)| after < key.as_str()) {
            if PAGE.0 <= items.len() || PAGE.1 < bytes + value.len() && !items.is_empty() {
                has_more = true;
                break;
            }
            bytes += value.len();
            let key = Json::Text(key.clone());
            items.push(format!("{{\"key\":{key},\"value\":\"{}\",\"offset\":{offset}}}", base64(value)));
        }
        let end = partition.records.len();
        send(
            200,
            format!("{{\"items\":[{}],\"hasMore\":{has_more},\"endOffset\":{end}}}", items.join(",")),
        )
    }
}

impl State {
    fn is_down(&self) -> bool {
        self.down_until.is_some_and(|it| Instant::now() < it)
    }
}

impl Partition {
    fn push(&mut self, key: String, value: Vec<u8>) {
        let offset = self.records.len();
        match value.is_empty() {
            true => self.newest.remove(&key),
            false => self.newest.insert(key.clone(), (offset, value.clone())),
        };
        self.records.push((key, value));
    }
}

impl Group {
    /// Removes members whose time to live has passed.
    fn expire(&mut self) {
        let now = Instant::now();
        let count = self.members.len();
        self.members.retain(|_, (joined, ttl)| now <= *joined + *ttl);
        if self.members.len() != count {
            self.rebalance();
        }
    }

    /// Divides the partitions evenly; as many as possible stay where they are.
    fn rebalance(&mut self) {
        self.generation += 1;
        let quota = PARTS.div_ceil(self.members.len().max(1));
        let mut counts: BTreeMap<String, usize> = self.members.keys().map(|it| (it.clone(), 0)).collect();
        let mut targets = Vec::new();
        for part in &self.parts {
            let kept = part.target.clone().filter(|it| counts.get(it).is_some_and(|count| *count < quota));
            if let Some(count) = kept.as_ref().and_then(|it| counts.get_mut(it)) {
                *count += 1;
            }
            targets.push(kept);
        }
        for target in targets.iter_mut().filter(|it| it.is_none()) {
            if let Some((name, count)) = counts.iter_mut().min_by_key(|it| *it.1) {
                *count += 1;
                *target = Some(name.clone());
            }
        }
        for (part, target) in self.parts.iter_mut().zip(targets) {
            if part.target != target {
                part.since = self.generation;
                part.target = target;
            }
            if part.holder.as_ref().is_none_or(|it| !self.members.contains_key(it)) {
                part.holder.clone_from(&part.target);
            }
        }
    }

    fn join(&mut self, body: &Json) -> String {
        self.expire();
        let name = body.get("member").text().to_owned();
        let ttl = Duration::from_millis(body.get("ttlMs").number().max(TTL_MIN_MS));
        if self.members.insert(name.clone(), (Instant::now(), ttl)).is_none() {
            self.rebalance();
        }
        let named = body.get("generation").number();
        let is_released = |it: &Assignment| it.holder.as_ref() == Some(&name) && it.target != it.holder && it.since <= named;
        if self.parts.iter().any(is_released) {
            self.generation += 1;
        }
        for part in self.parts.iter_mut().filter(|it| is_released(it)) {
            part.holder.clone_from(&part.target);
        }
        let held = self
            .parts
            .iter()
            .enumerate()
            .filter(|(_, it)| it.holder.as_ref() == Some(&name) && it.target == it.holder);
        let rows: Vec<String> = held.map(|(part, _)| format!("[\"keyed.jobs\",{part},0]")).collect();
        format!("{{\"generation\":{},\"parts\":[{}]}}", self.generation, rows.join(","))
    }

    fn leave(&mut self, body: &Json) -> bool {
        let has_left = self.members.remove(body.get("member").text()).is_some();
        if has_left {
            self.rebalance();
        }
        has_left
    }
}

fn owner_row((part, assignment): (usize, &Assignment)) -> Option<String> {
    let holder = Json::Text(assignment.holder.clone()?);
    Some(format!("[\"keyed.jobs\",{part},{holder},0]"))
}

fn send(status: u16, body: String) -> Answer {
    Answer::Send(status, body.into_bytes())
}

fn offsets(first: usize, end: usize) -> String {
    format!("{{\"offset\":{first},\"endOffset\":{end}}}")
}

/// Decodes the records of an append: key, value and size of each.
fn decode(body: &[u8]) -> Vec<(String, Vec<u8>, usize)> {
    let mut records = Vec::new();
    let mut rest = body;
    while let Some((length, tail)) = rest.split_first_chunk::<4>() {
        let length = u32::from_be_bytes(*length) as usize;
        let (record, tail) = tail.split_at(length.min(tail.len()));
        rest = tail;
        if let Some((key_length, content)) = record.split_first() {
            let (key, value) = content.split_at((*key_length as usize).min(content.len()));
            records.push((String::from_utf8_lossy(key).into_owned(), value.to_vec(), record.len()));
        }
    }
    records
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len() * 4 / 3 + 4);
    for group in bytes.chunks(3) {
        let number = group.iter().fold(0_u32, |sum, byte| sum << 8 | u32::from(*byte)) << (8 * (3 - group.len()));
        for index in 0..4 {
            match index <= group.len() {
                true => text.push(DIGITS[(number >> (18 - 6 * index) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}
