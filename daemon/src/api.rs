//! JSON bodies of the HTTP API of an entry instance, for callers and operators.
//!
//! Field names and the values of `state` are part of the API.

use std::collections::BTreeMap;

use oriolewall::id::{JobId, TeamId, ZoneId};
use oriolewall::job::{Class, NotRunReason, Outcome, Repeat, Status};
use serde::{Deserialize, Serialize};

/// Request header that carries the caller's key.
pub const KEY_HEADER: &str = "x-oriole-key";

/// Body of a request that submits a job.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SubmitRequest {
    /// Version 7 UUID chosen by the caller; a retry with the same id does not create a second job.
    pub id: JobId,
    /// Scheduling class: `urgent`, or `normal`, which is the default.
    #[serde(default = "normal")]
    pub class: Class,
    /// Whether the job may be started more than once: `forbidden`, or `allowed`, which is the default.
    #[serde(default = "allowed")]
    pub repeat: Repeat,
    /// Run time that the caller expects, in milliseconds; one second by default.
    #[serde(default = "second_ms")]
    pub expected_ms: u64,
    /// Time from the submission to the deadline, in milliseconds; one minute by default.
    /// The caller needs no answer after the deadline.
    #[serde(default = "minute_ms")]
    pub deadline_ms: u64,
    /// Time for which the response may be delayed until the job ends, in milliseconds; zero by
    /// default.
    #[serde(default)]
    pub wait_ms: u64,
    /// Opaque payload for the worker.
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

/// Body that reports the status of a job, with its answer if it has one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobResponse {
    /// Id of the job.
    pub id: JobId,
    /// `queued`, `running`, `done`, `not_run` or `unknown`.
    pub state: String,
    /// Whether the worker reported success; present if the state is `done`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub success: Option<bool>,
    /// The complete answer, if it is valid UTF-8.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub answer: Option<String>,
    /// The complete answer in hexadecimal, if it is not valid UTF-8.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub answer_hex: Option<String>,
    /// Why the job was not run, or why it is unknown whether it ran.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
}

/// Body of every error response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Error code for programs.
    pub error: String,
    /// Description of the error for people.
    pub message: String,
}

/// New job ids for a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobIds {
    /// Version 7 UUIDs that the responding entry owns.
    pub ids: Vec<JobId>,
}

/// Body that reports the status of an entry instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryStatus {
    /// Member id of the current incarnation.
    pub id: String,
    /// Availability zone of the instance.
    pub zone: ZoneId,
    /// Lifecycle state in the `Debug` format of [`Lifecycle`](oriolewall::entry::Lifecycle).
    pub life: String,
    /// Offset of the next log entry that its replica will apply.
    pub next: u64,
    /// Age of its view of the log, in milliseconds; `None` before the first complete read.
    pub age_ms: Option<u64>,
    /// Number of queued jobs.
    pub queued: usize,
    /// Number of tasks that use slots.
    pub running: usize,
    /// Number of tasks that use the team's allotment, for each team with any.
    pub teams: BTreeMap<TeamId, u64>,
}

/// One job in the list of all jobs of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSummary {
    /// Id of the job.
    pub id: JobId,
    /// Team of the job.
    pub team: TeamId,
    /// `queued`, `running`, `done`, `not_run` or `unknown`.
    pub state: String,
}

impl JobResponse {
    /// Creates the body for a status.
    pub fn new(id: JobId, status: &Status) -> JobResponse {
        let mut response = JobResponse {
            id,
            state: state_name(status).to_owned(),
            success: None,
            answer: None,
            answer_hex: None,
            reason: None,
        };
        match status {
            Status::Queued | Status::Running => {}
            Status::Ended(Outcome::Done(completion)) => {
                response.success = Some(completion.success);
                match std::str::from_utf8(&completion.body) {
                    Ok(text) => response.answer = Some(text.to_owned()),
                    Err(_) => response.answer_hex = Some(hex(&completion.body)),
                }
            }
            Status::Ended(Outcome::NotRun(reason)) => response.reason = Some(reason.to_string()),
            Status::Ended(Outcome::Unknown(reason)) => response.reason = Some(reason.to_string()),
        }
        response
    }
}

/// Returns the name of a status in the API.
pub fn state_name(status: &Status) -> &'static str {
    match status {
        Status::Queued => "queued",
        Status::Running => "running",
        Status::Ended(Outcome::Done(_)) => "done",
        Status::Ended(Outcome::NotRun(_)) => "not_run",
        Status::Ended(Outcome::Unknown(_)) => "unknown",
    }
}

/// Returns the HTTP status code of a response that reports this job status.
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
