//! HTTP API for callers: submits and cancels jobs, and reads their state and the
//! number of waiting jobs.
//!
//! A submission or cancellation is answered once its record is in the log. A request
//! that was certainly not stored is refused soon, so that the caller can retry;
//! one that may have been stored is retried until the caller's deadline.

use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, HOST, HeaderValue, RETRY_AFTER};
use hyper::{Method, Request, StatusCode};
use oriole_platform::caller;
use oriolewall::catalog::{Catalog, Queue};
use oriolewall::id::{PoolId, TeamId};
use oriolewall::job_record::{self, Addressee, JobKey, MAX_ORIGIN_BYTES, Submission};
use oriolewall::pool_history::History;
use oriolewall::query::JobStatus;
use oriolewall::refusal::{Cause, PATIENCE};
use oriolewall::rpc::{Call, PartitionId, Reply};
use serde_json::json;
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::node::Node;
use crate::request_log::Outcome;
use crate::server::{self, HttpResponse};
use crate::{body, clock, peer, request_log};

/// Limits on a request body. The platform has the same limit on its length. The job is held until
/// it is stored, decoded, as its record and in the append.
const BODY_LIMITS: body::Limits = body::Limits { bytes: 262_144, copies: 3 };
/// Time after which a caller is to return whose body was not read, seconds, before a spread of one
/// more. Clients that hold memory and make no progress are closed within that time.
const UNREAD_RETRY_SECONDS: u64 = 1;
/// What is added to a request's record after it was checked, bytes: its key, and what an owner adds
/// when it hands the request on. Requests share appends, and one that the log refuses would fail
/// the others.
const RECORD_RESERVE: usize = 64 + MAX_ORIGIN_BYTES;
/// Deadline of a request that does not set one.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(3);
/// Time reserved before the caller's deadline for the response to reach the caller.
const RESPONSE_MARGIN: Duration = Duration::from_millis(150);
/// Number of times that a request is sent on at once when an instance no longer appends. Instances
/// may disagree on the number of appenders for the time of a few messages.
const MAX_PROMPT_MOVES: usize = 4;
/// Failed attempts, by different routes, after which a request that certainly had no effect is
/// refused, if [`PATIENCE`] is over as well.
const MIN_FAILURES: usize = 3;
/// Mean delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(30);
/// The same at most, while the log is busy.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Request header with the time, in milliseconds, for which the caller waits.
const DEADLINE_HEADER: &str = "x-deadline-ms";

/// What a request addresses, after routing and authentication.
#[derive(Clone, Debug)]
struct Target {
    queue: Arc<Queue>,
    /// Pools that queues have been assigned to, as of the configuration by which the request was
    /// routed.
    history: Arc<History>,
    /// The caller's team; empty for a caller without a known key.
    team: TeamId,
    /// Time by which the response has to be sent.
    deadline: Instant,
}

impl Target {
    /// Team whose jobs the caller may read and cancel; `None` if it may do so with all jobs of
    /// a public queue.
    fn visible_team(&self) -> Option<TeamId> {
        Some(self.team.clone()).filter(|_| !self.queue.is_public)
    }
}

/// Handles a caller's request, and records it in the metrics and the decision log.
pub(crate) async fn handle_request(node: &Arc<Node>, request: Request<Incoming>) -> HttpResponse {
    let _open = node.open_request();
    let started = clock::now().mono;
    let catalog = node.configuration.load().catalog();
    let version = catalog.as_ref().map_or(0, |it| it.version);
    let path = request.uri().path().to_owned();
    let target = catalog
        .map_err(unavailable_response)
        .and_then(|it| resolve_target(&it, &request, &path).map_err(|it| deny(node, it)));
    let (call, id, response) = match target {
        Err(response) => ("none", JobKey::from(""), response),
        Ok(target) => {
            let id = JobKey::from(&path[target.queue.path_prefix.len()..]);
            let (call, response) = dispatch(node, request, &target, &id).await;
            (call, id, response)
        }
    };
    let elapsed = clock::now().mono.saturating_sub(started);
    node.metrics.record_request(call, response.status(), elapsed);
    // Successful reads change nothing and are not logged.
    if call != "status" && call != "pending" || response.status() != StatusCode::OK {
        node.decision_log.write(
            "request",
            json!({
                "call": call,
                "job": id,
                "path": path,
                "status": response.status().as_u16(),
                "config": version,
                "took_ms": elapsed.as_millis() as u64,
            }),
        );
    }
    response
}

/// What a request names that the configuration does not have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Missing {
    Queue,
    Key,
}

