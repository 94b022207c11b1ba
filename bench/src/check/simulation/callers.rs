//! Simulated callers.
//!
//! A caller submits each job to a random entry instance that accepts callers. If
//! the connection breaks or no outcome arrives in time, it submits the job again
//! with the same id, until some time after the deadline. Submissions, outcomes and
//! broken connections are recorded in the history.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use oriolewall::entry::{Event, RequestId};
use oriolewall::id::JobId;
use oriolewall::job::{Class, Job, Outcome, Repeat, Status};
use rand::RngExt;

use super::{SimEvent, Simulation};
use crate::history::EventKind;

/// Time for which a caller waits for the reply to one submission.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// Time that a message takes from a caller to an entry instance or back.
const ONE_WAY_DELAY: Duration = Duration::from_millis(3);
/// Time after which a caller submits a job again.
const RETRY_INTERVAL: Duration = Duration::from_millis(150);

/// Action of a caller at a scheduled time.
pub(super) enum CallerAction {
    /// Generates the next job of the team with this index, and submits it.
    GenerateJob(usize),
    /// Submits a pending job, for the first time or again.
    Submit(JobId),
    /// Stops waiting for the reply to a request, and submits the job again later.
    TimeOut(JobId, RequestId),
    /// Asks the entry instance that has the open request to cancel a job.
    Cancel(JobId),
}

/// Jobs without an outcome, and the requests that callers wait for.
#[derive(Default)]
pub(super) struct Callers {
    pending_jobs: BTreeMap<JobId, PendingJob>,
    /// Job and index of the entry instance, by open request.
    requests: BTreeMap<RequestId, (JobId, usize)>,
    last_request_id: RequestId,
}

/// A job without an outcome.
struct PendingJob {
    job: Job,
    /// Time from which the caller does not submit the job again.
    give_up_at: Duration,
    /// Latest request, which may no longer be open; `None` before the first.
    request_id: Option<RequestId>,
}

impl Simulation {
    pub(super) fn run_caller_action(&mut self, action: CallerAction) {
        match action {
            CallerAction::GenerateJob(team) => self.generate_job(team),
            CallerAction::Submit(id) => self.submit(id),
            CallerAction::TimeOut(id, request_id) => {
                if self.callers.requests.remove(&request_id).is_some() {
                    self.retry_later(id);
                }
            }
            CallerAction::Cancel(id) => self.cancel(id),
        }
    }

    /// Generates the next job of a team, unless the load has ended, and schedules the
    /// one after it.
    fn generate_job(&mut self, team: usize) {
        let load_start = Duration::from_secs(2);
        if self.load.submit_time + load_start <= self.now {
            return;
        }
        let delay = self.load.time_to_next_job(&mut self.rng, team, self.now);
        let generated = self.load.generate_job(&mut self.rng, team);
        self.schedule(self.now + delay, SimEvent::Caller(CallerAction::GenerateJob(team)));
        let wall_ms = self.true_wall_ms();
        let id = self.random_uuid(wall_ms);
        let key = self.operators.random_key(team, &mut self.rng);
        let path = self.load.teams[team].path.clone();
        let payload = if generated.poison {
            "fail".to_owned()
        } else {
            format!("ms:{}", generated.run_time.as_millis())
        };
        let job = Job {
            id,
            team: path.as_str().into(),
            key: key.as_str().into(),
            class: if generated.urgent { Class::Urgent } else { Class::Normal },
            repeat: if generated.run_once { Repeat::Forbidden } else { Repeat::Allowed },
            expected: generated.expected_run_time,
            deadline_ms: wall_ms + self.load.deadline.as_millis() as u64,
            payload: Bytes::from(payload),
        };
        self.history.record_for_job(
            self.now_ms(),
            id,
            EventKind::Invoke {
                team: path,
                key,
                once: generated.run_once,
            },
        );
        let give_up_at = self.now + self.load.deadline + ANSWER_TIMEOUT;
        self.callers.pending_jobs.insert(
            id,
            PendingJob {
                job,
                give_up_at,
                request_id: None,
            },
        );
        self.schedule(self.now, SimEvent::Caller(CallerAction::Submit(id)));
        if generated.cancelled {
            self.schedule(self.now + generated.run_time / 2, SimEvent::Caller(CallerAction::Cancel(id)));
        }
    }

