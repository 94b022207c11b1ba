//! HTTP routes of an entry instance.
//!
//! - Callers, authenticated by the key in a header: `/v1/jobs` and `/v1/ids`.
//! - Operators and other entries, not authenticated: `/v1/status`, `/v1/all-jobs`, `/v1/hold` and
//!   `/peer`.
//! - Monitoring: `/events`, `/healthz`, `/readyz` and `/metrics`.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use oriolewall::entry::{Event, Wait};
use oriolewall::id::JobId;
use oriolewall::job::{Job, Status};
use oriolewall::key;
use oriolewall::wire::{Frame, Hold};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;
use uuid::Uuid;
use warp::filters::BoxedFilter;
use warp::http::StatusCode;
use warp::reply::Response;
use warp::{Filter, Rejection, Reply};

use crate::api::{self, EntryStatus, ErrorBody, JobIds, JobResponse, JobSummary, KEY_HEADER, SubmitRequest};
use crate::metrics::Metrics;
use crate::node::{Command, EntryHandle};

/// Maximum time for which a response waits for the end of a job.
const MAX_WAIT: Duration = Duration::from_secs(30);
/// Maximum time from the submission of a job to its deadline, in milliseconds.
const MAX_DEADLINE_MS: u64 = 7 * 24 * 3600 * 1000;
/// Maximum size of a frame from a peer in bytes.
const MAX_FRAME_BYTES: u64 = 64 * 1024 * 1024;
/// Maximum number of ids created by one request.
const MAX_IDS: usize = 1_000;