/// Responds that a queue or a key does not exist, if every configuration is known that may have it.
fn deny(node: &Node, missing: Missing) -> HttpResponse {
    if !node.is_configuration_current() {
        return unavailable_response(Cause::OutdatedConfiguration);
    }
    match missing {
        Missing::Queue => error_response(StatusCode::NOT_FOUND, "there is no such queue"),
        Missing::Key => error_response(StatusCode::UNAUTHORIZED, "the key is not known"),
    }
}

/// Finds the queue by host and path, the team by the bearer key, and the deadline.
/// A caller without a known key belongs to the team with the empty name, if the queue is public.
fn resolve_target(catalog: &Catalog, request: &Request<Incoming>, path: &str) -> Result<Target, Missing> {
    let host = request.headers().get(HOST).and_then(|it| it.to_str().ok());
    let host = host.or_else(|| request.uri().host()).unwrap_or_default();
    let queue = catalog.route(host, path).ok_or(Missing::Queue)?;
    let key = request.headers().get(AUTHORIZATION).and_then(|it| it.to_str().ok());
    let key = key.and_then(|it| it.strip_prefix("Bearer ")).map(str::trim);
    let team = key.and_then(|it| catalog.keys.get(it));
    let team = match (team, queue.is_public) {
        (Some(team), _) => team.clone(),
        (None, true) => TeamId::from(""),
        (None, false) => return Err(Missing::Key),
    };
    let deadline = request.headers().get(DEADLINE_HEADER).and_then(|it| it.to_str().ok());
    let deadline = deadline
        .and_then(|it| it.parse().ok())
        .map_or(DEFAULT_DEADLINE, Duration::from_millis);
    Ok(Target {
        queue: queue.clone(),
        history: catalog.history.clone(),
        team,
        deadline: Instant::now() + deadline.saturating_sub(RESPONSE_MARGIN),
    })
}

/// Handles a routed request by its method. Also returns the name of the call for the
/// metrics and the decision log.
async fn dispatch(node: &Arc<Node>, request: Request<Incoming>, target: &Target, id: &JobKey) -> (&'static str, HttpResponse) {
    let method = request.method().clone();
    if id.is_empty() {
        return match method {
            Method::GET => ("pending", get_pending(node, target).await),
            _ => ("none", error_response(StatusCode::METHOD_NOT_ALLOWED, "a queue can only be read")),
        };
    }
    if !is_job_id(id) {
        return (
            "none",
            error_response(StatusCode::NOT_FOUND, "a job's id has 16 hexadecimal digits"),
        );
    }
    match method {
        Method::POST => ("submit", submit_job(node, request, target, id).await),
        Method::GET => ("status", get_status(node, target, id).await),
        Method::DELETE => ("cancel", cancel_job(node, target, id).await),
        _ => (
            "none",
            error_response(StatusCode::METHOD_NOT_ALLOWED, "a job can be submitted, read and cancelled"),
        ),
    }
}

/// Returns whether the text has the form of a job id.
fn is_job_id(id: &str) -> bool {
    id.len() == 16 && id.bytes().all(|it| it.is_ascii_hexdigit())
}

/// Stores a submission for the pool that the queue uses, whose owner decides whether the job is
/// new.
async fn submit_job(node: &Arc<Node>, request: Request<Incoming>, target: &Target, id: &JobKey) -> HttpResponse {
    let body = match body::read(request, BODY_LIMITS).await {
        Ok(body) => body,
        Err(err) => return unread_response(err),
    };
    let spec = match caller::decode_job(&body) {
        Ok(spec) => spec,
        Err(err) => return error_response(StatusCode::BAD_REQUEST, &err.to_string()),
    };
    let tasks = spec.tasks_per_occurrence().saturating_mul(spec.occurrences() as usize);
    drop(body);
    let part = node.partition_of(&target.queue.pool);
    let request = job_record::Request::Submit(Submission {
        queue: target.queue.name.clone(),
        pool: target.queue.pool.clone(),
        team: target.team.clone(),
        received_ms: clock::now().wall_ms(),
        spec: Arc::new(spec),
        origin: target.history.origin(&target.queue),
    });
    let (_, value) = request_log::encode(id, &request);
    if !node.settings.commit_limits.allows_job(value.len() + RECORD_RESERVE, tasks) {
        return error_response(StatusCode::PAYLOAD_TOO_LARGE, "the job is too large for a record of the log");
    }
    match store_request(node, part, id, request, target.deadline).await {
        Stored::Done => server::json_response(StatusCode::OK, caller::status_body(JobStatus::Queued)),
        Stored::Refused(cause) => unavailable_response(cause),
        Stored::Unknown => error_response(StatusCode::GATEWAY_TIMEOUT, "the log did not answer; the job may have been taken"),
    }
}

