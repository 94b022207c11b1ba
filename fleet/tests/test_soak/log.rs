//! Stand-in of the log service: partitions with epochs and sequence numbers, the newest record
//! of each key, and the group that divides partitions among owners.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::{BufMut, Bytes, BytesMut};
use http_body_util::Full;
use hyper::Response;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use serde_json::{Value, json};

use crate::http::{self, Request};

/// Partitions of the topic that the group divides.
pub(crate) const PARTS: usize = 4;
/// Topic of the workers' entries. An address in it is a placeholder that a read replaces.
pub(crate) const LIST: &str = "keyed.servers";
pub(crate) const OPERATORS: &str = "keyed.op";
/// Topic with the records of jobs.
pub(crate) const JOBS: &str = "keyed.jobs";
/// Topic of callers' requests.
pub(crate) const REQUESTS: &str = "keyed.requests";
/// Items of one answer with the newest records; small, so that several pages are read.
const PAGE: usize = 40;
/// Size of a page of records unless a test sets another one, bytes (`maxKb`).
const PAGE_BYTES: usize = 1024 * 1024;
/// The same in a run with silent connections: a page of a few jobs.
pub(crate) const SMALL_PAGE_BYTES: usize = 2048;
/// Size of what precedes the records of a page, bytes.
const HEAD_BYTES: usize = 16;
/// Number of appends whose repetition gets the first answer again.
const REMEMBERED: usize = 5;

#[derive(Debug, Default)]
struct Partition {
    /// All records; those before `first` are no longer read.
    records: Vec<(String, Bytes)>,
    first: usize,
    newest: BTreeMap<String, (usize, Bytes)>,
    /// Highest epoch and its last sequence number, if it has one.
    position: Option<(u64, Option<u64>)>,
    recent: VecDeque<((u64, u64), (usize, usize))>,
}

#[derive(Debug)]
struct Member {
    ttl: Duration,
    last_join: Duration,
}

#[derive(Debug, Default, Clone)]
struct Assignment {
    holder: Option<String>,
    /// Member that gets the partition when the holder has released it.
    target: Option<String>,
    /// Generation that set the target.
    since: u64,
}

#[derive(Debug, Default)]
struct Group {
    generation: u64,
    members: BTreeMap<String, Member>,
    parts: [Assignment; PARTS],
}

#[derive(Debug, Default)]
pub(crate) struct Log {
    partitions: HashMap<(String, u64), Partition>,
    group: Group,
    /// Size of a page of records, bytes; `None` for [`PAGE_BYTES`].
    pub(crate) page_bytes: Option<usize>,
}

impl Partition {
    fn push(&mut self, key: String, value: Bytes) {
        let offset = self.records.len();
        match value.is_empty() {
            true => self.newest.remove(&key),
            false => self.newest.insert(key.clone(), (offset, value.clone())),
        };
        self.records.push((key, value));
    }

    fn append(&mut self, request: &Request) -> (u16, Value) {
        let conflict = |reason: &str, sequence: u64| (409, json!({ "reason": reason, "sequence": sequence }));
        if !request.text("producer").is_empty() {
            let position = (request.number("epoch"), request.number("sequence"));
            if let Some((epoch, sequence)) = self.position {
                if position.0 < epoch {
                    return (409, json!({ "reason": "fenced" }));
                }
                if let Some((_, answer)) = self.recent.iter().find(|it| it.0 == position) {
                    return (200, json!({ "offset": answer.0, "endOffset": answer.1 }));
                }
                if let Some(sequence) = sequence
                    && position.0 == epoch
                    && position.1 != sequence + 1
                {
                    return conflict("seq", sequence + 1);
                }
            }
            let records = decode(&request.body);
            // The protocol leaves open whether an append that sets the epoch uses up a number.
            let uses_number = !records.is_empty() || position.0.is_multiple_of(2);
            self.position = Some((position.0, Some(position.1).filter(|_| uses_number)));
            if records.is_empty() {
                return (200, json!({ "offset": self.records.len(), "endOffset": self.records.len() }));
            }
            let end = self.records.len() + records.len();
            self.recent.push_back((position, (self.records.len(), end)));
            if REMEMBERED < self.recent.len() {
                self.recent.pop_front();
            }
        }
        let offset = self.records.len();
        for (key, value) in decode(&request.body) {
            self.push(key, value);
        }
        (200, json!({ "offset": offset, "endOffset": self.records.len() }))
    }
}

impl Group {
    /// Removes members that have not joined for their time to live.
    fn expire(&mut self, now: Duration) {
        let count = self.members.len();
        self.members.retain(|_, it| now <= it.last_join + it.ttl);
        if self.members.len() != count {
            self.rebalance();
        }
    }

    /// Divides the partitions evenly; as many as possible stay where they are.
    fn rebalance(&mut self) {
        self.generation += 1;
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
            let Some((name, count)) = counts.iter_mut().min_by_key(|it| *it.1) else {
                continue;
            };
            *count += 1;
            *target = Some(name.clone());
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

    fn join(&mut self, now: Duration, body: &Value) -> Value {
        let name = body["member"].as_str().unwrap_or_default();
        let member = Member {
            ttl: Duration::from_millis(body["ttlMs"].as_u64().unwrap_or(1000).max(1000)),
            last_join: now,
        };
        if self.members.insert(name.to_owned(), member).is_none() {
            self.rebalance();
        }
        let named = body["generation"].as_u64().unwrap_or(0);
        let is_released = |it: &Assignment| it.holder.as_deref() == Some(name) && it.target != it.holder && it.since <= named;
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
            .filter(|(_, it)| it.holder.as_deref() == Some(name) && it.target == it.holder);
        let rows: Vec<Value> = held.map(|(part, _)| json!([JOBS, part, 0])).collect();
        json!({ "generation": self.generation, "parts": rows })
    }

    fn leave(&mut self, body: &Value) -> u16 {
        match self.members.remove(body["member"].as_str().unwrap_or_default()) {
            Some(_) => {
                self.rebalance();
                200
            }
            None => 409,
        }
    }

    /// Reassigns all partitions at once, without the holders' release.
    fn reassign(&mut self, rng: &mut StdRng) {
        let names: Vec<String> = self.members.keys().cloned().collect();
        self.generation += 1;
        for part in &mut self.parts {
            part.target = names.choose(rng).cloned();
            part.holder.clone_from(&part.target);
            part.since = self.generation;
        }
    }
}

impl Log {
    /// Creates a log with pages of this size, bytes; `None` for [`PAGE_BYTES`].
    pub(crate) fn with_page(page_bytes: Option<usize>) -> Log {
        Log {
            page_bytes,
            ..Log::default()
        }
    }

