//! Stand-in of the platform's store: partitions with epochs and sequence numbers, the newest
//! record of each key, and the group that divides partitions among its members.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Request, Response, Silence};
use crate::json::{Json, list, number, object, text};

pub const PARTS: usize = 16;
/// Time that a partition takes for an append.
const APPEND_TIME: Duration = Duration::from_millis(3);
/// Bytes that a partition takes in a second.
const PART_RATE: f64 = 20e6;
/// Bytes that a partition retains, and from which on the store takes no more.
const PART_BYTES: usize = 200_000_000;
const STORE_BYTES: usize = 400_000_000;
const MIN_TTL: Duration = Duration::from_secs(1);
/// Most records of one answer to a read, and to a read of the newest ones.
const PAGE: usize = 500;
const PAGE_BYTES: usize = 1 << 20;
/// Number of appends whose repetition gets the first answer again.
const REMEMBERED: usize = 5;

#[derive(Default)]
struct Partition {
    records: Vec<(String, Vec<u8>)>,
    /// Offset of the first record that is retained, and the bytes from there on.
    first: usize,
    bytes: usize,
    newest: BTreeMap<String, (usize, Vec<u8>)>,
    epoch: u64,
    /// Last sequence number within the epoch, if there was one.
    sequence: Option<u64>,
    recent: VecDeque<((u64, u64), (usize, usize))>,
}

struct Member {
    ttl: Duration,
    last_join: Instant,
}

#[derive(Clone, Default)]
struct Assignment {
    holder: Option<String>,
    /// Member that gets the partition once the holder has released it.
    target: Option<String>,
    /// Generation that set the target.
    since: u64,
}

#[derive(Default)]
struct Group {
    generation: u64,
    members: BTreeMap<String, Member>,
    parts: Vec<Assignment>,
}

#[derive(Default)]
struct State {
    partitions: HashMap<(String, u64), Partition>,
    group: Group,
    busy: HashMap<(String, u64), Arc<Mutex<()>>>,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    pub silence: Silence,
}

