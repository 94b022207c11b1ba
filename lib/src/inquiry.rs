//! Whether a job is new to all pools that its queue has used.
//!
//! Instances store a submission for the pool that the queue uses by the configuration that they
//! know, which may be outdated, and the log may carry out an append seconds late. So only the owner
//! that reads a submission decides whether the job is new: the owner of the pool that the queue
//! uses now. If the address of the queue has moved, it first asks the owners of the other pools that
//! the address was ever assigned to, and admits the job once each of them has answered that it does
//! not have it. An owner answers that only if it knows the configuration that assigned the address
//! to the asking pool, so it hands a submission on that it reads later, or asks itself.
//!
//! Cancels of jobs that are not here follow by the same answers.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::clock::Now;
use crate::decision::Decision;
use crate::id::PoolId;
use crate::job_record::{Addressee, JobKey, Origin, QueueId, Submission};
use crate::order::Action;
use crate::pool_history::{Address, Assignment};
use crate::scheduler::Scheduler;

/// Time until an owner that gave no usable answer is asked again.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Most jobs in one question.
const MAX_JOBS: usize = 500;

/// Whether an owner has a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Holding {
    /// The owner has admitted the job, and its record is in the log.
    Held,
    /// The owner does not have the job and will not admit it without asking.
    NotHeld,
    /// The owner cannot tell yet.
    Undecided,
}

/// A job that is not known to be new.
#[derive(Debug)]
pub(crate) struct Inquiry {
    /// Submission that is admitted if the job is new; `None` if only cancels were read.
    pub(crate) submission: Option<Submission>,
    /// Whether the submission counts for the rate of arrivals.
    pub(crate) is_arrival: bool,
    /// Version of the configuration that the owner has to know itself, and those that it asks.
    version: u64,
    /// Pools whose owners have not answered yet that they do not have the job.
    open: SmallVec<[PoolId; 2]>,
}

/// Where a job belongs by the configuration that an owner knows.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Place {
    /// In the pool that the request was stored for. No other pool can have it.
    Here,
    /// In that pool as well, unless the owner of one of these pools has it.
    HereUnlessHeld { version: u64, pools: SmallVec<[PoolId; 2]> },
    /// In another pool.
    Elsewhere(Address, Assignment),
    /// The request was routed by a later version of the configuration.
    Unknown { version: u64 },
}

/// State of the questions to the owner of one pool.
#[derive(Debug)]
pub(crate) enum Question {
    /// One is not answered yet.
    Sent,
    /// The next one is not sent before this time.
    Paused(Duration),
}

impl Scheduler {
    /// Finds where a job belongs whose request was stored for a pool.
    fn place_of(&self, address: &Address, pool: &PoolId) -> Place {
        let Some(assignment) = self.catalog.history.assignment(address) else {
            return Place::Here;
        };
        if assignment.pool != *pool {
            return Place::Elsewhere(address.clone(), assignment.clone());
        }
        match assignment.has_moved() {
            true => Place::HereUnlessHeld {
                version: assignment.version,
                pools: assignment.former_pools.iter().cloned().collect(),
            },
            false => Place::Here,
        }
    }

    /// Finds where a request belongs that was stored for a queue and a pool. One without an origin
    /// was routed under the first address of its queue.
    pub(crate) fn place_of_request(&self, queue: &QueueId, pool: &PoolId, origin: Option<&Origin>) -> Place {
        let address = match origin {
            Some(origin) if self.catalog.version < origin.version => return Place::Unknown { version: origin.version },
            Some(origin) => Some(&origin.address),
            None => self.catalog.history.first_address(queue),
        };
        address.map_or(Place::Here, |it| self.place_of(it, pool))
    }

    /// Begins to ask whether a job is new, or continues with what a repeated request tells.
    pub(crate) fn inquire(&mut self, id: JobKey, submission: Option<(Submission, bool)>, version: u64, pools: SmallVec<[PoolId; 2]>) {
        if submission.is_some() {
            self.handed_on.remove(&id);
        }
        let inquiry = self.inquiries.entry(id).or_insert_with(|| Inquiry {
            submission: None,
            is_arrival: false,
            version,
            open: SmallVec::new(),
        });
        inquiry.version = inquiry.version.max(version);
        for pool in pools {
            if !inquiry.open.contains(&pool) {
                inquiry.open.push(pool);
            }
        }
        if let Some((submission, is_arrival)) = submission
            && inquiry.submission.is_none()
        {
            inquiry.submission = Some(submission);
            inquiry.is_arrival = is_arrival;
        }
    }

    /// Begins all inquiries anew if the configuration has changed.
    pub(crate) fn restart_inquiries(&mut self, now: Now) {
        if !std::mem::take(&mut self.catalog_has_changed) {
            return;
        }
        for (id, inquiry) in std::mem::take(&mut self.inquiries) {
            if let Some(submission) = inquiry.submission {
                self.apply_submission(now, id, submission, inquiry.is_arrival);
            }
        }
        self.hand_on_waiting_cancels();
    }