/// Responds to a submission whose body was not read to its end, so that the job has not run.
fn unread_response(err: body::Error) -> HttpResponse {
    let body::Error::Closed(reason) = err else {
        return error_response(StatusCode::PAYLOAD_TOO_LARGE, &err.to_string());
    };
    let mut response = error_response(StatusCode::SERVICE_UNAVAILABLE, reason.name());
    let seconds = UNREAD_RETRY_SECONDS + u64::from(rand::random::<bool>());
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
    response
}

/// Stores a cancellation in the partition that has the job, or in all that may have it.
async fn cancel_job(node: &Arc<Node>, target: &Target, id: &JobKey) -> HttpResponse {
    let mut candidates = candidate_pools(node, target);
    match locate_job(node, target, id).await {
        JobLocation::Found(part, _) => {
            candidates.retain(|(it, _)| *it == part);
            if candidates.is_empty() {
                // A pool that the queue used before the retained configurations.
                candidates.push((part, None));
            }
        }
        JobLocation::Quarantined => return quarantined_response(),
        // The owner may not have read the job's submission yet.
        JobLocation::NotFound | JobLocation::Unknown(_) => {}
    }
    let at_ms = clock::now().wall_ms();
    let origin = target.history.origin(&target.queue);
    let mut is_stored = false;
    for (part, pool) in candidates {
        let queue = &target.queue.name;
        let request = job_record::Request::Cancel {
            at_ms,
            team: target.visible_team(),
            addressee: pool.map(|pool| Addressee {
                queue: queue.clone(),
                pool,
                origin: origin.clone(),
            }),
        };
        match store_request(node, part, id, request, target.deadline).await {
            Stored::Done => is_stored = true,
            Stored::Refused(cause) if !is_stored => return unavailable_response(cause),
            _ => {
                return error_response(
                    StatusCode::GATEWAY_TIMEOUT,
                    "the log did not answer; the job may have been cancelled",
                );
            }
        }
    }
    server::json_response(StatusCode::OK, caller::status_body(JobStatus::Cancelled))
}

/// Partitions that may have a job of a queue, each with the last pool in it that the queue used.
fn candidate_pools(node: &Node, target: &Target) -> SmallVec<[(PartitionId, Option<PoolId>); 4]> {
    let mut candidates = SmallVec::<[(PartitionId, Option<PoolId>); 4]>::new();
    for pool in target.history.pools(&target.queue) {
        let part = node.partition_of(&pool);
        if candidates.iter().all(|(it, _)| *it != part) {
            candidates.push((part, Some(pool)));
        }
    }
    candidates.sort_unstable();
    candidates
}

/// Whether a request is in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stored {
    /// It is.
    Done,
    /// It certainly is not.
    Refused(Cause),
    /// It may be.
    Unknown,
}

/// Appends a request to the log, through another appender if one fails.
async fn store_request(node: &Arc<Node>, part: PartitionId, id: &JobKey, request: job_record::Request, deadline: Instant) -> Stored {
    let refuse_at = Instant::now() + PATIENCE;
    let mut possibly_stored = false;
    let mut history = request_log::History::default();
    let record = request_log::encode(id, &request);
    loop {
        let mut delay = RETRY_DELAY;
        let cause = match request_log::store(node, part, record.clone(), deadline, history).await {
            Outcome::Stored => return Stored::Done,
            Outcome::Busy(drain) => {
                let cause = Cause::LogBusy(drain);
                delay = drain.clamp(RETRY_DELAY, MAX_RETRY_DELAY);
                if !possibly_stored && deadline <= Instant::now() + drain.max(RETRY_DELAY) {
                    return Stored::Refused(cause);
                }
                cause
            }
            Outcome::Moved => {
                history.moves += 1;
                if history.moves < MAX_PROMPT_MOVES {
                    continue;
                }
                log_cause(node)
            }
            Outcome::Unavailable => {
                history.failures += 1;
                let cause = log_cause(node);
                if !possibly_stored && MIN_FAILURES <= history.failures && refuse_at <= Instant::now() + RETRY_DELAY {
                    return Stored::Refused(cause);
                }
                cause
            }
            Outcome::Unknown => {
                history.failures += 1;
                possibly_stored = true;
                Cause::LogSilent(node.log_silence())
            }
        };
        if deadline <= Instant::now() + RETRY_DELAY {
            return match possibly_stored {
                true => Stored::Unknown,
                false => Stored::Refused(cause),
            };
        }
        // Appending the same record twice is harmless.
        tokio::time::sleep(delay.mul_f64(0.5 + rand::random::<f64>())).await;
    }
}

