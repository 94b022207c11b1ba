//! HTTP routes of an entry instance.

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

/// Longest wait of one request for an answer.
const LONGEST_WAIT: Duration = Duration::from_secs(30);
/// Longest deadline of a job.
const LONGEST_DEADLINE_MS: u64 = 7 * 24 * 3600 * 1000;
/// Largest frame from a peer, bytes.
const FRAME_BYTES: u64 = 64 * 1024 * 1024;
/// Most ids minted by one request.
const MOST_IDS: usize = 1_000;

#[derive(Clone, Copy, Debug, Deserialize)]
struct WaitQuery {
    #[serde(default)]
    wait_ms: u64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
struct AfterQuery {
    #[serde(default)]
    after: u64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
struct CountQuery {
    #[serde(default = "one")]
    count: usize,
}

fn one() -> usize {
    1
}

/// All routes of an entry instance.
pub(crate) fn entry_routes(handle: EntryHandle, metrics: Arc<Metrics>) -> BoxedFilter<(Response,)> {
    let limit = handle.max_body_bytes;
    let with = warp::any().map(move || handle.clone());
    let key = warp::header::optional::<String>(KEY_HEADER);

    let submit = warp::path!("v1" / "jobs")
        .and(warp::post())
        .and(with.clone())
        .and(key)
        .and(warp::body::content_length_limit(limit))
        .and(warp::body::bytes())
        .then(on_submit);
    let query = warp::path!("v1" / "jobs" / String)
        .and(warp::get())
        .and(with.clone())
        .and(key)
        .and(warp::query::<WaitQuery>())
        .then(on_query);
    let cancel = warp::path!("v1" / "jobs" / String)
        .and(warp::delete())
        .and(with.clone())
        .and(key)
        .then(on_cancel);
    let ids = warp::path!("v1" / "ids")
        .and(warp::post())
        .and(with.clone())
        .and(key)
        .and(warp::query::<CountQuery>())
        .then(on_ids);
    let callers = submit.or(query).unify().or(cancel).unify().or(ids).unify();

    let status = warp::path!("v1" / "status").and(warp::get()).and(with.clone()).then(on_status);
    let jobs = warp::path!("v1" / "all-jobs").and(warp::get()).and(with.clone()).then(on_jobs);
    let hold = warp::path!("v1" / "hold")
        .and(warp::post())
        .and(with.clone())
        .and(warp::body::content_length_limit(limit))
        .and(warp::body::bytes())
        .then(on_hold);
    let peer = warp::path!("peer")
        .and(warp::post())
        .and(with.clone())
        .and(warp::body::content_length_limit(FRAME_BYTES))
        .and(warp::body::bytes())
        .then(on_frame);
    let peer_state = warp::path!("peer" / "state").and(warp::get()).and(with.clone()).then(on_state);
    let inside = status.or(jobs).unify().or(hold).unify().or(peer).unify().or(peer_state).unify();

    let events = warp::path!("events")
        .and(warp::get())
        .and(with.clone())
        .and(warp::query::<AfterQuery>())
        .then(on_events);
    let healthz = warp::path!("healthz")
        .and(warp::get())
        .map(|| text_response(StatusCode::OK, "ok\n"));
    let readyz = warp::path!("readyz")
        .and(warp::get())
        .and(with.clone())
        .map(|handle: EntryHandle| on_ready(&handle));
    let scrape = warp::path!("metrics")
        .and(warp::get())
        .and(with)
        .then(move |handle| on_metrics(handle, metrics.clone()));
    let watching = events.or(healthz).unify().or(readyz).unify().or(scrape).unify();

    callers
        .or(inside)
        .unify()
        .or(watching)
        .unify()
        .recover(handle_rejection)
        .unify()
        .boxed()
}

async fn on_submit(handle: EntryHandle, key: Option<String>, body: Bytes) -> Response {
    let view = handle.published.load_full();
    if !view.ready {
        return error_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "not_ready",
            "this entry takes no jobs now; try another",
        );
    }
    let (key, team) = match check_key(&view.keys, key) {
        Ok(found) => found,
        Err(response) => return response,
    };
    let submit: SubmitRequest = match serde_json::from_slice(&body) {
        Ok(submit) => submit,
        Err(err) => return error_response(StatusCode::BAD_REQUEST, "bad_request", &err.to_string()),
    };
    if submit.id.get_version_num() != 7 {
        return error_response(StatusCode::BAD_REQUEST, "bad_id", "id must be a version 7 UUID");
    }
    if submit.deadline_ms == 0 || LONGEST_DEADLINE_MS < submit.deadline_ms {
        return error_response(StatusCode::BAD_REQUEST, "bad_request", "deadline_ms must be from 1 to 604800000");
    }
    let now = handle.clock.now();
    let job = Job {
        id: submit.id,
        team,
        key,
        class: submit.class,
        repeat: submit.repeat,
        expected: Duration::from_millis(submit.expected_ms),
        deadline_ms: now.wall_ms() + submit.deadline_ms,
        payload: Bytes::from(submit.payload),
    };
    let (reply, answer) = oneshot::channel();
    let id = job.id;
    let _ = handle.commands.send(Command::Submit { job, reply });
    await_answer(&handle, id, answer, Duration::from_millis(submit.wait_ms)).await
}

async fn await_answer(handle: &EntryHandle, id: JobId, answer: oneshot::Receiver<Option<Status>>, wait: Duration) -> Response {
    match tokio::time::timeout(wait.min(LONGEST_WAIT), answer).await {
        Ok(Ok(Some(status))) => job_reply(id, &status),
        Ok(Ok(None)) => error_response(StatusCode::NOT_FOUND, "unknown_job", "no entry knows this job"),
        Ok(Err(_)) => error_response(StatusCode::BAD_GATEWAY, "stopped", "this entry stopped; ask another for the job"),
        Err(_) => job_now(handle, id).await,
    }
}

/// The job's state without waiting for its end.
async fn job_now(handle: &EntryHandle, id: JobId) -> Response {
    let (reply, answer) = oneshot::channel();
    let _ = handle.commands.send(Command::Query {
        job: id,
        wait: Wait::No,
        reply,
    });
    match answer.await {
        Ok(Some(status)) => job_reply(id, &status),
        Ok(None) => error_response(StatusCode::NOT_FOUND, "unknown_job", "no entry knows this job"),
        Err(_) => error_response(StatusCode::BAD_GATEWAY, "stopped", "this entry stopped; ask another for the job"),
    }
}

async fn on_query(id: String, handle: EntryHandle, key: Option<String>, query: WaitQuery) -> Response {
    let id = match check_job(&handle, &id, key).await {
        Ok(id) => id,
        Err(response) => return response,
    };
    let (reply, answer) = oneshot::channel();
    let wait = if query.wait_ms == 0 { Wait::No } else { Wait::UntilEnded };
    let _ = handle.commands.send(Command::Query { job: id, wait, reply });
    let longest = if query.wait_ms == 0 {
        LONGEST_WAIT
    } else {
        Duration::from_millis(query.wait_ms)
    };
    await_answer(&handle, id, answer, longest).await
}

async fn on_cancel(id: String, handle: EntryHandle, key: Option<String>) -> Response {
    let id = match check_job(&handle, &id, key).await {
        Ok(id) => id,
        Err(response) => return response,
    };
    handle.send(Event::Cancel { job: id });
    job_now(&handle, id).await
}

/// Checks the id, the key, and that a job known here belongs to the key's team.
async fn check_job(handle: &EntryHandle, id: &str, key: Option<String>) -> Result<JobId, Response> {
    let id = Uuid::parse_str(id).map_err(|_| error_response(StatusCode::BAD_REQUEST, "bad_id", "id must be a version 7 UUID"))?;
    let (_, team) = check_key(&handle.published.load().keys, key)?;
    let owner = handle.inspect(move |entry, _| entry.team_of(&id)).await.flatten();
    match owner {
        Some(owner) if owner != team => Err(error_response(StatusCode::NOT_FOUND, "unknown_job", "no entry knows this job")),
        _ => Ok(id),
    }
}

/// Mints ids owned by this entry, so that jobs that run once need no other entry.
async fn on_ids(handle: EntryHandle, key: Option<String>, query: CountQuery) -> Response {
    let view = handle.published.load_full();
    if let Err(response) = check_key(&view.keys, key) {
        return response;
    }
    if !view.ready {
        return error_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "not_ready",
            "this entry takes no jobs now; try another",
        );
    }
    let mut ids = Vec::new();
    while ids.len() < query.count.min(MOST_IDS) {
        let id = Uuid::now_v7();
        if view.membership.owner(&id) == Some(&view.id) {
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
    reply_or_stopped(status.await)
}

async fn on_jobs(handle: EntryHandle) -> Response {
    let jobs = handle.inspect(|entry, _| {
        let line = |(id, team, status): (&JobId, &oriolewall::id::TeamId, Status)| JobSummary {
            id: *id,
            team: team.clone(),
            state: api::state_name(&status).to_owned(),
        };
        entry.jobs().map(line).collect::<Vec<_>>()
    });
    reply_or_stopped(jobs.await)
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

async fn on_state(handle: EntryHandle) -> Response {
    let state = handle.inspect(|entry, _| oriolewall::snapshot::encode(entry.state())).await;
    Response::new(state.unwrap_or_default().into())
}

async fn on_events(handle: EntryHandle, query: AfterQuery) -> Response {
    reply_or_stopped(handle.inspect(move |entry, _| entry.events().page_after(query.after)).await)
}

fn on_ready(handle: &EntryHandle) -> Response {
    if handle.published.load().ready {
        return text_response(StatusCode::OK, "ready\n");
    }
    text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
}

async fn on_metrics(handle: EntryHandle, metrics: Arc<Metrics>) -> Response {
    let seen = handle
        .inspect(|entry, now| (entry.counters(), entry.queued_jobs(), entry.running_tasks(), entry.view_age(now)))
        .await;
    if let Some((counters, queued, running, age)) = seen {
        metrics.update(counters, queued, running, age);
    }
    text_response(StatusCode::OK, &metrics.render())
}

fn check_key(keys: &key::Keyring, key: Option<String>) -> Result<(oriolewall::id::KeyId, oriolewall::id::TeamId), Response> {
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

fn job_reply(id: JobId, status: &Status) -> Response {
    let code = StatusCode::from_u16(api::status_code(status)).unwrap_or(StatusCode::OK);
    json_response(code, &JobResponse::new(id, status))
}

fn reply_or_stopped<T>(value: Option<T>) -> Response
where
    T: Serialize,
{
    match value {
        Some(value) => json_response(StatusCode::OK, &value),
        None => error_response(StatusCode::SERVICE_UNAVAILABLE, "stopped", "this process is stopping"),
    }
}

/// Turns what no route took into an error body.
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

/// An error body.
pub(crate) fn error_response(code: StatusCode, error: &str, message: &str) -> Response {
    json_response(
        code,
        &ErrorBody {
            error: error.to_owned(),
            message: message.to_owned(),
        },
    )
}

/// A JSON body.
pub fn json_response<T>(code: StatusCode, value: &T) -> Response
where
    T: Serialize,
{
    warp::reply::with_status(warp::reply::json(value), code).into_response()
}

/// A plain-text body.
pub fn text_response(code: StatusCode, value: &str) -> Response {
    warp::reply::with_status(value.to_owned(), code).into_response()
}