#[derive(Clone, Copy, Debug, Deserialize)]
struct WaitQuery {
    /// Time for which the response may be delayed until the job ends.
    #[serde(default)]
    wait_ms: u64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
struct AfterQuery {
    /// Sequence number after which events are returned.
    #[serde(default)]
    after: u64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
struct CountQuery {
    /// Number of ids to create.
    #[serde(default = "one")]
    count: usize,
}

fn one() -> usize {
    1
}

/// Returns all routes of an entry instance.
pub(crate) fn entry_routes(handle: EntryHandle, metrics: Arc<Metrics>) -> BoxedFilter<(Response,)> {
    let max_body_bytes = handle.max_body_bytes;
    let with_handle = warp::any().map(move || handle.clone());
    let key = warp::header::optional::<String>(KEY_HEADER);

    let submit = warp::path!("v1" / "jobs")
        .and(warp::post())
        .and(with_handle.clone())
        .and(key)
        .and(warp::body::content_length_limit(max_body_bytes))
        .and(warp::body::bytes())
        .then(on_submit);
    let query = warp::path!("v1" / "jobs" / String)
        .and(warp::get())
        .and(with_handle.clone())
        .and(key)
        .and(warp::query::<WaitQuery>())
        .then(on_query);
    let cancel = warp::path!("v1" / "jobs" / String)
        .and(warp::delete())
        .and(with_handle.clone())
        .and(key)
        .then(on_cancel);
    let ids = warp::path!("v1" / "ids")
        .and(warp::post())
        .and(with_handle.clone())
        .and(key)
        .and(warp::query::<CountQuery>())
        .then(on_new_ids);
    let caller_routes = submit.or(query).unify().or(cancel).unify().or(ids).unify();

    let status = warp::path!("v1" / "status")
        .and(warp::get())
        .and(with_handle.clone())
        .then(on_status);
    let jobs = warp::path!("v1" / "all-jobs")
        .and(warp::get())
        .and(with_handle.clone())
        .then(on_list_jobs);
    let hold = warp::path!("v1" / "hold")
        .and(warp::post())
        .and(with_handle.clone())
        .and(warp::body::content_length_limit(max_body_bytes))
        .and(warp::body::bytes())
        .then(on_hold);
    let peer = warp::path!("peer")
        .and(warp::post())
        .and(with_handle.clone())
        .and(warp::body::content_length_limit(MAX_FRAME_BYTES))
        .and(warp::body::bytes())
        .then(on_frame);
    let peer_state = warp::path!("peer" / "state")
        .and(warp::get())
        .and(with_handle.clone())
        .then(on_peer_state);
    let internal_routes = status.or(jobs).unify().or(hold).unify().or(peer).unify().or(peer_state).unify();

    let events = warp::path!("events")
        .and(warp::get())
        .and(with_handle.clone())
        .and(warp::query::<AfterQuery>())
        .then(on_events);
    let healthz = warp::path!("healthz")
        .and(warp::get())
        .map(|| text_response(StatusCode::OK, "ok\n"));
    let readyz = warp::path!("readyz")
        .and(warp::get())
        .and(with_handle.clone())
        .map(|handle: EntryHandle| on_ready(&handle));
    let metrics_route = warp::path!("metrics")
        .and(warp::get())
        .and(with_handle)
        .then(move |handle| on_metrics(handle, metrics.clone()));
    let monitoring_routes = events.or(healthz).unify().or(readyz).unify().or(metrics_route).unify();

    caller_routes
        .or(internal_routes)
        .unify()
        .or(monitoring_routes)
        .unify()
        .recover(handle_rejection)
        .unify()
        .boxed()
}

/// Submits a job and waits for its end, for as long as the caller requested.
async fn on_submit(handle: EntryHandle, key: Option<String>, body: Bytes) -> Response {
    let published = handle.published.load_full();
    if !published.ready {
        return error_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "not_ready",
            "this entry takes no jobs now; try another",
        );
    }
    let (key, team) = match authenticate_caller(&published.keys, key) {
        Ok(authenticated) => authenticated,
        Err(response) => return response,
    };
    let request: SubmitRequest = match serde_json::from_slice(&body) {
        Ok(request) => request,
        Err(err) => return error_response(StatusCode::BAD_REQUEST, "bad_request", &err.to_string()),
    };
    if request.id.get_version_num() != 7 {
        return error_response(StatusCode::BAD_REQUEST, "bad_id", "id must be a version 7 UUID");
    }
    if request.deadline_ms == 0 || MAX_DEADLINE_MS < request.deadline_ms {
        return error_response(StatusCode::BAD_REQUEST, "bad_request", "deadline_ms must be from 1 to 604800000");
    }
    let now = handle.clock.now();
    let job = Job {
        id: request.id,
        team,
        key,
        class: request.class,
        repeat: request.repeat,
        expected: Duration::from_millis(request.expected_ms),
        deadline_ms: now.wall_ms() + request.deadline_ms,
        payload: Bytes::from(request.payload),
    };
    let (reply, receiver) = oneshot::channel();
    let id = job.id;
    let _ = handle.commands.send(Command::Submit { job, reply });
    wait_for_status(&handle, id, receiver, Duration::from_millis(request.wait_ms)).await
}

/// Responds with the status of a job when it is received, or after `wait` with the current status.
async fn wait_for_status(handle: &EntryHandle, id: JobId, receiver: oneshot::Receiver<Option<Status>>, wait: Duration) -> Response {
    match tokio::time::timeout(wait.min(MAX_WAIT), receiver).await {
        Ok(Ok(Some(status))) => job_response(id, &status),
        Ok(Ok(None)) => error_response(StatusCode::NOT_FOUND, "unknown_job", "no entry knows this job"),
        Ok(Err(_)) => error_response(StatusCode::BAD_GATEWAY, "stopped", "this entry stopped; ask another for the job"),
        Err(_) => current_status(handle, id).await,
    }
}

/// Responds with the current status of a job.
async fn current_status(handle: &EntryHandle, id: JobId) -> Response {
    let (reply, receiver) = oneshot::channel();
    let _ = handle.commands.send(Command::Query {
        job: id,
        wait: Wait::No,
        reply,
    });
    match receiver.await {
        Ok(Some(status)) => job_response(id, &status),
        Ok(None) => error_response(StatusCode::NOT_FOUND, "unknown_job", "no entry knows this job"),
        Err(_) => error_response(StatusCode::BAD_GATEWAY, "stopped", "this entry stopped; ask another for the job"),
    }
}

/// Responds with the status of a job, at once or when it has ended.
async fn on_query(id: String, handle: EntryHandle, key: Option<String>, query: WaitQuery) -> Response {
    let id = match authorize_job(&handle, &id, key).await {
        Ok(id) => id,
        Err(response) => return response,
    };
    let (reply, receiver) = oneshot::channel();
    let wait = if query.wait_ms == 0 { Wait::No } else { Wait::UntilEnded };
    let _ = handle.commands.send(Command::Query { job: id, wait, reply });
    let max_wait = if query.wait_ms == 0 {
        MAX_WAIT
    } else {
        Duration::from_millis(query.wait_ms)
    };
    wait_for_status(&handle, id, receiver, max_wait).await
}

/// Cancels a job and responds with its status.
async fn on_cancel(id: String, handle: EntryHandle, key: Option<String>) -> Response {
    let id = match authorize_job(&handle, &id, key).await {
        Ok(id) => id,
        Err(response) => return response,
    };
    handle.send(Event::Cancel { job: id });
    current_status(&handle, id).await
}

/// Parses the id and authenticates the key. If this entry has the job, also checks that it belongs
/// to the key's team.
async fn authorize_job(handle: &EntryHandle, id: &str, key: Option<String>) -> Result<JobId, Response> {
    let id = Uuid::parse_str(id).map_err(|_| error_response(StatusCode::BAD_REQUEST, "bad_id", "id must be a version 7 UUID"))?;
    let (_, team) = authenticate_caller(&handle.published.load().keys, key)?;
    let job_team = handle.inspect(move |entry, _| entry.team_of(&id)).await.flatten();
    match job_team {
        Some(job_team) if job_team != team => Err(error_response(StatusCode::NOT_FOUND, "unknown_job", "no entry knows this job")),
        _ => Ok(id),
    }
}

/// Creates job ids that this entry owns. It accepts jobs with these ids that must run at most once
/// without calling another entry.
async fn on_new_ids(handle: EntryHandle, key: Option<String>, query: CountQuery) -> Response {
    let published = handle.published.load_full();
    if let Err(response) = authenticate_caller(&published.keys, key) {
        return response;
    }
    if !published.ready {
        return error_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "not_ready",
            "this entry takes no jobs now; try another",
        );
    }
    let mut ids = Vec::new();
    while ids.len() < query.count.min(MAX_IDS) {
        let id = Uuid::now_v7();
        if published.membership.owner(&id) == Some(&published.id) {
            ids.push(id);
        }
    }
    json_response(StatusCode::OK, &JobIds { ids })
}

