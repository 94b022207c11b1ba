//! Actions of the owner of a pool, and what workers report and answer to its orders.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;

use crate::advice::StepKey;
use crate::decision::Decision;
use crate::id::{InstanceId, PoolId};
use crate::job_record::{CancelKey, JobKey, Request};
use crate::withdrawal;
use crate::worker::RunKey;

/// Contact with a worker, under which its calls are made.
///
/// A worker gets a new contact when the owner no longer knows what becomes of the calls that it
/// has sent: after silence, and after a restart, in which the worker forgets the tokens that it
/// has seen. A worker that was called under a contact carries out no call of a lower one. With
/// [`TokenForm::Epoch`] a worker that was called under a number is called without one again after
/// a call without an answer, as it may have restarted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ContactId {
    /// Calls carry the epoch alone, as those of earlier builds. An answer does not tell whether
    /// other calls of the same owner will still be carried out.
    #[default]
    Unnumbered,
    /// Calls carry the epoch and this number, which the owner counts up over all workers.
    Numbered(u32),
}

/// Form of the fencing tokens with which an owner starts to call a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TokenForm {
    /// The epoch alone, which earlier builds use and accept. A worker that has seen a token of
    /// the other form refuses it and is then called with that form.
    Epoch,
    /// The epoch and the number of the contact.
    #[default]
    Contact,
}

/// Number of bits of a fencing token that hold the number of the contact.
const CONTACT_BITS: u32 = 24;
/// Last number of an ownership; one that needs more ends, and the next one counts anew.
pub(crate) const MAX_CONTACT: u32 = (1 << CONTACT_BITS) - 1;

/// Returns the fencing token of calls to a worker: higher for a later contact of the same owner,
/// and for a later owner whose tokens have the same form.
pub fn fencing_token(epoch: u64, contact: ContactId) -> u64 {
    match contact {
        ContactId::Unnumbered => epoch,
        ContactId::Numbered(number) => epoch << CONTACT_BITS | u64::from(number.min(MAX_CONTACT)),
    }
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum RunOutcome {
    /// The task completed.
    Done,
    /// The task failed.
    Failed,
    /// The run was stopped by an order.
    Stopped,
    /// The run's lease ended.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not start in time.
    Alone,
}

/// An ended run in a worker's status.
#[derive(Clone, Debug)]
pub struct RunEnd {
    /// Number of the end on that worker, counted from the start of its incarnation.
    pub sequence: u64,
    /// Task and number of the run.
    pub key: RunKey,
    /// How the run ended.
    pub outcome: RunOutcome,
    /// Saved progress that a later run resumes from; empty if there is none.
    pub checkpoint: Arc<str>,
}

/// A run in progress in a worker's status.
#[derive(Clone, Debug)]
pub struct ActiveRun {
    /// Task and number of the run.
    pub key: RunKey,
    /// Progress saved so far; empty if there is none.
    pub checkpoint: Arc<str>,
    /// Progress in percent; 100 for a long-running task that is at work.
    pub percent: u32,
    /// Response time in milliseconds of a long-running task, CPU in use of any other one;
    /// `None` if the worker does not measure it.
    pub measurement: Option<u64>,
}

/// A worker's answer to a status request.
#[derive(Clone, Debug, Default)]
pub struct WorkerStatus {
    /// The worker's own clock, milliseconds.
    pub clock_ms: u64,
    /// Start of the worker's incarnation, milliseconds since the Unix epoch; zero if not reported.
    pub started_ms: u64,
    /// Runs in progress.
    pub active: Vec<ActiveRun>,
    /// Ended runs that the owner has not acknowledged yet; at most one page of them.
    pub ended: Vec<RunEnd>,
    /// Whether a row of either list could not be read. A run that is missing from the lists may
    /// then be in progress or have ended.
    pub has_unreadable_rows: bool,
}

/// What is known of an order after the call to the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The order was carried out now or before.
    Done {
        /// The worker's own clock, milliseconds.
        clock_ms: u64,
    },
    /// The order was certainly not carried out and never will be.
    Refused(Refusal),
    /// No usable answer: the order may have been carried out, or may be later.
    Lost,
}

