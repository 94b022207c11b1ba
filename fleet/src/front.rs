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
use crate::serve::{self, Answer};
use crate::{clock, peer};

/// Longest body of a request, bytes; the platform's own limit.
const BODY_LIMIT: usize = 262_144;
/// Time for a request without a deadline of its own.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(3);
/// Part of the deadline that is left for the answer's way back.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);
/// Time for one try to append a request.
const APPEND_TRY: Duration = Duration::from_millis(800);
/// Time for one try through another instance.
const RELAY_TRY: Duration = Duration::from_millis(500);
/// Time for tries to find a way to the log, while nothing has been sent.
/// A quarter of the tightest objective is 150 ms.
const REFUSE_AFTER: Duration = Duration::from_millis(120);
/// Pause between two tries.
const PAUSE: Duration = Duration::from_millis(30);
/// When to come back after a refusal, seconds.
const COME_BACK: &str = "1";
/// Header with the time for which a caller waits, milliseconds.
const DEADLINE: &str = "x-deadline-ms";

/// A call on a queue.
#[derive(Clone, Debug)]
struct Target {
    queue: Arc<Queue>,
    team: TeamId,
    deadline: Instant,
}

/// Answers a caller.
pub(crate) async fn answer(node: &Arc<Node>, request: Request<Incoming>) -> Answer {
    let _open = node.open_request();
    let started = clock::now().mono;
    let catalog = node.catalog.load_full();
    let path = request.uri().path().to_owned();
    let (call, id, answer) = match target(&catalog, &request, &path) {
        Err(answer) => ("none", JobKey::from(""), answer),
        Ok(target) => {
            let id = JobKey::from(&path[target.queue.prefix.len()..]);
            let (call, answer) = dispatch(node, request, &target, &id).await;
            (call, id, answer)
        }
    };
    let took = clock::now().mono.saturating_sub(started);
    node.metrics.count(call, answer.status(), took);
    // Answered questions on a job's state change nothing and are not logged.
    if call != "status" && call != "pending" || answer.status() != StatusCode::OK {
        node.decisions.line(
            "request",
            json!({
                "call": call,
                "job": id,
                "path": path,
                "status": answer.status().as_u16(),
                "config": catalog.version,
                "took_ms": took.as_millis() as u64,
            }),
        );
    }
    answer
}

/// Finds the queue and the caller's team.
fn target(catalog: &Catalog, request: &Request<Incoming>, path: &str) -> Result<Target, Answer> {
    if catalog.version == 0 {
        return Err(refuse("no configuration yet"));
    }
    let host = request.headers().get(HOST).and_then(|it| it.to_str().ok());
    let host = host.or_else(|| request.uri().host()).unwrap_or_default();
    let Some(queue) = catalog.route(host, path) else {
        return Err(error(StatusCode::NOT_FOUND, "there is no such queue"));
    };
    let key = request.headers().get(AUTHORIZATION).and_then(|it| it.to_str().ok());
    let key = key.and_then(|it| it.strip_prefix("Bearer ")).map(str::trim);
    let team = key.and_then(|it| catalog.keys.get(it));
    let team = match (team, queue.open) {
        (Some(team), _) => team.clone(),
        (None, true) => TeamId::from(""),
        (None, false) => return Err(error(StatusCode::UNAUTHORIZED, "the key is not known")),
    };
    let deadline = request.headers().get(DEADLINE).and_then(|it| it.to_str().ok());
    let deadline = deadline
        .and_then(|it| it.parse().ok())
        .map_or(DEFAULT_DEADLINE, Duration::from_millis);
    Ok(Target {
        queue: queue.clone(),
        team,
        deadline: Instant::now() + deadline.saturating_sub(ANSWER_MARGIN),
    })
}

