//! Runs of tasks that may be taking place on a worker, as the owner of a pool knows them.

use std::time::Duration;

use crate::id::TeamId;
use crate::interference::Image;
use crate::job_record::TaskKey;
use crate::order::ContactId;
use crate::resources::Resources;
use crate::scheduler::START_EXPIRY;
use crate::withdrawal;

/// Time without progress after which a run counts as stalled.
/// Twice the interval between two status requests to a busy worker.
pub(crate) const STALL_TIMEOUT: Duration = Duration::from_millis(2500);

/// Identifies one run of a task.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RunKey {
    /// Task that is run.
    pub task: TaskKey,
    /// Number of the run; see [`TaskRecord::run`](crate::job_record::TaskRecord::run).
    pub run: u32,
}

/// State of a run as known to the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPhase {
    /// The placement is being written to the log; no start order has been sent.
    Intended,
    /// The start order has been sent and not been answered.
    Sent,
    /// Placed by an earlier owner and not reported by the worker to this one yet.
    Inherited,
    /// Confirmed by the worker.
    Active,
    /// Must be stopped.
    Stopping,
}

/// Progress of a run at a time on its worker's clock.
#[derive(Clone, Copy, Debug)]
pub struct ProgressReport {
    /// Time on the worker's clock, milliseconds.
    pub clock_ms: u64,
    /// Progress in percent.
    pub percent: u32,
}

/// A run that may be taking place on a worker.
#[derive(Clone, Debug)]
pub struct Run {
    /// State of the run.
    pub phase: RunPhase,
    /// Team whose cap the run counts against.
    pub team: TeamId,
    /// What the run reserves of the worker's capacity.
    pub reserved: Resources,
    /// What the run counts against the team's cap.
    pub need: Resources,
    /// Image of the task; empty if it is not known.
    pub image: Image,
    /// Report up to which the cost of the run was observed; `None` before the first.
    pub observed_until: Option<ProgressReport>,
    /// Known slowdown by the latest neighbors.
    pub neighbor_slowdown: f64,
    /// Time on the worker's clock at which a run from the start of its task began, milliseconds;
    /// zero if that is not known.
    pub started_ms: u64,
    /// Time on the worker's clock at which the worker last confirmed the run, milliseconds; zero
    /// if it never did.
    pub last_seen_ms: u64,
    /// Time on the worker's clock after which it no longer carries out the start order,
    /// milliseconds.
    pub order_expires_ms: u64,
    /// Contact with the worker under which the start order was sent; unnumbered for a run of an
    /// earlier owner.
    pub contact: ContactId,
    /// Whether a status of the worker has listed the run. An answer to the start order alone does
    /// not tell which incarnation gave it.
    pub was_listed: bool,
    /// Progress in percent; 100 for a long-running task that is at work.
    pub progress_percent: u32,
    /// When the progress last changed, on the clock of the owner.
    pub progress_changed_at: Duration,
    /// Speed that the worker gives the run, in percent of full speed; `None` if it is not known.
    pub speed_percent: Option<u32>,
    /// When a stop was last ordered; `None` if it never was.
    pub stop_sent_at: Option<Duration>,
    /// Keeps the start order valid; `None` once it must not be sent any more.
    pub start_guard: Option<withdrawal::Guard>,
}

impl Run {
    /// Creates a run that the worker has not confirmed yet.
    pub fn new(phase: RunPhase, team: TeamId, reserved: Resources, need: Resources, now: Duration) -> Run {
        Run {
            phase,
            team,
            reserved,
            need,
            image: Image::default(),
            observed_until: None,
            neighbor_slowdown: 1.0,
            started_ms: 0,
            last_seen_ms: 0,
            order_expires_ms: 0,
            contact: ContactId::Unnumbered,
            was_listed: false,
            progress_percent: 0,
            progress_changed_at: now,
            speed_percent: Some(100),
            stop_sent_at: None,
            start_guard: None,
        }
    }

    /// Marks the run to be stopped. If its start order was not sent yet, it never will be.
    pub fn stop(&mut self) {
        self.phase = RunPhase::Stopping;
        self.start_guard = None;
    }

    /// Whether the start order was sent, by this owner or an earlier one, and no status has listed
    /// the run.
    pub fn may_start(&self) -> bool {
        self.phase != RunPhase::Intended && !self.was_listed
    }

    /// Whether the start order was answered by another incarnation than the one that it was sent
    /// to: a clock never goes back while an incarnation lasts. Zero stands for an unknown time.
    pub fn is_answer_of_other_incarnation(&self, clock_ms: u64) -> bool {
        let longest_ms = START_EXPIRY.as_millis() as u64;
        self.phase == RunPhase::Sent && clock_ms != 0 && clock_ms.saturating_add(longest_ms) < self.order_expires_ms
    }

    /// Whether the run has certainly ended or will never start, given that the worker did not
    /// list it in an answer under `contact` when its clock showed `clock_ms`.
    pub fn has_ended(&self, contact: ContactId, clock_ms: u64) -> bool {
        match self.phase {
            RunPhase::Intended => false,
            // The order may still be carried out until it expires, or until the worker refuses it
            // as one of an earlier contact or owner.
            _ if self.last_seen_ms == 0 => self.contact < contact || self.order_expires_ms < clock_ms,
            // A status from before the start proves nothing.
            _ => self.last_seen_ms < clock_ms,
        }
    }

    /// Whether the run should be making progress and has made none for some time.
    pub fn is_stalled(&self, now: Duration) -> bool {
        self.phase == RunPhase::Active && self.progress_percent < 100 && self.progress_changed_at + STALL_TIMEOUT < now
    }
}