/// Responds with a job's state, retrying for a short time if it cannot be determined.
async fn get_status(node: &Arc<Node>, target: &Target, id: &JobKey) -> HttpResponse {
    let refuse_at = Instant::now() + PATIENCE;
    loop {
        match locate_job(node, target, id).await {
            JobLocation::Found(_, status) => return server::json_response(StatusCode::OK, caller::status_body(status)),
            JobLocation::NotFound => return error_response(StatusCode::GONE, "there is no such job"),
            JobLocation::Quarantined => return quarantined_response(),
            JobLocation::Unknown(cause) if refuse_at <= Instant::now() + RETRY_DELAY => return unavailable_response(cause),
            JobLocation::Unknown(_) => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}

/// Responds that a job exists and cannot be handled. The decision log of its owner says why.
fn quarantined_response() -> HttpResponse {
    error_response(StatusCode::INTERNAL_SERVER_ERROR, "the job is stored and cannot be handled")
}

/// Result of a search for a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum JobLocation {
    /// The job is in this partition and has this state.
    Found(PartitionId, JobStatus),
    /// No partition has the job.
    NotFound,
    /// An owner has the job and cannot handle it.
    Quarantined,
    /// An owner that may have the job did not answer, or cannot tell.
    Unknown(Cause),
}

/// Searches for a job at the owner of its queue's pool, then at all other owners, as
/// the queue may have used another pool when the job was submitted.
async fn locate_job(node: &Arc<Node>, target: &Target, id: &JobKey) -> JobLocation {
    let catalog = node.catalog();
    let likely_part = node.partition_of(&target.queue.pool);
    // A pool may have been removed since the job was submitted.
    let pools = target.history.pools(&target.queue);
    let pools = catalog.pools.keys().chain(&pools);
    let mut parts: Vec<PartitionId> = pools.map(|it| node.partition_of(it)).collect();
    parts.sort_unstable_by_key(|it| (*it != likely_part, *it));
    parts.dedup();
    let mut doubt = None;
    for part in parts {
        let call = Call::Status {
            part,
            id: id.clone(),
            team: target.visible_team(),
        };
        match peer::call(node, part, call).await {
            Reply::Status(Some(status)) => return JobLocation::Found(part, status),
            Reply::Status(None) => {}
            Reply::Quarantined => return JobLocation::Quarantined,
            reply => {
                let cause = match reply {
                    Reply::Outdated => Cause::OutdatedRequests,
                    _ => Cause::OwnerSilent,
                };
                // While the likely owner cannot tell, the others cannot prove that the job does not
                // exist, so do not query them.
                if part == likely_part {
                    return JobLocation::Unknown(cause);
                }
                doubt = Some(cause);
            }
        }
    }
    doubt.map_or(JobLocation::NotFound, JobLocation::Unknown)
}

/// Responds with the number of waiting jobs of a queue.
async fn get_pending(node: &Arc<Node>, target: &Target) -> HttpResponse {
    let part = node.partition_of(&target.queue.pool);
    let refuse_at = Instant::now() + PATIENCE;
    loop {
        let call = Call::Pending {
            part,
            queue: target.queue.name.clone(),
        };
        match peer::call(node, part, call).await {
            Reply::Pending(count) => return server::json_response(StatusCode::OK, caller::pending_body(count)),
            _ if refuse_at <= Instant::now() + RETRY_DELAY => return unavailable_response(Cause::OwnerSilent),
            _ => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}

/// Returns why neither the log nor an appender took a request.
fn log_cause(node: &Node) -> Cause {
    match node.is_log_reachable() {
        true => Cause::LogBusy(Duration::ZERO),
        false => Cause::LogSilent(node.log_silence()),
    }
}

/// Creates a response that refuses a request and tells when to return.
fn unavailable_response(cause: Cause) -> HttpResponse {
    let mut response = error_response(StatusCode::SERVICE_UNAVAILABLE, cause.name());
    // The header takes whole seconds. Rounding up or down at random keeps the spread.
    let seconds = cause.retry_after(rand::random()).as_secs_f64() + rand::random::<f64>();
    response
        .headers_mut()
        .insert(RETRY_AFTER, HeaderValue::from(seconds.max(1.0) as u64));
    response
}

/// Creates a response with an error message in JSON.
fn error_response(status: StatusCode, message: &str) -> HttpResponse {
    server::json_response(status, json!({ "error": message }).to_string().into_bytes())
}