async fn dispatch(node: &Arc<Node>, request: Request<Incoming>, target: &Target, id: &JobKey) -> (&'static str, Answer) {
    let method = request.method().clone();
    if id.is_empty() {
        return match method {
            Method::GET => ("pending", pending(node, target).await),
            _ => ("none", error(StatusCode::METHOD_NOT_ALLOWED, "a queue can only be read")),
        };
    }
    if !is_id(id) {
        return ("none", error(StatusCode::NOT_FOUND, "a job's id has 16 hexadecimal digits"));
    }
    match method {
        Method::POST => ("submit", submit(node, request, target, id).await),
        Method::GET => ("status", status(node, target, id).await),
        Method::DELETE => ("cancel", cancel(node, target, id).await),
        _ => (
            "none",
            error(StatusCode::METHOD_NOT_ALLOWED, "a job can be submitted, read and cancelled"),
        ),
    }
}

fn is_id(id: &str) -> bool {
    id.len() == 16 && id.bytes().all(|it| it.is_ascii_hexdigit())
}

async fn submit(node: &Arc<Node>, request: Request<Incoming>, target: &Target, id: &JobKey) -> Answer {
    let body = Limited::new(request.into_body(), BODY_LIMIT).collect().await;
    let Ok(body) = body else {
        return error(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long or was cut short");
    };
    let spec = match caller::read_job(&body.to_bytes()) {
        Ok(spec) => spec,
        Err(err) => return error(StatusCode::BAD_REQUEST, &err.to_string()),
    };
    let submission = Submission {
        queue: target.queue.name.clone(),
        pool: target.queue.pool.clone(),
        team: target.team.clone(),
        received_ms: clock::now().wall_ms(),
        spec: Arc::new(spec),
    };
    // A repeat after the queue was pointed at another pool is still the same job.
    for pool in &target.queue.former {
        let call = Call::Status {
            part: node.part_of(pool),
            id: id.clone(),
        };
        if let Reply::Status(Some(status)) = peer::call(node, node.part_of(pool), call).await {
            return serve::json(StatusCode::OK, caller::status_body(status));
        }
    }
    let part = node.part_of(&target.queue.pool);
    match store(node, part, id, job_record::Request::Submit(submission), target.deadline).await {
        Reply::Done => serve::json(StatusCode::OK, caller::status_body(Status::Queued)),
        Reply::Unavailable => refuse("the log takes no requests"),
        _ => error(StatusCode::GATEWAY_TIMEOUT, "the log did not answer; the job may have been taken"),
    }
}

async fn cancel(node: &Arc<Node>, target: &Target, id: &JobKey) -> Answer {
    let part = match locate(node, target, id).await {
        Located::At(part, _) => part,
        // The job may be on its way to the owner of the pool that the queue feeds now.
        Located::Nowhere | Located::Unknown => node.part_of(&target.queue.pool),
    };
    let request = job_record::Request::Cancel {
        at_ms: clock::now().wall_ms(),
    };
    match store(node, part, id, request, target.deadline).await {
        Reply::Done => serve::json(StatusCode::OK, caller::status_body(Status::Cancelled)),
        Reply::Unavailable => refuse("the log takes no requests"),
        _ => error(
            StatusCode::GATEWAY_TIMEOUT,
            "the log did not answer; the job may have been cancelled",
        ),
    }
}

/// Appends a request, directly or through another instance, until it is known to be in the log.
async fn store(node: &Arc<Node>, part: PartId, id: &JobKey, request: job_record::Request, deadline: Instant) -> Reply {
    let refuse_at = Instant::now() + REFUSE_AFTER;
    let mut maybe = false;
    // An instance that the log turns away asks another one first.
    let mut direct = node.reaches_log();
    let mut tries = 0;
    loop {
        let left = deadline.saturating_duration_since(Instant::now()).min(APPEND_TRY);
        let reply = match direct {
            true => peer::append(node, part, id, &request, left).await,
            false => relay(node, tries, part, id, &request, left).await,
        };
        tries += 1;
        match reply {
            Reply::Done => return Reply::Done,
            Reply::Unavailable | Reply::NotOwner => {}
            _ => maybe = true,
        }
        direct = !direct;
        let now = Instant::now();
        match maybe {
            // The same record again changes nothing if the first one is there.
            true if deadline <= now + PAUSE => return Reply::Unknown,
            false if refuse_at <= now + PAUSE => return Reply::Unavailable,
            _ => tokio::time::sleep(PAUSE).await,
        }
    }
}

/// Has another instance append a request: the log may turn only this one away.
async fn relay(node: &Arc<Node>, tries: usize, part: PartId, id: &JobKey, request: &job_record::Request, timeout: Duration) -> Reply {
    let owners = node.owners.load_full();
    let mut others: Vec<_> = owners.values().filter(|it| **it != node.settings.peers).copied().collect();
    others.sort();
    others.dedup();
    if others.is_empty() {
        return Reply::Unavailable;
    }
    // Another one with each try, and not the same one from everywhere.
    let spread: usize = id.bytes().map(usize::from).sum();
    let addr = others[(spread + tries) % others.len()];
    let call = Call::Append {
        part,
        id: id.clone(),
        request: request.clone(),
    };
    peer::remote(node, addr, call, timeout.min(RELAY_TRY)).await
}

async fn status(node: &Arc<Node>, target: &Target, id: &JobKey) -> Answer {
    let refuse_at = Instant::now() + REFUSE_AFTER;
    loop {
        match locate(node, target, id).await {
            Located::At(_, status) => return serve::json(StatusCode::OK, caller::status_body(status)),
            Located::Nowhere => return error(StatusCode::GONE, "there is no such job"),
            Located::Unknown if refuse_at <= Instant::now() + PAUSE => {
                return refuse("the owner of the job's pool does not answer");
            }
            Located::Unknown => tokio::time::sleep(PAUSE).await,
        }
    }
}

/// Where a job is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Located {
    /// In a partition, with its state.
    At(PartId, Status),
    /// In no partition.
    Nowhere,
    /// Some owner did not answer.
    Unknown,
}