async fn on_status(handle: EntryHandle) -> Response {
    let status = handle.inspect(|entry, now| EntryStatus {
        id: entry.settings().id().to_string(),
        zone: entry.settings().zone().clone(),
        life: format!("{:?}", entry.lifecycle()),
        next: entry.state().next_offset(),
        age_ms: entry.view_age(now).map(|it| it.as_millis() as u64),
        queued: entry.queued_jobs(),
        running: entry.running_tasks(),
        teams: entry.running_by_team().map(|(team, running)| (team.clone(), running)).collect(),
    });
    json_or_stopped(status.await)
}

async fn on_list_jobs(handle: EntryHandle) -> Response {
    let jobs = handle.inspect(|entry, _| {
        let summarize = |(id, team, status): (&JobId, &oriolewall::id::TeamId, Status)| JobSummary {
            id: *id,
            team: team.clone(),
            state: api::state_name(&status).to_owned(),
        };
        entry.jobs().map(summarize).collect::<Vec<_>>()
    });
    json_or_stopped(jobs.await)
}

async fn on_hold(handle: EntryHandle, body: Bytes) -> Response {
    let hold: Hold = match serde_json::from_slice(&body) {
        Ok(hold) => hold,
        Err(err) => return error_response(StatusCode::BAD_REQUEST, "bad_request", &err.to_string()),
    };
    handle.send(Event::Hold(hold));
    text_response(StatusCode::OK, "held\n")
}

async fn on_frame(handle: EntryHandle, body: Bytes) -> Response {
    match Frame::decode(&body) {
        Ok(frame) => {
            handle.send(Event::FrameReceived(frame));
            text_response(StatusCode::OK, "")
        }
        Err(err) => error_response(StatusCode::BAD_REQUEST, "bad_frame", &err.to_string()),
    }
}

