//! Appends callers' requests to the log, many in one append, directly or through an
//! aggregator.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use oriole_platform::log::{Entry, Error, Partition, REQUESTS};
use oriolewall::acceptance::{self, Avoided, Route, Router};
use oriolewall::append_queue::AppendQueue;
use oriolewall::estimate::ArrivalRate;
use oriolewall::job_record::{JobKey, Request};
use oriolewall::platform;
use oriolewall::rpc::{Call, PartitionId, Reply, RequestRecord};
use tokio::sync::oneshot;

use crate::node::Node;
use crate::{clock, peer, watch};

/// Time limit of an append.
const APPEND_TIMEOUT: Duration = Duration::from_millis(800);
/// Time limit of a call to an aggregator.
const RELAY_TIMEOUT: Duration = Duration::from_millis(500);

/// Time constant of the rate of requests that an aggregator reports.
const RATE_TIME_CONSTANT: Duration = Duration::from_millis(700);
/// Weight of a request in [`ArrivalRate`], which counts per millisecond.
const REQUEST_WEIGHT: u64 = 1000;

/// Records of one caller or of one call from another instance, which share an append.
#[derive(Debug)]
struct Unit {
    records: Vec<RequestRecord>,
    reply: oneshot::Sender<Reply>,
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
    router: Router,
    /// Requests per second that this instance appends directly.
    rate: ArrivalRate,
}

impl Default for PartitionState {
    fn default() -> PartitionState {
        PartitionState {
            router: Router::default(),
            rate: ArrivalRate::new(RATE_TIME_CONSTANT),
        }
    }
}

/// Queues of callers' requests by partition and route.
#[derive(Debug, Default)]
pub(crate) struct RequestLog {
    lanes: Mutex<HashMap<(PartitionId, Route), Arc<Lane>>>,
    partitions: Mutex<HashMap<PartitionId, PartitionState>>,
    avoided: Mutex<Avoided>,
}

impl RequestLog {
    fn lane(&self, part: PartitionId, route: Route) -> Arc<Lane> {
        let new_lane = || {
            Arc::new(Lane {
                part,
                route,
                queue: Mutex::default(),
            })
        };
        lock(&self.lanes).entry((part, route)).or_insert_with(new_lane).clone()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|it| it.into_inner())
}

/// Chooses the route for a request to a partition.
pub(crate) fn choose_route(node: &Node, part: PartitionId) -> Route {
    // An instance to which the log does not answer tries others first.
    if !node.is_log_reachable() {
        return Route::Aggregated;
    }
    match lock(&node.request_log.partitions).entry(part).or_default().router.route() {
        Route::Aggregated if acceptance::is_aggregator(&ranked_aggregators(node, part), node.settings.peer_addr) => Route::Direct,
        route => route,
    }
}

/// Appends records to a partition of requests, together with others that wait for it.
/// The reply is `Done` once they are stored, `Unknown` if they may have been stored, and
/// `Unavailable` if they certainly were not.
pub(crate) async fn append(node: &Arc<Node>, part: PartitionId, route: Route, records: Vec<RequestRecord>, timeout: Duration) -> Reply {
    let lane = node.request_log.lane(part, route);
    let bytes = records.iter().map(|(key, value)| key.len() + value.len()).sum();
    let (reply, receiver) = oneshot::channel();
    let ticket = lock(&lane.queue).push(bytes, Unit { records, reply });
    send_next_batch(node, &lane);
    match tokio::time::timeout(timeout, receiver).await {
        Ok(reply) => reply.unwrap_or(Reply::Unknown),
        Err(_) => match lock(&lane.queue).withdraw(ticket) {
            Some(_) => Reply::Unavailable,
            None => Reply::Unknown,
        },
    }
}

/// Sends the next batch of a lane unless one is in flight.
fn send_next_batch(node: &Arc<Node>, lane: &Arc<Lane>) {
    if let Some(units) = lock(&lane.queue).next_batch() {
        tokio::spawn(send_batch(node.clone(), lane.clone(), units));
    }
}