/// Looks for a job with the owner of its queue's pool, then with all others:
/// the queue may have fed another pool when the job was taken.
async fn locate(node: &Arc<Node>, target: &Target, id: &JobKey) -> Located {
    let catalog = node.catalog.load_full();
    let first = node.part_of(&target.queue.pool);
    let mut parts: Vec<PartId> = catalog.pools.keys().map(|it| node.part_of(it)).collect();
    parts.sort_unstable_by_key(|it| (*it != first, *it));
    parts.dedup();
    let mut unknown = false;
    for part in parts {
        let call = Call::Status { part, id: id.clone() };
        match peer::call(node, part, call).await {
            Reply::Status(Some(status)) => return Located::At(part, status),
            Reply::Status(None) => {}
            // Without the likely owner's word the others' matters little.
            _ if part == first => return Located::Unknown,
            _ => unknown = true,
        }
    }
    if unknown { Located::Unknown } else { Located::Nowhere }
}

async fn pending(node: &Arc<Node>, target: &Target) -> Answer {
    let part = node.part_of(&target.queue.pool);
    let refuse_at = Instant::now() + REFUSE_AFTER;
    loop {
        let call = Call::Pending {
            part,
            queue: target.queue.name.clone(),
        };
        match peer::call(node, part, call).await {
            Reply::Pending(count) => return serve::json(StatusCode::OK, caller::pending_body(count)),
            _ if refuse_at <= Instant::now() + PAUSE => return refuse("the owner of the queue's pool does not answer"),
            _ => tokio::time::sleep(PAUSE).await,
        }
    }
}

fn refuse(why: &str) -> Answer {
    let mut answer = error(StatusCode::SERVICE_UNAVAILABLE, why);
    answer.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static(COME_BACK));
    answer
}

fn error(status: StatusCode, why: &str) -> Answer {
    serve::json(status, json!({ "error": why }).to_string().into_bytes())
}