    /// Whether the group has this number of members and every partition its holder for now.
    pub(crate) fn is_settled(&self, members: usize) -> bool {
        let is_settled = |it: &Assignment| it.holder.is_some() && it.holder == it.target;
        self.group.members.len() == members && self.group.parts.iter().all(is_settled)
    }

    pub(crate) fn put(&mut self, topic: &str, key: &str, value: Option<Value>) {
        let value = value.map(|it| Bytes::from(it.to_string())).unwrap_or_default();
        self.partition(topic, 0).push(key.to_owned(), value);
    }

    fn partition(&mut self, topic: &str, part: u64) -> &mut Partition {
        self.partitions.entry((topic.to_owned(), part)).or_default()
    }

    /// Drops all records but the newest of each key.
    pub(crate) fn compact(&mut self) {
        for partition in self.partitions.values_mut() {
            partition.first = partition.records.len().saturating_sub(2);
        }
    }

    pub(crate) fn reassign(&mut self, rng: &mut StdRng) {
        self.group.reassign(rng);
    }

    pub(crate) fn expire(&mut self, now: Duration) {
        self.group.expire(now);
    }

    /// Carries out a call that does not wait. Returns its status and its body.
    pub(crate) fn call(&mut self, now: Duration, request: &Request) -> (u16, Value) {
        self.group.expire(now);
        match request.path.as_str() {
            "/log-append" => self.partition(request.text("topic"), request.number("part")).append(request),
            "/log-join" => (200, self.group.join(now, &request.json())),
            "/log-leave" => (self.group.leave(&request.json()), json!({})),
            "/log-owners" => {
                let rows = self.group.parts.iter().enumerate();
                let rows: Vec<Value> = rows
                    .filter_map(|(part, it)| Some(json!([JOBS, part, it.holder.clone()?, 0])))
                    .collect();
                (200, json!({ "owners": rows }))
            }
            _ => (400, json!({})),
        }
    }

    /// Returns a page of the newest records. `readable` prepares a value for the caller.
    pub(crate) fn newest<F>(&mut self, request: &Request, readable: F) -> Response<Full<Bytes>>
    where
        F: Fn(&Bytes) -> Bytes,
    {
        let after = request.text("after").to_owned();
        let partition = self.partition(request.text("topic"), request.number("part"));
        let later: Vec<_> = partition.newest.iter().filter(|(key, _)| after < **key).take(PAGE + 1).collect();
        let items: Vec<Value> = later
            .iter()
            .take(PAGE)
            .map(|(key, (offset, value))| json!({ "key": key, "value": STANDARD.encode(readable(value)), "offset": offset }))
            .collect();
        http::json(
            200,
            json!({ "items": items, "hasMore": PAGE < later.len(), "endOffset": partition.records.len() }),
        )
    }

    /// Returns the records from an offset on, or `None` if there are none yet.
    pub(crate) fn read<F>(&mut self, request: &Request, readable: F) -> Option<Response<Full<Bytes>>>
    where
        F: Fn(&Bytes) -> Bytes,
    {
        let from = request.number("from") as usize;
        let page_bytes = self.page_bytes.unwrap_or(PAGE_BYTES);
        let partition = self.partition(request.text("topic"), request.number("part"));
        if from < partition.first {
            return Some(http::json(410, json!({ "firstOffset": partition.first })));
        }
        let records = partition.records.get(from..).filter(|it| !it.is_empty())?;
        let mut body = BytesMut::new();
        body.put_u64(partition.records.len() as u64);
        body.put_u64(partition.first as u64);
        for (key, value) in records {
            // A record that is larger than a page is a page by itself.
            if HEAD_BYTES < body.len() && page_bytes < body.len() + key.len() + value.len() {
                break;
            }
            let value = readable(value);
            body.put_u32((1 + key.len() + value.len()) as u32);
            body.put_u8(key.len() as u8);
            body.put_slice(key.as_bytes());
            body.put_slice(&value);
        }
        Some(http::bytes(200, body.freeze()))
    }
}

/// Returns the answer to a read that has waited in vain.
pub(crate) fn no_records(request: &Request) -> Response<Full<Bytes>> {
    let mut body = BytesMut::new();
    body.put_u64(request.number("from"));
    body.put_u64(0);
    http::bytes(200, body.freeze())
}

/// Decodes the records of an append.
fn decode(body: &Bytes) -> Vec<(String, Bytes)> {
    let mut records = Vec::new();
    let mut rest = body.clone();
    while 4 <= rest.len() {
        let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
        let record = rest.slice(4..4 + length);
        rest = rest.slice(4 + length..);
        let key_end = 1 + record[0] as usize;
        let key = String::from_utf8_lossy(&record[1..key_end]).into_owned();
        records.push((key, record.slice(key_end..)));
    }
    records
}