impl Store {
    pub fn start(addr: SocketAddr) -> Arc<Store> {
        let store = Arc::new(Store {
            state: Mutex::default(),
            changed: Condvar::new(),
            silence: Silence::default(),
        });
        let server = store.clone();
        http::serve(addr, store.silence.clone(), move |request| server.handle(&request));
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|it| it.into_inner())
    }

    /// Writes a record as the operator or a runner does; without a value the key is dropped.
    pub fn put(&self, topic: &str, key: &str, value: Option<Json>) {
        let value = value.map(|it| it.to_string().into_bytes()).unwrap_or_default();
        self.lock().partition(topic, 0).push(key.to_owned(), value);
        self.changed.notify_all();
    }

    fn handle(&self, request: &Request) -> Response {
        let place = (request.param("topic").to_owned(), request.param("part").parse().unwrap_or(0));
        match request.path.as_str() {
            "/log-append" => self.append(request, place),
            "/log-read" => self.read(request, place),
            "/log-newest" => self.newest(request, place),
            "/log-join" => http::json(200, self.lock().group.join(&request.json())),
            "/log-leave" => match self.lock().group.leave(request.json().text("member")) {
                true => http::json(200, object([])),
                false => http::json(409, object([])),
            },
            "/log-owners" => {
                let mut state = self.lock();
                state.group.expire();
                let rows = state.group.parts.iter().enumerate();
                let rows = rows.filter_map(|(part, it)| {
                    let holder = it.holder.clone()?;
                    Some(list([text("keyed.jobs"), number(part as u64), text(holder), number(0)]))
                });
                let rows = list(rows);
                http::json(200, rows)
            }
            _ => http::json(404, object([])),
        }
    }

    fn append(&self, request: &Request, place: (String, u64)) -> Response {
        if place.0 == "keyed.op" || place.0 == "keyed.servers" {
            return http::json(403, object([]));
        }
        let turn = self.lock().busy.entry(place.clone()).or_default().clone();
        let _turn = turn.lock().unwrap_or_else(|it| it.into_inner());
        thread::sleep(APPEND_TIME + Duration::from_secs_f64(request.body.len() as f64 / PART_RATE));
        let mut state = self.lock();
        if STORE_BYTES <= state.bytes() + request.body.len() && !request.body.is_empty() {
            return http::json(507, object([]));
        }
        let response = state.partition(&place.0, place.1).append(request);
        drop(state);
        self.changed.notify_all();
        response
    }

    fn read(&self, request: &Request, place: (String, u64)) -> Response {
        let from: usize = request.param("from").parse().unwrap_or(0);
        let wait = Duration::from_millis(request.param("waitMs").parse().unwrap_or(0).min(30_000));
        let deadline = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            let partition = state.partition(&place.0, place.1);
            let now = Instant::now();
            if from < partition.first {
                let body = object([("firstOffset", number(partition.first as u64))]);
                return http::json(410, body);
            }
            if from < partition.records.len() || deadline <= now {
                let mut body = Vec::new();
                body.extend((partition.records.len() as u64).to_be_bytes());
                body.extend((partition.first as u64).to_be_bytes());
                for (key, value) in partition.records.iter().skip(from).take(PAGE) {
                    if PAGE_BYTES < body.len() {
                        break;
                    }
                    body.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend(key.as_bytes());
                    body.extend(value);
                }
                return Response { status: 200, body };
            }
            state = self
                .changed
                .wait_timeout(state, deadline - now)
                .unwrap_or_else(|it| it.into_inner())
                .0;
        }
    }

    fn newest(&self, request: &Request, place: (String, u64)) -> Response {
        let mut state = self.lock();
        let partition = state.partition(&place.0, place.1);
        let after = request.param("after");
        let later = partition.newest.iter().filter(|(key, _)| after < key.as_str());
        let mut later = later.peekable();
        let (mut items, mut bytes) = (Vec::new(), 0);
        while let Some((key, (offset, value))) = later.next_if(|_| items.len() < PAGE && bytes <= PAGE_BYTES) {
            bytes += value.len();
            items.push(object([
                ("key", text(key.as_str())),
                ("value", text(base64(value))),
                ("offset", number(*offset as u64)),
            ]));
        }
        let has_more = later.peek().is_some();
        let end = partition.records.len() as u64;
        let body = object([
            ("items", Json::List(items)),
            ("hasMore", Json::Bool(has_more)),
            ("endOffset", number(end)),
        ]);
        http::json(200, body)
    }
}

impl State {
    /// Bytes that are stored in all partitions.
    fn bytes(&self) -> usize {
        self.partitions.values().map(|it| it.bytes).sum()
    }

    fn partition(&mut self, topic: &str, part: u64) -> &mut Partition {
        self.partitions.entry((topic.to_owned(), part)).or_default()
    }
}

impl Partition {
    fn push(&mut self, key: String, value: Vec<u8>) {
        match value.is_empty() {
            true => _ = self.newest.remove(&key),
            false => _ = self.newest.insert(key.clone(), (self.records.len(), value.clone())),
        }
        self.bytes += record_bytes(&key, &value);
        self.records.push((key, value));
        while PART_BYTES < self.bytes {
            let (key, value) = &mut self.records[self.first];
            self.bytes -= record_bytes(key, value);
            (*key, *value) = (String::new(), Vec::new());
            self.first += 1;
        }
    }

