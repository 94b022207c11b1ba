//! Callers' requests: submit, ask, cancel, count.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, HOST, HeaderValue, RETRY_AFTER};
use hyper::{Method, Request, StatusCode};
use oriole_platform::caller;
use oriolewall::catalog::{Catalog, Queue};
use oriolewall::exchange::{Call, PartId, Reply};
use oriolewall::id::TeamId;
use oriolewall::inquiry::Status;
use oriolewall::job_record::{self, JobKey, Submission};
use serde_json::json;
use tokio::time::Instant;

use crate::node::Node;
use crate::server::{self, HttpResponse};
use crate::{clock, peer};

/// Longest body of a request, bytes; the platform's own limit.
const BODY_LIMIT: usize = 262_144;
/// Time for a request without a deadline of its own.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(3);
/// Part of the deadline that is left for the answer's way back.
const RESPONSE_MARGIN: Duration = Duration::from_millis(150);
/// Time for one try to append a request.
const APPEND_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(800);
/// Time for one try through another instance.
const RELAY_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for tries to find a way to the log, while nothing has been sent.
/// A quarter of the tightest objective is 150 ms.
const UNSENT_RETRY_LIMIT: Duration = Duration::from_millis(120);
/// Pause between two tries.
const RETRY_PAUSE: Duration = Duration::from_millis(30);
/// When to come back after a refusal, seconds.
const RETRY_AFTER_SECONDS: &str = "1";
/// Header with the time for which a caller waits, milliseconds.
const DEADLINE_HEADER: &str = "x-deadline-ms";

/// A call on a queue.
#[derive(Clone, Debug)]
struct Target {
    queue: Arc<Queue>,
    team: TeamId,
    deadline: Instant,
}

/// Answers a caller.
pub(crate) async fn handle_request(node: &Arc<Node>, request: Request<Incoming>) -> HttpResponse {
    let _open = node.open_request();
    let started = clock::now().mono;
    let catalog = node.catalog.load_full();
    let path = request.uri().path().to_owned();
    let (call, id, answer) = match resolve_target(&catalog, &request, &path) {
        Err(answer) => ("none", JobKey::from(""), answer),
        Ok(target) => {
            let id = JobKey::from(&path[target.queue.path_prefix.len()..]);
            let (call, answer) = dispatch(node, request, &target, &id).await;
            (call, id, answer)
        }
    };
    let elapsed = clock::now().mono.saturating_sub(started);
    node.metrics.record_request(call, answer.status(), elapsed);
    // Answered questions on a job's state change nothing and are not logged.
    if call != "status" && call != "pending" || answer.status() != StatusCode::OK {
        node.decision_log.write(
            "request",
            json!({
                "call": call,
                "job": id,
                "path": path,
                "status": answer.status().as_u16(),
                "config": catalog.version,
                "took_ms": elapsed.as_millis() as u64,
            }),
        );
    }
    answer
}

/// Finds the queue and the caller's team.
fn resolve_target(catalog: &Catalog, request: &Request<Incoming>, path: &str) -> Result<Target, HttpResponse> {
    if catalog.version == 0 {
        return Err(unavailable_response("no configuration yet"));
    }
    let host = request.headers().get(HOST).and_then(|it| it.to_str().ok());
    let host = host.or_else(|| request.uri().host()).unwrap_or_default();
    let Some(queue) = catalog.route(host, path) else {
        return Err(error_response(StatusCode::NOT_FOUND, "there is no such queue"));
    };
    let key = request.headers().get(AUTHORIZATION).and_then(|it| it.to_str().ok());
    let key = key.and_then(|it| it.strip_prefix("Bearer ")).map(str::trim);
    let team = key.and_then(|it| catalog.keys.get(it));
    let team = match (team, queue.is_public) {
        (Some(team), _) => team.clone(),
        (None, true) => TeamId::from(""),
        (None, false) => return Err(error_response(StatusCode::UNAUTHORIZED, "the key is not known")),
    };
    let deadline = request.headers().get(DEADLINE_HEADER).and_then(|it| it.to_str().ok());
    let deadline = deadline
        .and_then(|it| it.parse().ok())
        .map_or(DEFAULT_DEADLINE, Duration::from_millis);
    Ok(Target {
        queue: queue.clone(),
        team,
        deadline: Instant::now() + deadline.saturating_sub(RESPONSE_MARGIN),
    })
}