    /// Asks the owners of other pools for the jobs that are not known to be new.
    pub(crate) fn send_questions(&mut self, now: Now) {
        let mut questions: BTreeMap<&PoolId, (u64, Vec<JobKey>)> = BTreeMap::new();
        for (id, inquiry) in &self.inquiries {
            if self.catalog.version < inquiry.version {
                continue;
            }
            for pool in &inquiry.open {
                let (version, jobs) = questions.entry(pool).or_default();
                if jobs.len() < MAX_JOBS {
                    *version = inquiry.version.max(*version);
                    jobs.push(id.clone());
                }
            }
        }
        self.questions
            .retain(|pool, it| matches!(it, Question::Sent) || questions.contains_key(pool));
        for (pool, (version, jobs)) in questions {
            match self.questions.get(pool) {
                Some(Question::Sent) => continue,
                Some(Question::Paused(until)) if now.mono < *until => continue,
                _ => {}
            }
            self.questions.insert(pool.clone(), Question::Sent);
            self.actions.push(Action::Inquire {
                pool: pool.clone(),
                version,
                jobs,
            });
        }
    }

    /// Earliest time at which an owner is asked again; `None` if none is to be asked.
    pub(crate) fn next_question_at(&self) -> Option<Duration> {
        let paused = self.questions.values().filter_map(|it| match it {
            Question::Sent => None,
            Question::Paused(until) => Some(*until),
        });
        paused.min()
    }

    /// Answers an owner that knows a version of the configuration and asks for jobs; `None` if
    /// there may be a later owner than this one.
    pub fn holdings(&mut self, now: Now, version: u64, jobs: &[JobKey]) -> Option<Vec<Holding>> {
        if self.fenced || self.ownership_left(now).is_zero() {
            return None;
        }
        Some(jobs.iter().map(|id| self.holding(id, version)).collect())
    }

    fn holding(&mut self, id: &JobKey, version: u64) -> Holding {
        if self.is_quarantined(id) {
            return Holding::Held;
        }
        if let Some(tracked) = self.jobs.get(id) {
            // Until its record is in the log, the next owner hands the submission on.
            if !tracked.is_logged {
                self.dirty_jobs.insert(id.clone());
                return Holding::Undecided;
            }
            return Holding::Held;
        }
        let may_be_admitted = self.inquiries.get(id).is_some_and(|it| it.submission.is_some());
        match self.catalog.version < version || may_be_admitted {
            true => Holding::Undecided,
            false => Holding::NotHeld,
        }
    }

    /// Handles the answer of the owner of a pool to [`Action::Inquire`]; `None` if it gave none.
    pub fn holdings_received(&mut self, now: Now, pool: &PoolId, version: u64, jobs: Vec<JobKey>, answer: Option<Vec<Holding>>) {
        let holdings = answer.filter(|it| it.len() == jobs.len()).unwrap_or_default();
        let all_decided = !holdings.is_empty() && holdings.iter().all(|it| *it != Holding::Undecided);
        if all_decided {
            self.questions.remove(pool);
        } else {
            self.questions.insert(pool.clone(), Question::Paused(now.mono + RETRY_DELAY));
        }
        for (id, holding) in jobs.into_iter().zip(holdings) {
            match holding {
                Holding::Held => self.leave_to(id, pool),
                Holding::NotHeld => self.rule_out(now, id, pool, version),
                Holding::Undecided => {}
            }
        }
    }

    /// Leaves a job to the pool that has it: drops its submission and hands its cancels on.
    fn leave_to(&mut self, id: JobKey, pool: &PoolId) {
        let Some(inquiry) = self.inquiries.remove(&id) else {
            return;
        };
        let addressee = inquiry.submission.map(Submission::into_addressee);
        if addressee.is_some() {
            self.processed_submissions.push(id.clone());
            self.log_decision(Decision::HeldElsewhere {
                job: id.clone(),
                pool: pool.clone(),
            });
        }
        let cancels = self.read_cancels.remove(&id).unwrap_or_default();
        let requests: Vec<_> = cancels
            .into_iter()
            .map(|(team, mut cancel)| {
                let addressee = cancel.addressee.take().or_else(|| addressee.clone());
                cancel.into_request(team, addressee.map(|it| Addressee { pool: pool.clone(), ..it }))
            })
            .collect();
        if !requests.is_empty() {
            self.actions.push(Action::HandOn {
                id,
                pool: pool.clone(),
                requests,
            });
        }
    }

    /// Records that a pool does not have a job, and admits the job if no other pool may have it.
    fn rule_out(&mut self, now: Now, id: JobKey, pool: &PoolId, version: u64) {
        let Some(inquiry) = self.inquiries.get_mut(&id) else {
            return;
        };
        // The answer is to a question about an earlier assignment.
        if version < inquiry.version {
            return;
        }
        inquiry.open.retain(|it| it != pool);
        if !inquiry.open.is_empty() {
            return;
        }
        let inquiry = self.inquiries.remove(&id);
        if let Some((submission, is_arrival)) = inquiry.and_then(|it| Some((it.submission?, it.is_arrival))) {
            self.admit(now, id, submission, is_arrival);
        }
    }

    /// Jobs of a queue that wait until it is known whether they are new.
    pub(crate) fn inquired_jobs(&self, queue: &QueueId) -> usize {
        let submissions = self.inquiries.values().filter_map(|it| it.submission.as_ref());
        submissions.filter(|it| it.queue == *queue).count()
    }
}