async fn send_batch(node: Arc<Node>, lane: Arc<Lane>, mut units: Vec<Unit>) {
    let records: Vec<RequestRecord> = units.iter_mut().flat_map(|it| it.records.drain(..)).collect();
    node.metrics.append_records.observe(records.len() as f64);
    let reply = match lane.route {
        Route::Direct => append_to_log(&node, lane.part, records).await,
        Route::Aggregated => call_aggregator(&node, lane.part, records).await,
    };
    lock(&lane.queue).finish();
    send_next_batch(&node, &lane);
    for unit in units {
        // The caller may have given up.
        let _ = unit.reply.send(reply.clone());
    }
}

async fn append_to_log(node: &Node, part: PartitionId, records: Vec<RequestRecord>) -> Reply {
    let entry = |(key, value): RequestRecord| Entry { key, value: Some(value) };
    let entries: Vec<Entry> = records.into_iter().map(entry).collect();
    let partition = Partition {
        topic: REQUESTS,
        number: part,
    };
    let sent = clock::now().mono;
    let result = node.log.append(partition, None, &entries, APPEND_TIMEOUT).await;
    let now = clock::now().mono;
    match result {
        Ok(()) => {
            let time = now.saturating_sub(sent);
            node.metrics.append_seconds.observe(time.as_secs_f64());
            let mut partitions = lock(&node.request_log.partitions);
            let state = partitions.entry(part).or_default();
            state.router.record_append(now, time);
            state.rate.record(now, REQUEST_WEIGHT * entries.len() as u64);
            watch::report_log_answer(node, true);
            Reply::Done
        }
        Err(err) => {
            watch::report_log_error(node, "append", &err);
            if sent + APPEND_TIMEOUT <= now {
                node.record_log_timeout(sent);
                // While no request is sent to the log, this read finds out when it answers again.
                node.refresh_owners.notify_one();
            }
            match err {
                Error::Call(platform::Error::Lost) | Error::UnexpectedResponse { .. } => Reply::Unknown,
                _ => Reply::Unavailable,
            }
        }
    }
}

async fn call_aggregator(node: &Node, part: PartitionId, records: Vec<RequestRecord>) -> Reply {
    let ranked = ranked_aggregators(node, part);
    let picked = lock(&node.request_log.avoided).pick(clock::now().mono, &ranked, node.settings.peer_addr);
    let Some(addr) = picked else {
        return Reply::Unavailable;
    };
    let reply = peer::call_instance(node, addr, Call::AppendRecords { part, records }, RELAY_TIMEOUT).await;
    let now = clock::now().mono;
    match reply {
        Reply::Appended(rate) => {
            lock(&node.request_log.partitions)
                .entry(part)
                .or_default()
                .router
                .record_rate(now, rate);
            Reply::Done
        }
        reply => {
            lock(&node.request_log.avoided).record_failure(now, addr);
            reply
        }
    }
}

/// Handles the call of an instance for which this one is an aggregator.
pub(crate) async fn handle_call(node: &Arc<Node>, part: PartitionId, records: Vec<RequestRecord>) -> Reply {
    if !node.is_log_reachable() {
        return Reply::Unavailable;
    }
    match append(node, part, Route::Direct, records, APPEND_TIMEOUT).await {
        Reply::Done => {
            let rate = lock(&node.request_log.partitions).entry(part).or_default().rate;
            Reply::Appended(rate.rate(clock::now().mono))
        }
        reply => reply,
    }
}

/// Returns the possible aggregators of a partition, best first.
fn ranked_aggregators(node: &Node, part: PartitionId) -> Vec<SocketAddr> {
    let catalog = node.catalog();
    let busy: Vec<PartitionId> = catalog.pools.keys().map(|it| node.partition_of(it)).collect();
    let owners = node.owners.load();
    let mut has_pools: HashMap<SocketAddr, bool> = HashMap::new();
    for (owned, addr) in owners.iter() {
        *has_pools.entry(*addr).or_default() |= busy.contains(owned);
    }
    acceptance::rank_aggregators(part, has_pools)
}

/// Encodes a request for a job as a record.
pub(crate) fn encode(id: &JobKey, request: &Request) -> RequestRecord {
    (request.record_key(id), Bytes::from(request.to_bytes()))
}