async fn dispatch(node: &Arc<Node>, request: Request<Incoming>, target: &Target, id: &JobKey) -> (&'static str, HttpResponse) {
    let method = request.method().clone();
    if id.is_empty() {
        return match method {
            Method::GET => ("pending", pending(node, target).await),
            _ => ("none", error_response(StatusCode::METHOD_NOT_ALLOWED, "a queue can only be read")),
        };
    }
    if !is_id(id) {
        return (
            "none",
            error_response(StatusCode::NOT_FOUND, "a job's id has 16 hexadecimal digits"),
        );
    }
    match method {
        Method::POST => ("submit", submit(node, request, target, id).await),
        Method::GET => ("status", status(node, target, id).await),
        Method::DELETE => ("cancel", cancel(node, target, id).await),
        _ => (
            "none",
            error_response(StatusCode::METHOD_NOT_ALLOWED, "a job can be submitted, read and cancelled"),
        ),
    }
}

fn is_id(id: &str) -> bool {
    id.len() == 16 && id.bytes().all(|it| it.is_ascii_hexdigit())
}

async fn submit(node: &Arc<Node>, request: Request<Incoming>, target: &Target, id: &JobKey) -> HttpResponse {
    let body = Limited::new(request.into_body(), BODY_LIMIT).collect().await;
    let Ok(body) = body else {
        return error_response(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long or was cut short");
    };
    let spec = match caller::decode_job(&body.to_bytes()) {
        Ok(spec) => spec,
        Err(err) => return error_response(StatusCode::BAD_REQUEST, &err.to_string()),
    };
    let submission = Submission {
        queue: target.queue.name.clone(),
        pool: target.queue.pool.clone(),
        team: target.team.clone(),
        received_ms: clock::now().wall_ms(),
        spec: Arc::new(spec),
    };
    // A repeat after the queue was pointed at another pool is still the same job.
    for pool in &target.queue.former_pools {
        let call = Call::Status {
            part: node.partition_of(pool),
            id: id.clone(),
        };
        if let Reply::Status(Some(status)) = peer::call(node, node.partition_of(pool), call).await {
            return server::json_response(StatusCode::OK, caller::status_body(status));
        }
    }
    let part = node.partition_of(&target.queue.pool);
    match store_request(node, part, id, job_record::Request::Submit(submission), target.deadline).await {
        Reply::Done => server::json_response(StatusCode::OK, caller::status_body(Status::Queued)),
        Reply::Unavailable => unavailable_response("the log takes no requests"),
        _ => error_response(StatusCode::GATEWAY_TIMEOUT, "the log did not answer; the job may have been taken"),
    }
}

async fn cancel(node: &Arc<Node>, target: &Target, id: &JobKey) -> HttpResponse {
    let part = match locate_job(node, target, id).await {
        JobLocation::Found(part, _) => part,
        // The job may be on its way to the owner of the pool that the queue feeds now.
        JobLocation::NotFound | JobLocation::Unknown => node.partition_of(&target.queue.pool),
    };
    let request = job_record::Request::Cancel {
        at_ms: clock::now().wall_ms(),
    };
    match store_request(node, part, id, request, target.deadline).await {
        Reply::Done => server::json_response(StatusCode::OK, caller::status_body(Status::Cancelled)),
        Reply::Unavailable => unavailable_response("the log takes no requests"),
        _ => error_response(
            StatusCode::GATEWAY_TIMEOUT,
            "the log did not answer; the job may have been cancelled",
        ),
    }
}

/// Appends a request, directly or through another instance, until it is known to be in the log.
async fn store_request(node: &Arc<Node>, part: PartId, id: &JobKey, request: job_record::Request, deadline: Instant) -> Reply {
    let refuse_at = Instant::now() + UNSENT_RETRY_LIMIT;
    let mut possibly_stored = false;
    // An instance that the log turns away asks another one first.
    let mut append_directly = node.is_log_reachable();
    let mut attempts = 0;
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now()).min(APPEND_ATTEMPT_TIMEOUT);
        let reply = match append_directly {
            true => peer::append_request(node, part, id, &request, remaining).await,
            false => relay(node, attempts, part, id, &request, remaining).await,
        };
        attempts += 1;
        match reply {
            Reply::Done => return Reply::Done,
            Reply::Unavailable | Reply::NotOwner => {}
            _ => possibly_stored = true,
        }
        append_directly = !append_directly;
        let now = Instant::now();
        match possibly_stored {
            // The same record again changes nothing if the first one is there.
            true if deadline <= now + RETRY_PAUSE => return Reply::Unknown,
            false if refuse_at <= now + RETRY_PAUSE => return Reply::Unavailable,
            _ => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
}

/// Has another instance append a request: the log may turn only this one away.
async fn relay(node: &Arc<Node>, attempts: usize, part: PartId, id: &JobKey, request: &job_record::Request, timeout: Duration) -> Reply {
    let owners = node.owners.load_full();
    let mut others: Vec<_> = owners.values().filter(|it| **it != node.settings.peer_addr).copied().collect();
    others.sort();
    others.dedup();
    if others.is_empty() {
        return Reply::Unavailable;
    }
    // Another one with each try, and not the same one from everywhere.
    let offset: usize = id.bytes().map(usize::from).sum();
    let addr = others[(offset + attempts) % others.len()];
    let call = Call::Append {
        part,
        id: id.clone(),
        request: request.clone(),
    };
    peer::call_instance(node, addr, call, timeout.min(RELAY_ATTEMPT_TIMEOUT)).await
}

async fn status(node: &Arc<Node>, target: &Target, id: &JobKey) -> HttpResponse {
    let refuse_at = Instant::now() + UNSENT_RETRY_LIMIT;
    loop {
        match locate_job(node, target, id).await {
            JobLocation::Found(_, status) => return server::json_response(StatusCode::OK, caller::status_body(status)),
            JobLocation::NotFound => return error_response(StatusCode::GONE, "there is no such job"),
            JobLocation::Unknown if refuse_at <= Instant::now() + RETRY_PAUSE => {
                return unavailable_response("the owner of the job's pool does not answer");
            }
            JobLocation::Unknown => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
}

/// Where a job is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum JobLocation {
    /// In a partition, with its state.
    Found(PartId, Status),
    /// In no partition.
    NotFound,
    /// Some owner did not answer.
    Unknown,
}

/// Looks for a job with the owner of its queue's pool, then with all others:
/// the queue may have fed another pool when the job was taken.
async fn locate_job(node: &Arc<Node>, target: &Target, id: &JobKey) -> JobLocation {
    let catalog = node.catalog.load_full();
    let likely_part = node.partition_of(&target.queue.pool);
    let mut parts: Vec<PartId> = catalog.pools.keys().map(|it| node.partition_of(it)).collect();
    parts.sort_unstable_by_key(|it| (*it != likely_part, *it));
    parts.dedup();
    let mut unknown = false;
    for part in parts {
        let call = Call::Status { part, id: id.clone() };
        match peer::call(node, part, call).await {
            Reply::Status(Some(status)) => return JobLocation::Found(part, status),
            Reply::Status(None) => {}
            // Without the likely owner's word the others' matters little.
            _ if part == likely_part => return JobLocation::Unknown,
            _ => unknown = true,
        }
    }
    if unknown { JobLocation::Unknown } else { JobLocation::NotFound }
}

async fn pending(node: &Arc<Node>, target: &Target) -> HttpResponse {
    let part = node.partition_of(&target.queue.pool);
    let refuse_at = Instant::now() + UNSENT_RETRY_LIMIT;
    loop {
        let call = Call::Pending {
            part,
            queue: target.queue.name.clone(),
        };
        match peer::call(node, part, call).await {
            Reply::Pending(count) => return server::json_response(StatusCode::OK, caller::pending_body(count)),
            _ if refuse_at <= Instant::now() + RETRY_PAUSE => return unavailable_response("the owner of the queue's pool does not answer"),
            _ => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
}

fn unavailable_response(message: &str) -> HttpResponse {
    let mut answer = error_response(StatusCode::SERVICE_UNAVAILABLE, message);
    answer
        .headers_mut()
        .insert(RETRY_AFTER, HeaderValue::from_static(RETRY_AFTER_SECONDS));
    answer
}

fn error_response(status: StatusCode, message: &str) -> HttpResponse {
    server::json_response(status, json!({ "error": message }).to_string().into_bytes())
}