/// Why a worker did not carry out an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Refusal {
    /// The worker has seen the fencing token of a later owner.
    Fenced,
    /// The worker knows a later run of the task.
    Old,
    /// The order reached the worker after it had expired.
    Late,
    /// The worker lacks capacity for the task.
    Room,
    /// The advice ticket that the order carried is not valid.
    Ticket,
    /// The address belongs to another worker or to a new incarnation of this one.
    Instance,
    /// The worker is unhealthy or overloaded.
    Unhealthy,
    /// The worker cannot decode the order.
    Malformed,
    /// No connection to the worker could be opened.
    Unreachable,
    /// The order was withdrawn before it was sent.
    Withdrawn,
}

/// An order to start a run.
#[derive(Clone, Debug)]
pub struct StartOrder {
    /// Worker that receives the order.
    pub worker: InstanceId,
    /// Task and number of the run.
    pub key: RunKey,
    /// Payload of the job, passed to the task.
    pub payload: Arc<str>,
    /// Saved progress to resume from; empty if there is none.
    pub checkpoint: Arc<str>,
    /// Time on the worker's clock after which it refuses the order, milliseconds.
    pub expires_ms: u64,
    /// Time on the owner's clock after which the order must not be sent. A worker that restarts
    /// has a new clock, so it would carry out an order that has expired.
    pub send_by: Duration,
    /// Contact with the worker under which the order is sent.
    pub contact: ContactId,
    /// Ticket from the advice service; `None` if the queue does not require advice.
    pub ticket: Option<Arc<str>>,
    /// Tells whether the order was withdrawn and must not be sent.
    pub withdrawal: withdrawal::Watch,
}

/// Something that the caller of [`Scheduler::poll`](crate::scheduler::Scheduler::poll) carries out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Append records under the owner's epoch and report when the log has confirmed them.
    /// A key without a value is removed.
    Commit(Vec<(Arc<str>, Option<Bytes>)>),
    /// Remove requests from the log whose effect is recorded there.
    RemoveRequests {
        /// Jobs whose submission is removed.
        submissions: Vec<JobKey>,
        /// Cancellations that are removed.
        cancels: Vec<CancelKey>,
    },
    /// Append requests for a job to the partition of another pool, then remove them from this
    /// one, and report it with [`Scheduler::hand_on_finished`](crate::scheduler::Scheduler::hand_on_finished).
    HandOn {
        /// Job that the requests are for.
        id: JobKey,
        /// Pool that the queue of the job uses after this one.
        pool: PoolId,
        /// The requests.
        requests: Vec<Request>,
    },
    /// Ask the owner of another pool whether it has jobs, and pass its answer to
    /// [`Scheduler::holdings_received`](crate::scheduler::Scheduler::holdings_received).
    Inquire {
        /// The other pool.
        pool: PoolId,
        /// Version of the configuration that its owner has to know.
        version: u64,
        /// The jobs.
        jobs: Vec<JobKey>,
    },
    /// Order a worker to start a run.
    Start(StartOrder),
    /// Order a worker to stop a run.
    Stop {
        /// Worker that receives the order.
        worker: InstanceId,
        /// Contact with the worker under which the order is sent.
        contact: ContactId,
        /// Task and number of the run.
        key: RunKey,
        /// Whether the run has not ended since the same order was sent, which may not have arrived.
        is_repeated: bool,
    },
    /// Order a worker to change the speed of a run.
    SetSpeed {
        /// Worker that receives the order.
        worker: InstanceId,
        /// Contact with the worker under which the order is sent.
        contact: ContactId,
        /// Task and number of the run.
        key: RunKey,
        /// New speed as a percentage of full speed; zero suspends the run.
        percent: u32,
    },
    /// Ask the advice service which workers may run a step.
    RequestAdvice {
        /// Step to be placed.
        step: StepKey,
        /// Candidate workers.
        workers: Vec<InstanceId>,
    },
    /// Request a worker's status, acknowledge ended runs and renew leases.
    FetchStatus {
        /// Worker that receives the request.
        worker: InstanceId,
        /// Contact with the worker under which the request is sent.
        contact: ContactId,
        /// Last ended run that is recorded in the log; the worker drops it and earlier ones.
        ack_cursor: u64,
        /// Time on the worker's clock until which leases are renewed, milliseconds;
        /// `None` renews none.
        lease_until_ms: Option<u64>,
        /// How long the worker may wait for a run to end before it answers.
        wait: Duration,
        /// Time after which the request is sent again on a new connection if there is no answer;
        /// `None` if it renews no leases, so that nothing hangs on it.
        overdue_after: Option<Duration>,
        /// Tells whether the request was withdrawn and must not be sent.
        withdrawal: withdrawal::Watch,
    },
    /// Write a decision to the decision log.
    LogDecision(Decision),
}
