//! Requests for jobs of queues that have moved to another pool.
//!
//! The owner of a former pool hands submissions that it reads after the move on to the pool that
//! the queue uses now, whose owner decides whether the job is new (see [`inquiry`](crate::inquiry)).
//! Jobs that it admitted before the move stay with it. Cancels of other jobs follow, also if an
//! earlier owner handed the submission on.

use crate::id::{PoolId, TeamId};
use crate::inquiry::Place;
use crate::job_record::{Addressee, JobKey, Origin, Request, Submission};
use crate::order::Action;
use crate::pool_history::{Address, Assignment};
use crate::query::JobStatus;
use crate::scheduler::{Scheduler, is_visible};

/// A request to cancel a job, as read from the log.
#[derive(Clone, Debug)]
pub(crate) struct Cancel {
    /// When it was received, milliseconds since the Unix epoch.
    pub(crate) at_ms: u64,
    /// Where the job may be, if the request says so.
    pub(crate) addressee: Option<Addressee>,
}

impl Cancel {
    /// Returns the request that callers of a team made, for another addressee.
    pub(crate) fn into_request(self, team: Option<TeamId>, addressee: Option<Addressee>) -> Request {
        Request::Cancel {
            at_ms: self.at_ms,
            team,
            addressee,
        }
    }
}

/// A job whose submission was handed on to another pool.
#[derive(Debug)]
pub(crate) struct HandedOn {
    addressee: Addressee,
    team: TeamId,
    /// Number of appends of its requests that have not finished.
    in_flight: usize,
}

impl Scheduler {
    /// Hands a submission on to the pool that its address is assigned to, with the cancels of the
    /// job that were read before it.
    pub(crate) fn hand_on(&mut self, id: JobKey, mut submission: Submission, address: Address, assignment: Assignment) {
        let addressee = into_addressee(address, assignment);
        submission.queue = addressee.queue.clone();
        submission.pool = addressee.pool.clone();
        submission.origin = addressee.origin.clone();
        let handed_on = HandedOn {
            addressee: addressee.clone(),
            team: submission.team.clone(),
            in_flight: 0,
        };
        self.handed_on.entry(id.clone()).or_insert(handed_on).addressee = addressee.clone();
        let mut requests = vec![Request::Submit(submission)];
        let cancels = self.read_cancels.remove(&id).unwrap_or_default();
        requests.extend(
            cancels
                .into_iter()
                .map(|(team, cancel)| cancel.into_request(team, Some(addressee.clone()))),
        );
        self.append_for_successor(id, addressee.pool, requests);
    }

    /// Hands on a cancel of a job that is not here, if the queue of the cancel has moved from the pool
    /// that it was stored for, or, for one that does not tell its queue, if the job was handed on.
    /// Gives the cancel back if it stays here, maybe until another pool answers that it has the job.
    pub(crate) fn hand_on_cancel(&mut self, id: &JobKey, team: Option<&TeamId>, cancel: Cancel) -> Result<(), Cancel> {
        if self.inquiries.contains_key(id) {
            return Err(cancel);
        }
        let next = match &cancel.addressee {
            Some(Addressee { queue, pool, origin }) => match self.place_of_request(queue, pool, origin.as_ref()) {
                Place::Elsewhere(address, assignment) => into_addressee(address, assignment),
                Place::HereUnlessHeld { version, pools } => {
                    self.inquire(id.clone(), None, version, pools);
                    return Err(cancel);
                }
                Place::Here | Place::Unknown { .. } => return Err(cancel),
            },
            None => match self.handed_on.get(id) {
                Some(handed_on) => handed_on.addressee.clone(),
                None => return Err(cancel),
            },
        };
        let pool = next.pool.clone();
        let requests = vec![cancel.into_request(team.cloned(), Some(next))];
        self.append_for_successor(id.clone(), pool, requests);
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

    fn append_for_successor(&mut self, id: JobKey, pool: PoolId, requests: Vec<Request>) {
        if let Some(handed_on) = self.handed_on.get_mut(&id) {
            handed_on.in_flight += 1;
        }
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

    /// Status of a job that is not known to be new, for a caller of a team.
    pub(crate) fn inquired_status(&self, id: &JobKey, team: Option<&TeamId>) -> Option<JobStatus> {
        let submission = self.inquiries.get(id)?.submission.as_ref()?;
        is_visible(&submission.team, team).then_some(JobStatus::Queued)
    }
}

/// Returns the addressee of requests to an address.
fn into_addressee(address: Address, assignment: Assignment) -> Addressee {
    Addressee {
        queue: assignment.queue,
        pool: assignment.pool,
        origin: Some(Origin {
            address,
            version: assignment.version,
        }),
    }
}
