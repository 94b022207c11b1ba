//! Callers' requests that the owner of a pool reads from the log: admits jobs and cancels them.

use crate::clock::Now;
use crate::decision::Decision;
use crate::id::TeamId;
use crate::inquiry::Place;
use crate::job_record::{JobKey, JobPhase, JobRecord, Request, Submission};
use crate::moved_queue::Cancel;
use crate::scheduler::{Scheduler, TrackedJob};
use smallvec::SmallVec;

impl Scheduler {
    /// Applies a request that was in the log when this owner took over. Unlike a new one it
    /// does not count for the rate of arrivals.
    pub fn load_request(&mut self, now: Now, id: JobKey, request: Request) {
        self.apply_request(now, id, request, false);
    }

    /// Applies a request read from the log. Repeated submissions change nothing.
    pub fn add_request(&mut self, now: Now, id: JobKey, request: Request) {
        self.apply_request(now, id, request, true);
    }

    fn apply_request(&mut self, now: Now, id: JobKey, request: Request, is_new: bool) {
        if self.is_quarantined(&id) {
            return;
        }
        match request {
            Request::Submit(submission) => {
                if let Some(tracked) = self.jobs.get(&id) {
                    // Until a record of the job is in the log, the request is the only trace of it there.
                    if tracked.is_logged {
                        self.processed_submissions.push(id);
                    }
                    return;
                }
                self.apply_submission(now, id, submission, is_new);
            }
            Request::Cancel { at_ms, team, addressee } => {
                let cancel = Cancel { at_ms, addressee };
                if self.jobs.contains_key(&id) {
                    self.cancel_job(now, &id, team, cancel);
                } else if let Err(cancel) = self.hand_on_cancel(&id, team.as_ref(), cancel) {
                    // The cancel may be read before the submission.
                    self.read_cancels.entry(id).or_default().insert(team, cancel);
                }
            }
        }
    }

    /// Admits a job that is not here, unless it belongs to another pool or another one may have it.
    pub(crate) fn apply_submission(&mut self, now: Now, id: JobKey, submission: Submission, is_arrival: bool) {
        match self.place_of_request(&submission.queue, &submission.pool, submission.origin.as_ref()) {
            Place::Here if !self.inquiries.contains_key(&id) => self.admit(now, id, submission, is_arrival),
            Place::Here => self.inquire(id, Some((submission, is_arrival)), 0, SmallVec::new()),
            Place::HereUnlessHeld { version, pools } => self.inquire(id, Some((submission, is_arrival)), version, pools),
            Place::Elsewhere(address, assignment) => self.hand_on(id, submission, address, assignment),
            Place::Unknown { version } => self.inquire(id, Some((submission, is_arrival)), version, SmallVec::new()),
        }
    }

    /// Admits a job that is new to all pools.
    pub(crate) fn admit(&mut self, now: Now, id: JobKey, mut submission: Submission, is_arrival: bool) {
        submission.origin = None;
        self.handed_on.remove(&id);
        self.log_decision(Decision::Admitted {
            job: id.clone(),
            queue: submission.queue.clone(),
            team: submission.team.clone(),
            tasks: submission.spec.tasks_per_occurrence(),
        });
        if is_arrival {
            let arrivals = self.arrivals.entry(submission.pool.clone()).or_default();
            arrivals.record(now.mono, submission.spec.estimated_work());
        }
        let tracked = TrackedJob {
            record: JobRecord::new(submission),
            logged_phase: JobPhase::Open,
            is_logged: false,
            may_have_started: false,
            cancel_pending: false,
        };
        self.jobs.insert(id.clone(), tracked);
        self.open_jobs.insert(id.clone());
        for (team, cancel) in self.read_cancels.remove(&id).unwrap_or_default() {
            self.cancel_job(now, &id, team, cancel);
        }
    }

    /// Cancels a job whose cancel request was read, unless it belongs to another team. The
    /// request is removed from the log once the end of the job is recorded.
    fn cancel_job(&mut self, now: Now, id: &JobKey, team: Option<TeamId>, cancel: Cancel) {
        if !self.jobs.get(id).is_some_and(|it| it.is_visible_to(team.as_ref())) {
            self.processed_cancels.push((id.clone(), team));
            return;
        }
        self.end_job(now, id, JobPhase::Cancelled);
        let Some(tracked) = self.jobs.get_mut(id) else {
            return;
        };
        match tracked.logged_phase {
            JobPhase::Open => {
                tracked.cancel_pending = true;
                self.read_cancels.entry(id.clone()).or_default().insert(team, cancel);
            }
            _ => self.processed_cancels.push((id.clone(), team)),
        }
    }
}
