//! Queues that have moved to another pool.
//!
//! A submission can arrive twice, once before the move and once after it, and the log may
//! carry out an append seconds late. So that two owners never run the same job, the owner of
//! a former pool hands submissions that it reads after the move on to the next pool, whose
//! owner recognizes repeated ones. Jobs that it admitted before the move stay with it. Cancels
//! of other jobs follow, also if an earlier owner handed the submission on.

use crate::clock::Now;
use crate::id::{PoolId, TeamId};
use crate::job_record::{Addressee, JobKey, QueueId, Request, Submission};
use crate::order::Action;
use crate::query::JobStatus;
use crate::rpc::Reply;
use crate::scheduler::{Scheduler, is_visible};

/// A request to cancel a job, as read from the log.
#[derive(Clone, Debug)]
pub(crate) struct Cancel {
    /// When it was received, milliseconds since the Unix epoch.
    pub(crate) at_ms: u64,
    /// Where the job may be, if the request says so.
    pub(crate) addressee: Option<Addressee>,
}

/// A job whose submission was handed on to another pool.
#[derive(Debug)]
pub(crate) struct HandedOn {
    pool: PoolId,
    team: TeamId,
    /// Number of appends of its requests that have not finished.
    in_flight: usize,
}

impl Scheduler {
    /// Pool that a submission is to be handed on to, if its queue has moved.
    pub(crate) fn successor_of(&self, submission: &Submission) -> Option<PoolId> {
        let queue = self.catalog.queues.get(&submission.queue)?;
        queue.successor_of(&submission.pool).cloned()
    }

    /// Hands a submission on to a pool, with the cancels of the job that were read before it.
    pub(crate) fn hand_on(&mut self, id: JobKey, mut submission: Submission, pool: PoolId) {
        submission.pool = pool.clone();
        let addressee = Addressee {
            queue: submission.queue.clone(),
            pool: pool.clone(),
        };
        let handed_on = HandedOn {
            pool: pool.clone(),
            team: submission.team.clone(),
            in_flight: 0,
        };
        self.handed_on.entry(id.clone()).or_insert(handed_on).pool = pool;
        let mut requests = vec![Request::Submit(submission)];
        let cancels = self.read_cancels.remove(&id).unwrap_or_default();
        requests.extend(cancels.into_iter().map(|(team, cancel)| Request::Cancel {
            at_ms: cancel.at_ms,
            team,
            addressee: Some(addressee.clone()),
        }));
        self.append_for_successor(id, requests);
    }

    /// Hands on a cancel of a job that is not here, if the job was handed on or the cancel is for a
    /// pool from which the queue has moved. An earlier owner may have handed the job on, so the
    /// submission is not needed. Gives the cancel back if it stays here.
    pub(crate) fn hand_on_cancel(&mut self, id: &JobKey, team: Option<&TeamId>, cancel: Cancel) -> Result<(), Cancel> {
        let handed_on = self.handed_on.get(id).map(|it| &it.pool);
        let successor = || {
            let addressee = cancel.addressee.as_ref()?;
            self.catalog.queues.get(&addressee.queue)?.successor_of(&addressee.pool)
        };
        let Some(pool) = handed_on.or_else(successor).cloned() else {
            return Err(cancel);
        };
        let addressee = cancel.addressee.map(|it| Addressee { pool: pool.clone(), ..it });
        let requests = vec![Request::Cancel {
            at_ms: cancel.at_ms,
            team: team.cloned(),
            addressee,
        }];
        match self.handed_on.contains_key(id) {
            true => self.append_for_successor(id.clone(), requests),
            false => self.actions.push(Action::HandOn {
                id: id.clone(),
                pool,
                requests,
            }),
        }
        Ok(())
    }

    /// Hands on the cancels that wait for the submissions of their jobs, if their queues have moved
    /// since they were read.
    pub(crate) fn hand_on_waiting_cancels(&mut self) {
        let waiting: Vec<_> = self.read_cancels.extract_if(|id, _| !self.jobs.contains_key(id)).collect();
        for (id, cancels) in waiting {
            for (team, cancel) in cancels {
                if let Err(cancel) = self.hand_on_cancel(&id, team.as_ref(), cancel) {
                    self.read_cancels.entry(id.clone()).or_default().insert(team, cancel);
                }
            }
        }
    }

    fn append_for_successor(&mut self, id: JobKey, requests: Vec<Request>) {
        let Some(handed_on) = self.handed_on.get_mut(&id) else {
            return;
        };
        handed_on.in_flight += 1;
        let pool = handed_on.pool.clone();
        self.actions.push(Action::HandOn { id, pool, requests });
    }

    /// Records that requests of an [`Action::HandOn`] are in the log for the next pool.
    pub fn hand_on_finished(&mut self, id: &JobKey) {
        if let Some(handed_on) = self.handed_on.get_mut(id) {
            handed_on.in_flight = handed_on.in_flight.saturating_sub(1);
        }
    }

    /// Status of a job whose submission is being handed on, for a caller of a team.
    pub(crate) fn handed_on_status(&self, id: &JobKey, team: Option<&TeamId>) -> Option<JobStatus> {
        let handed_on = self.handed_on.get(id)?;
        (handed_on.in_flight != 0 && is_visible(&handed_on.team, team)).then_some(JobStatus::Queued)
    }

    /// Answers an instance that is about to store a submission for the pool that the queue uses
    /// after `pool`. That the job is not here is answered only by an owner that knows of the move,
    /// and only while there can be no later owner that might not.
    pub fn former_status(&self, now: Now, id: &JobKey, team: Option<&TeamId>, queue: &QueueId, pool: &PoolId) -> Reply {
        if self.is_quarantined(id) {
            return Reply::Quarantined;
        }
        let status = self.job_status(id, team);
        let has_moved = self.catalog.queues.get(queue).is_some_and(|it| it.pool != *pool);
        let is_owner = !self.fenced && !self.ownership_left(now).is_zero();
        match status.is_some() || has_moved && is_owner {
            true => Reply::Status(status),
            false => Reply::Unavailable,
        }
    }
}
