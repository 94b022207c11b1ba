//! Callers in virtual time: they submit to any open entry, repeat with the same
//! id when cut off or not answered, and note what they are told.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use oriolewall::entry::{Event, RequestId};
use oriolewall::id::JobId;
use oriolewall::job::{Class, Job, Outcome, Repeat, Status};
use rand::RngExt;

use super::{Due, Simulation};
use crate::history::EventKind;

/// Time for which a caller waits for one answer.
const PATIENCE: Duration = Duration::from_secs(10);
/// One way from a caller to an entry.
const ONE_WAY: Duration = Duration::from_millis(3);
/// Pause before a caller tries again.
const PAUSE: Duration = Duration::from_millis(150);

/// What a caller does next.
pub(super) enum Step {
    /// Draws the team's next job.
    Draft(usize),
    /// Submits a job, for the first time or again.
    Submit(JobId),
    /// Gives up waiting for an answer.
    TimeOut(JobId, RequestId),
    /// Cancels a job.
    Cancel(JobId),
}

/// Callers' jobs that have no outcome yet.
#[derive(Default)]
pub(super) struct Callers {
    open: BTreeMap<JobId, Open>,
    tickets: BTreeMap<RequestId, (JobId, usize)>,
    next_ticket: RequestId,
}

struct Open {
    job: Job,
    until: Duration,
    ticket: Option<RequestId>,
}

impl Simulation {
    pub(super) fn caller_step(&mut self, step: Step) {
        match step {
            Step::Draft(team) => self.draft(team),
            Step::Submit(id) => self.submit(id),
            Step::TimeOut(id, ticket) => {
                if self.callers.tickets.remove(&ticket).is_some() {
                    self.again(id);
                }
            }
            Step::Cancel(id) => self.cancel(id),
        }
    }

    fn draft(&mut self, team: usize) {
        let start = Duration::from_secs(2);
        if self.load.submit_time + start <= self.now {
            return;
        }
        let gap = self.load.time_to_next_job(&mut self.rng, team, self.now);
        let draft = self.load.generate_job(&mut self.rng, team);
        self.push(self.now + gap, Due::Caller(Step::Draft(team)));
        let wall_ms = self.true_wall_ms();
        let id = self.random_uuid(wall_ms);
        let key = self.operators.pick_key(team, &mut self.rng);
        let path = self.load.teams[team].path.clone();
        let payload = if draft.poison {
            "fail".to_owned()
        } else {
            format!("ms:{}", draft.run_time.as_millis())
        };
        let job = Job {
            id,
            team: path.as_str().into(),
            key: key.as_str().into(),
            class: if draft.urgent { Class::Urgent } else { Class::Normal },
            repeat: if draft.run_once { Repeat::Forbidden } else { Repeat::Allowed },
            expected: draft.declared_run_time,
            deadline_ms: wall_ms + self.load.deadline.as_millis() as u64,
            payload: Bytes::from(payload),
        };
        self.history.record_for_job(
            self.now_ms(),
            id,
            EventKind::Invoke {
                team: path,
                key,
                once: draft.run_once,
            },
        );
        let until = self.now + self.load.deadline + PATIENCE;
        self.callers.open.insert(id, Open { job, until, ticket: None });
        self.push(self.now, Due::Caller(Step::Submit(id)));
        if draft.cancelled {
            self.push(self.now + draft.run_time / 2, Due::Caller(Step::Cancel(id)));
        }
    }

    fn submit(&mut self, id: JobId) {
        let entries = self.open_entries();
        let now = self.now;
        let Some(open) = self.callers.open.get_mut(&id) else {
            return;
        };
        if open.until <= now {
            self.callers.open.remove(&id);
            return;
        }
        if entries.is_empty() {
            self.push(now + PAUSE, Due::Caller(Step::Submit(id)));
            return;
        }
        let entry = entries[self.rng.random_range(0..entries.len())];
        // The entry's request handler checks the key before anything else.
        let job = open.job.clone();
        let known = self.slots[entry]
            .entry
            .as_ref()
            .is_some_and(|it| it.state().keys.ensure_not_withdrawn(&job.key).is_ok());
        if !known {
            self.callers.open.remove(&id);
            return;
        }
        self.callers.next_ticket += 1;
        let ticket = self.callers.next_ticket;
        open.ticket = Some(ticket);
        self.callers.tickets.insert(ticket, (id, entry));
        let generation = self.slots[entry].generation;
        self.push(
            now + ONE_WAY,
            Due::Entry(entry, generation, Event::Submit { request_id: ticket, job }),
        );
        self.push(now + PATIENCE, Due::Caller(Step::TimeOut(id, ticket)));
    }

    fn again(&mut self, id: JobId) {
        self.push(self.now + PAUSE, Due::Caller(Step::Submit(id)));
    }

    fn cancel(&mut self, id: JobId) {
        let Some(open) = self.callers.open.get(&id) else {
            return;
        };
        let entry = open.ticket.and_then(|it| self.callers.tickets.get(&it)).map(|(_, entry)| *entry);
        if let Some(entry) = entry {
            let generation = self.slots[entry].generation;
            self.push(self.now + ONE_WAY, Due::Entry(entry, generation, Event::Cancel { job: id }));
        }
    }

    /// An entry answered a caller.
    pub(super) fn reply(&mut self, _entry: usize, _generation: u64, ticket: RequestId, status: Option<Status>) {
        let Some((id, _)) = self.callers.tickets.remove(&ticket) else {
            return;
        };
        let Some(Status::Ended(outcome)) = status else {
            self.again(id);
            return;
        };
        let (word, body) = match &outcome {
            Outcome::Done(done) if done.success => ("done", String::from_utf8_lossy(&done.body).into_owned()),
            Outcome::Done(_) => ("failed", String::new()),
            Outcome::NotRun(reason) => ("not_run", reason.to_string()),
            Outcome::Unknown(doubt) => ("unknown", doubt.to_string()),
        };
        self.callers.open.remove(&id);
        let at_ms = (self.now + ONE_WAY).as_millis() as u64;
        self.history.record_for_job(
            at_ms,
            id,
            EventKind::Answer {
                outcome: word.to_owned(),
                body,
            },
        );
    }

    /// The connections of all callers of an entry break.
    pub(super) fn cut_callers(&mut self, entry: usize, planned: bool) {
        let cut: Vec<(RequestId, JobId)> = self
            .callers
            .tickets
            .iter()
            .filter(|(_, (_, it))| *it == entry)
            .map(|(ticket, (id, _))| (*ticket, *id))
            .collect();
        for (ticket, id) in cut {
            self.callers.tickets.remove(&ticket);
            self.history.record_for_job(self.now_ms(), id, EventKind::Cut { planned });
            self.again(id);
        }
    }
}