    fn append(&mut self, request: &Request) -> Response {
        let stored = |offset: usize, end: usize| {
            let body = object([("offset", number(offset as u64)), ("endOffset", number(end as u64))]);
            http::json(200, body)
        };
        let records = decode(&request.body);
        if !request.param("producer").is_empty() {
            let epoch: u64 = request.param("epoch").parse().unwrap_or(0);
            let sequence: u64 = request.param("sequence").parse().unwrap_or(0);
            if epoch < self.epoch {
                return http::json(409, object([("reason", text("fenced"))]));
            }
            if self.epoch < epoch {
                (self.epoch, self.sequence) = (epoch, None);
            }
            if records.is_empty() {
                return stored(self.records.len(), self.records.len());
            }
            if let Some((_, (offset, end))) = self.recent.iter().find(|it| it.0 == (epoch, sequence)) {
                return stored(*offset, *end);
            }
            if let Some(last) = self.sequence
                && sequence != last + 1
            {
                let body = object([("reason", text("seq")), ("sequence", number(last + 1))]);
                return http::json(409, body);
            }
            self.sequence = Some(sequence);
            let end = self.records.len() + records.len();
            self.recent.push_back(((epoch, sequence), (self.records.len(), end)));
            if REMEMBERED < self.recent.len() {
                self.recent.pop_front();
            }
        }
        let offset = self.records.len();
        for (key, value) in records {
            self.push(key, value);
        }
        stored(offset, self.records.len())
    }
}

impl Group {
    /// Removes members that have sent nothing for their time to live.
    fn expire(&mut self) {
        let now = Instant::now();
        let count = self.members.len();
        self.members.retain(|_, it| now <= it.last_join + it.ttl);
        if self.members.len() != count {
            self.rebalance();
        }
    }

    /// Divides the partitions evenly; as many as possible stay where they are.
    fn rebalance(&mut self) {
        self.generation += 1;
        self.parts.resize(PARTS, Assignment::default());
        let quota = PARTS.div_ceil(self.members.len().max(1));
        let mut counts: BTreeMap<String, usize> = self.members.keys().map(|it| (it.clone(), 0)).collect();
        let mut targets: Vec<Option<String>> = Vec::new();
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
                (part.since, part.target) = (self.generation, target);
            }
            if part.holder.as_ref().is_none_or(|it| !self.members.contains_key(it)) {
                part.holder.clone_from(&part.target);
            }
        }
    }

    fn join(&mut self, body: &Json) -> Json {
        self.expire();
        let name = body.text("member");
        let ttl = Duration::from_millis(body.number("ttlMs").unwrap_or(0)).max(MIN_TTL);
        let member = Member {
            ttl,
            last_join: Instant::now(),
        };
        if self.members.insert(name.to_owned(), member).is_none() {
            self.rebalance();
        }
        let named = body.number("generation").unwrap_or(0);
        let is_released = |it: &Assignment| it.holder.as_deref() == Some(name) && it.target != it.holder && it.since <= named;
        if self.parts.iter().any(is_released) {
            self.generation += 1;
        }
        for part in self.parts.iter_mut().filter(|it| is_released(it)) {
            part.holder.clone_from(&part.target);
        }
        let held = self.parts.iter().enumerate();
        let held = held.filter(|(_, it)| it.holder.as_deref() == Some(name) && it.target == it.holder);
        let rows = list(held.map(|(part, _)| list([text("keyed.jobs"), number(part as u64), number(0)])));
        object([
            ("generation", number(self.generation)),
            ("ttlMs", number(ttl.as_millis() as u64)),
            ("parts", rows),
        ])
    }

    fn leave(&mut self, name: &str) -> bool {
        self.expire();
        let is_member = self.members.remove(name).is_some();
        if is_member {
            self.rebalance();
        }
        is_member
    }
}

fn record_bytes(key: &str, value: &[u8]) -> usize {
    5 + key.len() + value.len()
}

fn decode(body: &[u8]) -> Vec<(String, Vec<u8>)> {
    let mut records = Vec::new();
    let mut rest = body;
    while let Some((length, after)) = rest.split_first_chunk::<4>() {
        let (record, after) = after.split_at(u32::from_be_bytes(*length) as usize);
        let (key, value) = record[1..].split_at(record[0] as usize);
        records.push((String::from_utf8_lossy(key).into_owned(), value.to_vec()));
        rest = after;
    }
    records
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for index in 0..4 {
            match index <= chunk.len() {
                true => out.push(DIGITS[(bits >> (18 - 6 * index)) as usize & 63] as char),
                false => out.push('='),
            }
        }
    }
    out
}