/// Responds with a snapshot of the state for a starting peer, empty if this instance is stopping.
async fn on_peer_state(handle: EntryHandle) -> Response {
    let state = handle.inspect(|entry, _| oriolewall::snapshot::encode(entry.state())).await;
    Response::new(state.unwrap_or_default().into())
}

async fn on_events(handle: EntryHandle, query: AfterQuery) -> Response {
    json_or_stopped(handle.inspect(move |entry, _| entry.events().page_after(query.after)).await)
}

fn on_ready(handle: &EntryHandle) -> Response {
    if handle.published.load().ready {
        return text_response(StatusCode::OK, "ready\n");
    }
    text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
}

async fn on_metrics(handle: EntryHandle, metrics: Arc<Metrics>) -> Response {
    let counts = handle
        .inspect(|entry, now| (entry.counters(), entry.queued_jobs(), entry.running_tasks(), entry.view_age(now)))
        .await;
    if let Some((counters, queued, running, age)) = counts {
        metrics.update(counters, queued, running, age);
    }
    text_response(StatusCode::OK, &metrics.render())
}

/// Returns the id and the team of a caller's key, or an error response if it is not valid.
fn authenticate_caller(keys: &key::Keyring, key: Option<String>) -> Result<(oriolewall::id::KeyId, oriolewall::id::TeamId), Response> {
    let Some(key) = key else {
        return Err(error_response(
            StatusCode::UNAUTHORIZED,
            "no_key",
            "send your team's key in the x-oriole-key header",
        ));
    };
    keys.authenticate(&key).map_err(|err| match err {
        key::Error::Withdrawn { .. } => error_response(StatusCode::FORBIDDEN, "key_withdrawn", &err.to_string()),
        _ => error_response(StatusCode::UNAUTHORIZED, "unknown_key", "this key is not known"),
    })
}

/// Responds with the status of a job as JSON.
fn job_response(id: JobId, status: &Status) -> Response {
    let code = StatusCode::from_u16(api::status_code(status)).unwrap_or(StatusCode::OK);
    json_response(code, &JobResponse::new(id, status))
}

/// Responds with a JSON body, or with an error if the state machine has stopped.
fn json_or_stopped<T>(value: Option<T>) -> Response
where
    T: Serialize,
{
    match value {
        Some(value) => json_response(StatusCode::OK, &value),
        None => error_response(StatusCode::SERVICE_UNAVAILABLE, "stopped", "this process is stopping"),
    }
}

/// Responds with an error to a request that no route accepted.
pub(crate) async fn handle_rejection(rejection: Rejection) -> Result<Response, Rejection> {
    use warp::reject::{InvalidQuery, LengthRequired, MethodNotAllowed, PayloadTooLarge};
    if rejection.find::<PayloadTooLarge>().is_some() {
        return Ok(error_response(
            StatusCode::PAYLOAD_TOO_LARGE,
            "too_large",
            "the body is larger than this entry accepts",
        ));
    }
    if rejection.find::<LengthRequired>().is_some() {
        return Ok(error_response(
            StatusCode::LENGTH_REQUIRED,
            "length_required",
            "send a content-length header",
        ));
    }
    if rejection.find::<InvalidQuery>().is_some() {
        return Ok(error_response(
            StatusCode::BAD_REQUEST,
            "bad_request",
            "the query string cannot be read",
        ));
    }
    if rejection.find::<MethodNotAllowed>().is_some() {
        return Ok(error_response(
            StatusCode::METHOD_NOT_ALLOWED,
            "bad_method",
            "this path does not take that method",
        ));
    }
    Ok(error_response(StatusCode::NOT_FOUND, "not_found", "no such path"))
}

/// Creates an error response with an [`ErrorBody`].
pub(crate) fn error_response(code: StatusCode, error: &str, message: &str) -> Response {
    json_response(
        code,
        &ErrorBody {
            error: error.to_owned(),
            message: message.to_owned(),
        },
    )
}

/// Creates a response with a JSON body.
pub fn json_response<T>(code: StatusCode, value: &T) -> Response
where
    T: Serialize,
{
    warp::reply::with_status(warp::reply::json(value), code).into_response()
}

/// Creates a response with a plain-text body.
pub fn text_response(code: StatusCode, value: &str) -> Response {
    warp::reply::with_status(value.to_owned(), code).into_response()
}