    /// Submits a pending job to a random entry instance. The caller drops the job if it
    /// has waited too long or if the key is refused.
    fn submit(&mut self, id: JobId) {
        let entries = self.accepting_entries();
        let now = self.now;
        let Some(pending) = self.callers.pending_jobs.get_mut(&id) else {
            return;
        };
        if pending.give_up_at <= now {
            self.callers.pending_jobs.remove(&id);
            return;
        }
        if entries.is_empty() {
            self.schedule(now + RETRY_INTERVAL, SimEvent::Caller(CallerAction::Submit(id)));
            return;
        }
        let entry = entries[self.rng.random_range(0..entries.len())];
        // In the daemon, the request handler refuses an unknown or withdrawn key before the
        // state machine sees the job.
        let job = pending.job.clone();
        let is_key_valid = self.entry_processes[entry]
            .entry
            .as_ref()
            .is_some_and(|it| it.state().keys.ensure_not_withdrawn(&job.key).is_ok());
        if !is_key_valid {
            self.callers.pending_jobs.remove(&id);
            return;
        }
        self.callers.last_request_id += 1;
        let request_id = self.callers.last_request_id;
        pending.request_id = Some(request_id);
        self.callers.requests.insert(request_id, (id, entry));
        let incarnation = self.entry_processes[entry].incarnation;
        self.schedule(
            now + ONE_WAY_DELAY,
            SimEvent::EntryInput(entry, incarnation, Event::Submit { request_id, job }),
        );
        self.schedule(now + ANSWER_TIMEOUT, SimEvent::Caller(CallerAction::TimeOut(id, request_id)));
    }

    fn retry_later(&mut self, id: JobId) {
        self.schedule(self.now + RETRY_INTERVAL, SimEvent::Caller(CallerAction::Submit(id)));
    }

    /// Sends a cancellation if the latest request for the job is open.
    fn cancel(&mut self, id: JobId) {
        let Some(pending) = self.callers.pending_jobs.get(&id) else {
            return;
        };
        let entry = pending
            .request_id
            .and_then(|it| self.callers.requests.get(&it))
            .map(|(_, entry)| *entry);
        if let Some(entry) = entry {
            let incarnation = self.entry_processes[entry].incarnation;
            self.schedule(
                self.now + ONE_WAY_DELAY,
                SimEvent::EntryInput(entry, incarnation, Event::Cancel { job: id }),
            );
        }
    }

    /// Handles the reply of an entry instance: records the outcome, or submits the job
    /// again later if there is none.
    pub(super) fn receive_reply(&mut self, _entry: usize, _incarnation: u64, request_id: RequestId, status: Option<Status>) {
        let Some((id, _)) = self.callers.requests.remove(&request_id) else {
            return;
        };
        let Some(Status::Ended(outcome)) = status else {
            self.retry_later(id);
            return;
        };
        let (outcome_name, body) = match &outcome {
            Outcome::Done(done) if done.success => ("done", String::from_utf8_lossy(&done.body).into_owned()),
            Outcome::Done(_) => ("failed", String::new()),
            Outcome::NotRun(reason) => ("not_run", reason.to_string()),
            Outcome::Unknown(reason) => ("unknown", reason.to_string()),
        };
        self.callers.pending_jobs.remove(&id);
        let at_ms = (self.now + ONE_WAY_DELAY).as_millis() as u64;
        self.history.record_for_job(
            at_ms,
            id,
            EventKind::Answer {
                outcome: outcome_name.to_owned(),
                body,
            },
        );
    }

    /// Breaks the connections of all open requests to an entry instance, after which the
    /// callers submit the jobs again.
    pub(super) fn break_connections(&mut self, entry: usize, planned: bool) {
        let interrupted: Vec<(RequestId, JobId)> = self
            .callers
            .requests
            .iter()
            .filter(|(_, (_, it))| *it == entry)
            .map(|(request_id, (id, _))| (*request_id, *id))
            .collect();
        for (request_id, id) in interrupted {
            self.callers.requests.remove(&request_id);
            self.history.record_for_job(self.now_ms(), id, EventKind::Cut { planned });
            self.retry_later(id);
        }
    }
}
