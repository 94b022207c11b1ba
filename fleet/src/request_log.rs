//! Appends callers' requests to the log, many in one append, by this instance or through an
//! appender.

mod relay;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use oriole_platform::log::{Entry, Error, Partition, REQUESTS};
use oriolewall::acceptance::{self, Avoided, Pace, Route};
use oriolewall::append_queue::{AppendQueue, Waiting};
use oriolewall::estimate::ArrivalRate;
use oriolewall::job_record::{JobKey, Request};
use oriolewall::platform;
use oriolewall::rpc::{PartitionId, RequestRecord};
use serde_json::json;
use tokio::sync::oneshot;
use tokio::time::Instant;

pub(crate) use self::relay::{handle_append, handle_store, report};
use crate::node::Node;
use crate::{clock, watch};

/// Calls of an instance to the appenders of a partition that are open at the same time. With one,
/// requests would wait for the answer to the call before theirs; each call occupies one of the
/// four connections to an instance.
const MAX_RELAYS: usize = 2;

/// Number of times that a request is sent on before the instance that it is sent to has to append it.
/// Instances read the list of owners every two seconds, and rank appenders differently meanwhile.
const MAX_MOVES: usize = 2;

/// Time constant of the rate of requests that instances of the previous build get.
const RATE_TIME_CONSTANT: Duration = Duration::from_millis(700);
/// Weight of a request in [`ArrivalRate`], which counts per millisecond.
const REQUEST_WEIGHT: u64 = 1000;

/// What became of a request, or of several that share an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// It is in the log.
    Stored,
    /// It certainly is not, as it could not have been stored before its callers stop waiting;
    /// the time until what waits is stored.
    Busy(Duration),
    /// It certainly is not, as this instance, or the one that was called, no longer appends.
    Moved,
    /// It certainly is not, as the log or the appender does not answer.
    Unavailable,
    /// It may be.
    Unknown,
}

/// Earlier attempts to store a request.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct History {
    /// Number of appenders that have failed to store it.
    pub(crate) failures: usize,
    /// Number of times that it was sent on as an instance does not append.
    pub(crate) moves: usize,
}

/// Records of one caller or of one call from another instance, which share an append.
#[derive(Debug)]
struct Unit {
    records: Vec<RequestRecord>,
    /// Time until which the callers wait for the answer.
    deadline: Instant,
    /// Whether it is appended although other instances should append.
    is_substitute: bool,
    reply: oneshot::Sender<Outcome>,
}

/// Requests that wait for the same partition and take the same route.
#[derive(Debug)]
struct Lane {
    part: PartitionId,
    route: Route,
    queue: Mutex<AppendQueue<Unit>>,
}

/// What this instance has seen of a partition of requests.
#[derive(Debug)]
struct PartitionState {
    pace: Pace,
    /// Requests per second that this instance appends.
    rate: ArrivalRate,
}

impl Default for PartitionState {
    fn default() -> PartitionState {
        PartitionState {
            pace: Pace::default(),
            rate: ArrivalRate::new(RATE_TIME_CONSTANT),
        }
    }
}

/// Queues of callers' requests by partition and route.
#[derive(Debug)]
pub(crate) struct RequestLog {
    max_bytes: usize,
    lanes: Mutex<HashMap<(PartitionId, Route), Arc<Lane>>>,
    partitions: Mutex<HashMap<PartitionId, PartitionState>>,
    avoided: Mutex<Avoided>,
}

impl RequestLog {
    /// Creates the queues. An append has at most `max_bytes`, unless one unit is larger.
    pub(crate) fn new(max_bytes: usize) -> RequestLog {
        RequestLog {
            max_bytes,
            lanes: Mutex::default(),
            partitions: Mutex::default(),
            avoided: Mutex::default(),
        }
    }

