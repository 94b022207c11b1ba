//! What an entry instance keeps of its jobs and their tasks, of workers and of other members.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use smallvec::SmallVec;

use crate::clock::Now;
use crate::entry::RequestId;
use crate::id::{Attempt, InstanceId, MemberId, RackId, TeamId};
use crate::job::{Job, NotRunReason, Outcome, Repeat, Status, UnknownReason};
use crate::platform::TaskAttempt;
use crate::wire::Gossip;

/// A job that this entry has accepted; removed some time after it has ended.
#[derive(Debug)]
pub(crate) struct LocalJob {
    pub(crate) job: Job,
    /// Requests to answer when the job ends.
    pub(crate) waiting_requests: SmallVec<[RequestId; 1]>,
    /// Members to report the outcome to until they acknowledge it.
    pub(crate) report_to: SmallVec<[MemberId; 1]>,
    pub(crate) phase: Phase,
    /// Number of the latest attempt; zero before the first.
    pub(crate) attempts: Attempt,
    /// An attempt was made that may have run, so "not run" is no longer a valid outcome.
    pub(crate) may_have_run: bool,
    /// Workers, with their racks, that answered with a failure.
    pub(crate) failed_on: SmallVec<[(InstanceId, RackId); 2]>,
    pub(crate) accepted_at: Duration,
}

/// Where a job stands at this entry.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Phase {
    /// Must not be repeated, and this entry has not yet established who owns its id.
    Claiming,
    /// In its team's queue.
    Queued,
    /// Not started here. Before it ends as "not run", peers are asked whether
    /// they have it.
    Confirming(NotRunReason),
    /// Started on a worker, or the start is under way.
    Running(TaskAttempt),
    /// Assigned to another entry, which may not have confirmed it yet.
    Delegated(Delegation),
    /// Ended with this outcome.
    Ended(Outcome),
}

/// An assignment of a job to another entry.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Delegation {
    pub(crate) to: MemberId,
    pub(crate) role: crate::wire::Role,
    /// Whether the other entry has reported that it has the job.
    pub(crate) acked: bool,
    /// When the assignment was last sent or confirmed.
    pub(crate) last_exchange_at: Duration,
}

/// A task on a worker that holds a slot of this entry.
#[derive(Debug)]
pub(crate) struct RunningTask {
    pub(crate) team: TeamId,
    pub(crate) instance: InstanceId,
    pub(crate) addr: SocketAddr,
    pub(crate) started_at: Duration,
    /// The worker refuses the start after this instant.
    pub(crate) start_by: Duration,
    /// Whether the worker has confirmed that the task started.
    pub(crate) start_confirmed: bool,
    /// When the lease has expired at the latest, also by the worker's clock.
    pub(crate) lease_expires_at: Duration,
    pub(crate) next_renewal_at: Duration,
    /// When to send the next wait; `None` while one is under way.
    pub(crate) next_wait_at: Option<Duration>,
    /// The job has ended or continues without this task. Its slot stays in use
    /// until the task ends or its lease expires.
    pub(crate) detached: bool,
}

/// Why a worker was called, to interpret its response.
#[derive(Clone, Debug)]
pub(crate) enum CallPurpose {
    Start(TaskAttempt),
    Wait(TaskAttempt),
    Renew(TaskAttempt),
    Stop,
    List(InstanceId),
    Adopt(TaskAttempt, InstanceId),
}

/// A job that peers have been asked for.
#[derive(Debug, Default)]
pub(crate) struct JobSearch {
    /// Queries to answer when the job is found or the search expires.
    pub(crate) waiting_requests: SmallVec<[RequestId; 1]>,
    /// Members that answered that they do not have the job and will not accept
    /// it as its owner.
    pub(crate) members_without_job: BTreeSet<MemberId>,
    pub(crate) expires_at: Duration,
}

impl LocalJob {
    pub(crate) fn new(job: Job, now: Now, phase: Phase) -> LocalJob {
        LocalJob {
            job,
            waiting_requests: SmallVec::new(),
            report_to: SmallVec::new(),
            phase,
            attempts: 0,
            may_have_run: false,
            failed_on: SmallVec::new(),
            accepted_at: now.mono,
        }
    }

    pub(crate) fn status(&self) -> Status {
        match &self.phase {
            Phase::Claiming | Phase::Queued | Phase::Confirming(_) | Phase::Delegated(_) => Status::Queued,
            Phase::Running(_) => Status::Running,
            Phase::Ended(outcome) => Status::Ended(outcome.clone()),
        }
    }

    /// Replaces "not run" by "unknown" if an attempt may have run.
    pub(crate) fn known_outcome(&self, outcome: Outcome) -> Outcome {
        match outcome {
            Outcome::NotRun(NotRunReason::Deadline) if self.may_have_run => Outcome::Unknown(UnknownReason::Deadline),
            Outcome::NotRun(NotRunReason::Cancelled) if self.may_have_run => Outcome::Unknown(UnknownReason::Cancelled),
            Outcome::NotRun(_) if self.may_have_run => Outcome::Unknown(UnknownReason::WorkerLost),
            outcome => outcome,
        }
    }

    /// Whether the job must not be started a second time.
    pub(crate) fn is_at_most_once(&self) -> bool {
        self.job.repeat == Repeat::Forbidden
    }
}

impl Phase {
    pub(crate) fn is_ended(&self) -> bool {
        matches!(self, Phase::Ended(_))
    }
}

/// Monotonic instants that the periodic work depends on.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    pub(crate) last_tick: Duration,
    /// End of the last pause of this process; earlier silence of peers is ignored.
    pub(crate) resumed_at: Duration,
    pub(crate) next_gossip_at: Duration,
    pub(crate) next_list_at: Duration,
    pub(crate) next_allotment_at: Duration,
    pub(crate) next_pull_at: Duration,
    pub(crate) next_delegation_check_at: Duration,
}

/// What this entry knows of another member.
#[derive(Debug, Default)]
pub(crate) struct PeerState {
    /// When the last frame from the peer arrived.
    pub(crate) last_heard_at: Duration,
    pub(crate) gossip: Gossip,
    /// When the latest answered `Pull` was sent, if the peer's answer confirmed
    /// that the log is down for it and that its replica is not ahead of this one.
    pub(crate) outage_agreed_at: Option<Duration>,
}

/// What this entry knows of a worker beyond the shared state.
#[derive(Debug, Default)]
pub(crate) struct WorkerState {
    /// Tasks of this entry on the worker.
    pub(crate) own_tasks: u32,
    /// No starts before this instant, because the worker reported that it was full.
    pub(crate) full_until: Duration,
    /// No starts before this instant, because the worker was unreachable or leaving.
    pub(crate) avoid_until: Duration,
    /// Current backoff after failed calls; zero once a start has succeeded.
    pub(crate) avoid_backoff: Duration,
}
