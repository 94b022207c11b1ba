//! JSON bodies of the callers' and operators' interfaces.

use std::collections::BTreeMap;

use oriolewall::id::{JobId, TeamId, ZoneId};
use oriolewall::job::{Class, NotRunReason, Outcome, Repeat, Status};
use serde::{Deserialize, Serialize};

/// Header that carries a caller's key.
pub const KEY_HEADER: &str = "x-oriole-key";

/// A caller's job.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SubmitRequest {
    /// A version 7 UUID; the same id on a retry means the same job.
    pub id: JobId,
    /// Urgent or normal.
    #[serde(default = "normal")]
    pub class: Class,
    /// Whether the job may run more than once.
    #[serde(default = "allowed")]
    pub repeat: Repeat,
    /// Run time the caller expects, milliseconds.
    #[serde(default = "second_ms")]
    pub expected_ms: u64,
    /// Time from now after which no answer is wanted, milliseconds.
    #[serde(default = "minute_ms")]
    pub deadline_ms: u64,
    /// Time to wait for the answer in this request, milliseconds.
    #[serde(default)]
    pub wait_ms: u64,
    /// Handed to the worker as it is.
    pub payload: String,
}

fn normal() -> Class {
    Class::Normal
}

fn allowed() -> Repeat {
    Repeat::Allowed
}

fn second_ms() -> u64 {
    1_000
}

fn minute_ms() -> u64 {
    60_000
}

/// A job's state or outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobResponse {
    /// The job.
    pub id: JobId,
    /// `queued`, `running`, `done`, `not_run` or `unknown`.
    pub state: String,
    /// Whether a job that is done succeeded.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub success: Option<bool>,
    /// The whole answer, if it is text.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub answer: Option<String>,
    /// The whole answer in hexadecimal, if it is not text.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub answer_hex: Option<String>,
    /// Why the job was not run, or why its fate is not known.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
}

/// An error body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// A word for programs.
    pub error: String,
    /// A sentence for people.
    pub message: String,
}

/// Freshly minted ids.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobIds {
    /// The ids; their owner is the entry that minted them.
    pub ids: Vec<JobId>,
}

/// State of one entry instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryStatus {
    /// Its incarnation.
    pub id: String,
    /// Its zone.
    pub zone: ZoneId,
    /// Phase of the process.
    pub life: String,
    /// Next offset of its replica.
    pub next: u64,
    /// Age of what it has seen of the log, milliseconds.
    pub age_ms: Option<u64>,
    /// Queued jobs.
    pub queued: usize,
    /// Running tasks.
    pub running: usize,
    /// Tasks running by team.
    pub teams: BTreeMap<TeamId, u64>,
}

/// One job in a list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSummary {
    /// The job.
    pub id: JobId,
    /// Its team.
    pub team: TeamId,
    /// Its state.
    pub state: String,
}

impl JobResponse {
    /// Renders a status.
    pub fn new(id: JobId, status: &Status) -> JobResponse {
        let mut view = JobResponse {
            id,
            state: state_name(status).to_owned(),
            success: None,
            answer: None,
            answer_hex: None,
            reason: None,
        };
        match status {
            Status::Queued | Status::Running => {}
            Status::Ended(Outcome::Done(done)) => {
                view.success = Some(done.success);
                match std::str::from_utf8(&done.body) {
                    Ok(text) => view.answer = Some(text.to_owned()),
                    Err(_) => view.answer_hex = Some(hex(&done.body)),
                }
            }
            Status::Ended(Outcome::NotRun(reason)) => view.reason = Some(reason.to_string()),
            Status::Ended(Outcome::Unknown(doubt)) => view.reason = Some(doubt.to_string()),
        }
        view
    }
}

/// The word for a status.
pub fn state_name(status: &Status) -> &'static str {
    match status {
        Status::Queued => "queued",
        Status::Running => "running",
        Status::Ended(Outcome::Done(_)) => "done",
        Status::Ended(Outcome::NotRun(_)) => "not_run",
        Status::Ended(Outcome::Unknown(_)) => "unknown",
    }
}

/// HTTP status code for a job's status.
pub fn status_code(status: &Status) -> u16 {
    match status {
        Status::Queued | Status::Running => 202,
        Status::Ended(Outcome::Done(_)) => 200,
        Status::Ended(Outcome::NotRun(NotRunReason::QueueFull { .. })) => 429,
        Status::Ended(Outcome::NotRun(NotRunReason::KeyWithdrawn { .. })) => 403,
        Status::Ended(Outcome::NotRun(_)) => 409,
        Status::Ended(Outcome::Unknown(_)) => 502,
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|it| format!("{it:02x}")).collect()
}