    fn lane(&self, part: PartitionId, route: Route) -> Arc<Lane> {
        let max_in_flight = match route {
            Route::Direct => 1,
            Route::Relayed => MAX_RELAYS,
        };
        let new_lane = || {
            Arc::new(Lane {
                part,
                route,
                queue: Mutex::new(AppendQueue::new(max_in_flight, self.max_bytes)),
            })
        };
        lock(&self.lanes).entry((part, route)).or_insert_with(new_lane).clone()
    }

    fn with_partition<T, F>(&self, part: PartitionId, action: F) -> T
    where
        F: FnOnce(&mut PartitionState) -> T,
    {
        action(lock(&self.partitions).entry(part).or_default())
    }

    fn pace(&self, part: PartitionId) -> Pace {
        self.with_partition(part, |it| it.pace)
    }

    /// Time until requests that arrive here now are in the log.
    fn drain(&self, part: PartitionId) -> Duration {
        let lane = self.lane(part, Route::Direct);
        let queue = lock(&lane.queue);
        self.pace(part).wait(queue.in_flight() + queue.appends_waiting(0))
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|it| it.into_inner())
}

/// Chooses the route for a request to a partition. The flag says that this instance appends it
/// although it is no appender.
fn choose_route(node: &Node, part: PartitionId, failures: usize) -> (Route, bool) {
    // An instance to which the log does not answer tries others first.
    if !node.is_log_reachable() {
        return (Route::Relayed, false);
    }
    let pace = node.request_log.pace(part);
    if pace.allows_direct(failures) {
        return (Route::Direct, true);
    }
    let ranked = ranked_appenders(node, part);
    if acceptance::place(&ranked, node.settings.peer_addr).is_some_and(|it| it < pace.appenders()) {
        return (Route::Direct, false);
    }
    match pick_appender(node, &ranked, pace.appenders()) {
        Some(_) => (Route::Relayed, false),
        None => (Route::Direct, true),
    }
}

/// Stores a request by the route that is best now, together with others that wait for it.
pub(crate) async fn store(node: &Arc<Node>, part: PartitionId, record: RequestRecord, deadline: Instant, history: History) -> Outcome {
    let (route, is_substitute) = choose_route(node, part, history.failures);
    let insists = MAX_MOVES <= history.moves;
    append(node, part, route, vec![record], deadline, is_substitute || insists).await
}

/// Appends records to a partition of requests, together with others that wait for it, until the
/// deadline.
async fn append(
    node: &Arc<Node>,
    part: PartitionId,
    route: Route,
    records: Vec<RequestRecord>,
    deadline: Instant,
    is_substitute: bool,
) -> Outcome {
    let lane = node.request_log.lane(part, route);
    let bytes = records.iter().map(|(key, value)| key.len() + value.len()).sum();
    let (reply, receiver) = oneshot::channel();
    let unit = Unit {
        records,
        deadline,
        is_substitute,
        reply,
    };
    let pace = node.request_log.pace(part);
    let ticket = {
        let mut queue = lock(&lane.queue);
        let wait = pace.wait(queue.appends_waiting(bytes));
        if route == Route::Direct && deadline < Instant::now() + wait {
            return Outcome::Busy(wait);
        }
        queue.push(bytes, unit)
    };
    send_next_batch(node, &lane);
    match tokio::time::timeout_at(deadline, receiver).await {
        Ok(outcome) => outcome.unwrap_or(Outcome::Unknown),
        Err(_) => match lock(&lane.queue).withdraw(ticket) {
            Some(_) => Outcome::Busy(pace.drain().max(pace.answer())),
            None => Outcome::Unknown,
        },
    }
}

/// Sends the next batches of a lane while not enough are in flight.
fn send_next_batch(node: &Arc<Node>, lane: &Arc<Lane>) {
    loop {
        let Some(batch) = lock(&lane.queue).next_batch() else {
            return;
        };
        tokio::spawn(send_batch(node.clone(), lane.clone(), batch));
    }
}

/// Sends a batch, and the next one when it has ended.
async fn send_batch(node: Arc<Node>, lane: Arc<Lane>, batch: Vec<Waiting<Unit>>) {
    match lane.route {
        Route::Direct => send_to_log(&node, &lane, batch).await,
        Route::Relayed => send_to_appender(&node, &lane, batch).await,
    }
    lock(&lane.queue).finish();
    send_next_batch(&node, &lane);
}

fn records_of(batch: &[Waiting<Unit>]) -> Vec<RequestRecord> {
    batch.iter().flat_map(|it| it.unit.records.iter().cloned()).collect()
}

fn reply_to(batch: Vec<Waiting<Unit>>, outcome: Outcome) {
    for waiting in batch {
        // The caller may have given up.
        let _ = waiting.unit.reply.send(outcome);
    }
}

/// Sends a batch to an appender, without the requests that it would store too late.
async fn send_to_appender(node: &Node, lane: &Lane, batch: Vec<Waiting<Unit>>) {
    let pace = node.request_log.pace(lane.part);
    let batch = refuse_late(batch, pace.relay_wait(), pace.drain().max(pace.answer()));
    let Some(deadline) = batch.iter().map(|it| it.unit.deadline).max() else {
        return;
    };
    let records = records_of(&batch);
    node.metrics.append_records.observe(records.len() as f64);
    let insists = batch.iter().any(|it| it.unit.is_substitute);
    let outcome = relay::call_appender(node, lane.part, records, deadline, insists).await;
    reply_to(batch, outcome);
}

/// Refuses the requests of a batch that have to be stored sooner than is expected.
fn refuse_late(batch: Vec<Waiting<Unit>>, wait: Duration, drain: Duration) -> Vec<Waiting<Unit>> {
    let stored_at = Instant::now() + wait;
    let (batch, late): (Vec<_>, Vec<_>) = batch.into_iter().partition(|it| stored_at <= it.unit.deadline);
    reply_to(late, Outcome::Busy(drain));
    batch
}

/// Appends a batch to the log. If the log refuses it, the requests wait again.
async fn send_to_log(node: &Node, lane: &Lane, batch: Vec<Waiting<Unit>>) {
    // A request that a silent log may have stored could not be refused any more.
    if !node.is_log_reachable() {
        reply_to(batch, Outcome::Unavailable);
        return;
    }
    let pace = node.request_log.pace(lane.part);
    // Requests that have waited while the log became slow go to the appenders that remain.
    let is_appender = accepts(node, lane.part);
    let (batch, moved): (Vec<_>, Vec<_>) = batch.into_iter().partition(|it| is_appender || it.unit.is_substitute);
    reply_to(moved, Outcome::Moved);
    let batch = refuse_late(batch, pace.answer(), pace.answer());
    if batch.is_empty() {
        return;
    }
    let records = records_of(&batch);
    node.metrics.append_records.observe(records.len() as f64);
    match append_to_log(node, lane.part, records).await {
        Ok(outcome) => reply_to(batch, outcome),
        Err(Refused) => {
            node.metrics.append_refusals.inc();
            let is_changed = node
                .request_log
                .with_partition(lane.part, |it| it.pace.record_refusal(clock::now().mono));
            report_pace(node, lane.part, is_changed, "refused");
            // Those that have given up were told that their request may be stored.
            let waiting = batch.into_iter().filter(|it| !it.unit.reply.is_closed()).collect();
            lock(&lane.queue).put_back(waiting);
            tokio::time::sleep(pace.refusal_pause(rand::random())).await;
        }
    }
}

/// The log refused an append, which had no effect.
struct Refused;

async fn append_to_log(node: &Node, part: PartitionId, records: Vec<RequestRecord>) -> Result<Outcome, Refused> {
    let entry = |(key, value): RequestRecord| Entry { key, value: Some(value) };
    let entries: Vec<Entry> = records.into_iter().map(entry).collect();
    let partition = Partition {
        topic: REQUESTS,
        number: part,
    };
    let pace = node.request_log.pace(part);
    let sent = clock::now().mono;
    let started = Instant::now();
    let mut append = std::pin::pin!(node.log.append(partition, None, &entries, pace.append_limit()));
    let overdue = tokio::time::timeout_at(started + pace.check_after(), &mut append).await;
    let result = match overdue {
        Ok(result) => result,
        Err(_) => {
            // This read tells whether the log is slow or silent.
            node.refresh_owners.notify_one();
            match tokio::time::timeout_at(started + pace.silent_after(), &mut append).await {
                Ok(result) => result,
                Err(_) if node.has_log_answered_since(sent) => append.await,
                Err(_) => Err(Error::Call(platform::Error::Lost)),
            }
        }
    };
    let now = clock::now().mono;
    match result {
        Ok(()) => {
            let time = now.saturating_sub(sent);
            node.metrics.append_seconds.observe(time.as_secs_f64());
            let is_changed = node.request_log.with_partition(part, |state| {
                state.rate.record(now, REQUEST_WEIGHT * entries.len() as u64);
                state.pace.record_append(now, time)
            });
            report_pace(node, part, is_changed, "answered");
            watch::report_log_answer(node, true);
            Ok(Outcome::Stored)
        }
        Err(Error::Call(platform::Error::Unavailable)) => {
            watch::report_log_error(node, watch::REQUEST_APPEND, &Error::Call(platform::Error::Unavailable));
            // An instance that the log turns away is told from a full queue of the partition.
            match node.is_log_reachable() {
                true => Err(Refused),
                false => Ok(Outcome::Unavailable),
            }
        }
        Err(err) => {
            watch::report_log_error(node, watch::REQUEST_APPEND, &err);
            if sent + pace.silent_after() <= now {
                node.record_log_timeout(sent);
                // While no request is sent to the log, this read finds out when it answers again.
                node.refresh_owners.notify_one();
            }
            match err {
                Error::Call(platform::Error::Lost) | Error::UnexpectedResponse { .. } => Ok(Outcome::Unknown),
                _ => Ok(Outcome::Unavailable),
            }
        }
    }
}

/// Writes a line when the number of appenders of a partition has changed here.
fn report_pace(node: &Node, part: PartitionId, is_changed: bool, cause: &str) {
    if is_changed {
        let pace = node.request_log.pace(part);
        node.decision_log.write(
            "appenders",
            json!({ "part": part, "count": pace.appenders(), "answer_ms": pace.answer().as_millis() as u64, "cause": cause }),
        );
    }
}

/// Returns whether this instance appends requests to a partition.
fn accepts(node: &Node, part: PartitionId) -> bool {
    let place = acceptance::place(&ranked_appenders(node, part), node.settings.peer_addr);
    let now = clock::now().mono;
    // An instance that others take for an owner may not know it yet.
    place.is_none_or(|it| node.request_log.pace(part).accepts(now, it))
}

fn pick_appender(node: &Node, ranked: &[SocketAddr], appenders: usize) -> Option<SocketAddr> {
    lock(&node.request_log.avoided).pick(clock::now().mono, ranked, appenders, node.settings.peer_addr)
}

/// Returns the possible appenders of a partition, best first.
fn ranked_appenders(node: &Node, part: PartitionId) -> Vec<SocketAddr> {
    let catalog = node.catalog();
    let busy: Vec<PartitionId> = catalog.pools.keys().map(|it| node.partition_of(it)).collect();
    let owners = node.owners.load();
    let mut has_pools: HashMap<SocketAddr, bool> = HashMap::new();
    for (owned, addr) in owners.iter() {
        *has_pools.entry(*addr).or_default() |= busy.contains(owned);
    }
    acceptance::rank_appenders(part, has_pools)
}

/// Encodes a request for a job as a record.
pub(crate) fn encode(id: &JobKey, request: &Request) -> RequestRecord {
    (request.record_key(id), Bytes::from(request.to_bytes()))
}
