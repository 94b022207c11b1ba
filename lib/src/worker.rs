//! Workers as the owner of their pool sees them: what runs there, how long it
//! may run on, and whether they answer.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::id::{InstanceId, PoolId, RackId, TeamId, ZoneId};
use crate::job_record::{JobKey, TaskKey};
use crate::resources::Resources;

/// Slowest clock of a worker, as a part of true time; the platform promises 2%.
const CLOCK_RATE: f64 = 0.98;
/// Failed runs in a row after which a worker is avoided.
/// A job that fails by its own fault is given up after two runs, so one job cannot reach three.
const FAILS_IN_A_ROW: u32 = 3;
/// Time for which a failing worker is avoided before it is tried again.
const QUARANTINE: Duration = Duration::from_secs(4);
/// Silence after which a task that should make progress counts as stalled.
/// Twice the interval of two looks at a busy worker.
const STALL: Duration = Duration::from_millis(2500);

/// A worker as the platform's list shows it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedWorker {
    /// Its name.
    pub id: InstanceId,
    /// Where it takes orders.
    pub addr: SocketAddr,
    /// Pool that it is in.
    pub pool: PoolId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its rack; empty if unknown.
    pub rack: RackId,
    /// Its labels.
    pub labels: Vec<Arc<str>>,
    /// What it can hold.
    pub capacity: Resources,
    /// Whether it is about to leave.
    pub draining: bool,
    /// Start of its present life, milliseconds since the epoch.
    pub started_ms: u64,
}

/// One run of a task on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RunKey {
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
}

/// How far a run is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPhase {
    /// Recorded or about to be; no order has been sent.
    Intended,
    /// Ordered without an answer yet.
    Sent,
    /// Placed by an earlier owner, not yet seen here.
    Inherited,
    /// Seen running.
    Active,
    /// To be stopped.
    Stopping,
}

/// A run that may take place on a worker.
#[derive(Clone, Debug)]
pub struct Run {
    /// How far it is.
    pub phase: RunPhase,
    /// Team whose cap it counts against.
    pub team: TeamId,
    /// What it takes of the worker.
    pub reserved: Resources,
    /// What it counts against the cap.
    pub need: Resources,
    /// The worker's clock when it was last known to run, milliseconds; zero if it never was.
    pub last_seen_ms: u64,
    /// The worker's clock after which the order to start is void, milliseconds.
    pub order_expires_ms: u64,
    /// Progress in percent.
    pub progress_percent: u32,
    /// When the progress last changed.
    pub progress_changed_at: Duration,
    /// Speed that it was told to work at, percent.
    pub speed_percent: u32,
    /// When the stop was last ordered.
    pub stop_sent_at: Option<Duration>,
}

/// A reading of a worker's clock.
#[derive(Clone, Copy, Debug)]
struct Clock {
    worker_ms: u64,
    read_at: Duration,
}

/// A worker as the owner of its pool sees it.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Its line of the list.
    pub listed: ListedWorker,
    /// Whether the list shows it.
    pub is_listed: bool,
    /// Whether it has shown what runs there since this owner took over.
    pub is_observed: bool,
    /// The worker's clock when it did so first, milliseconds.
    pub first_observed_ms: u64,
    /// Runs that may take place.
    pub runs: HashMap<RunKey, Run>,
    /// What the runs take.
    pub used: Resources,
    /// Highest end seen.
    pub last_end_seen: u64,
    /// Highest end that is recorded.
    pub last_end_recorded: u64,
    /// Whether a look is under way.
    pub status_requested: bool,
    /// When the next look is due.
    pub next_status_request: Duration,
    /// Calls in a row without an answer.
    pub missed_answers: u32,
    /// Whether it is to be emptied until a time, for upkeep or a move.
    pub vacate_until: Duration,
    /// Since when it is to be empty.
    pub vacate_since: Duration,
    /// Speed of tasks that fill, percent.
    pub speed_percent: u32,
    /// When that speed was last changed.
    pub speed_changed_at: Duration,
    /// When its silence was last recorded; its leases must not be renewed while a record stands.
    pub silence_recorded_at: Option<Duration>,
    /// Whether the removal of that record is on its way to the log.
    pub silence_removal_pending: bool,
    clock: Option<Clock>,
    ended_by: Duration,
    fails: u32,
    avoid_until: Duration,
}

impl Worker {
    /// A worker that has just been listed. What an earlier owner started there ends by `ended_by`.
    pub fn new(listed: ListedWorker, ended_by: Duration) -> Worker {
        Worker {
            listed,
            is_listed: true,
            is_observed: false,
            first_observed_ms: 0,
            runs: HashMap::new(),
            used: Resources::default(),
            last_end_seen: 0,
            last_end_recorded: 0,
            status_requested: false,
            next_status_request: Duration::ZERO,
            missed_answers: 0,
            vacate_until: Duration::ZERO,
            vacate_since: Duration::ZERO,
            speed_percent: 100,
            speed_changed_at: Duration::ZERO,
            silence_recorded_at: None,
            silence_removal_pending: false,
            clock: None,
            ended_by,
            fails: 0,
            avoid_until: Duration::ZERO,
        }
    }

    /// Adds a run.
    pub fn add(&mut self, key: RunKey, run: Run) {
        self.used += run.reserved;
        if let Some(old) = self.runs.insert(key, run) {
            self.used -= old.reserved;
        }
    }

    /// Removes a run that no longer takes place.
    pub fn remove(&mut self, key: &RunKey) -> Option<Run> {
        let run = self.runs.remove(key)?;
        self.used -= run.reserved;
        Some(run)
    }

    /// Forgets all runs and the worker's clock: it has started anew, or all has surely ended.
    pub fn clear(&mut self) -> Vec<(RunKey, Run)> {
        self.used = Resources::default();
        self.is_observed = false;
        self.clock = None;
        self.runs.drain().collect()
    }

    /// Takes a new life of the worker into account. A renewal by the clock of the
    /// life before may have reached it, so its leases may last until `ended_by`.
    pub fn start_incarnation(&mut self, born_ms: u64, ended_by: Duration) -> Vec<(RunKey, Run)> {
        self.listed.started_ms = born_ms;
        self.last_end_seen = 0;
        self.last_end_recorded = 0;
        self.ended_by = ended_by;
        self.clear()
    }

    /// Notes the worker's clock from an answer.
    pub fn read_clock(&mut self, worker_ms: u64, now: Duration) {
        // Answers may overtake each other; an older reading would move the estimate back.
        if self.clock.is_some_and(|it| worker_ms < it.worker_ms) {
            return;
        }
        self.clock = Some(Clock { worker_ms, read_at: now });
    }

    /// The worker's clock, estimated from below.
    pub fn clock_ms(&self, now: Duration) -> Option<u64> {
        let clock = self.clock?;
        let elapsed = now.saturating_sub(clock.read_at).as_secs_f64() * CLOCK_RATE;
        Some(clock.worker_ms + (elapsed * 1000.0) as u64)
    }

    /// Notes that work may go on until the worker's clock shows `until_ms`.
    pub fn extend_leases(&mut self, until_ms: u64) {
        let Some(clock) = self.clock else {
            return;
        };
        let left = until_ms.saturating_sub(clock.worker_ms) as f64 / 1000.0 / CLOCK_RATE;
        self.ended_by = self.ended_by.max(clock.read_at + Duration::from_secs_f64(left));
    }

    /// Whether the leases of all that was started here have surely ended.
    pub fn leases_have_ended(&self, now: Duration) -> bool {
        self.ended_by < now
    }

    /// Whether something may run here while no lease is renewed: the worker does
    /// not answer, or only records name it and nobody knows its address.
    pub fn is_silent(&self, now: Duration) -> bool {
        let unheard = self.missed_answers != 0 || self.listed.addr.port() == 0;
        unheard && !self.runs.is_empty() && !self.leases_have_ended(now)
    }

    /// Time until all that was started here has surely ended.
    pub fn lease_time_left(&self, now: Duration) -> Duration {
        self.ended_by.saturating_sub(now)
    }

    /// Whether new work may go there, apart from what it can hold.
    pub fn accepts_work(&self, now: Duration) -> bool {
        self.is_listed
            && self.is_observed
            && self.silence_recorded_at.is_none()
            && !self.listed.draining
            && self.missed_answers == 0
            && self.vacate_until <= now
    }

    /// Whether a run is at work there, whatever an earlier owner ordered: its
    /// stops are refused since this owner was heard, but one may have been under way.
    pub fn is_confirmed_at_work(&self, run: &Run, stop: Duration) -> bool {
        let settled_ms = self.first_observed_ms + stop.as_millis() as u64;
        self.missed_answers == 0 && run.phase == RunPhase::Active && 100 <= run.progress_percent && settled_ms <= run.last_seen_ms
    }

    /// Whether it has been failing what it runs.
    pub fn is_quarantined(&self, now: Duration) -> bool {
        now < self.avoid_until
    }

    /// Tasks of one step that may run here.
    pub fn count_tasks(&self, job: &JobKey, turn: u32, step: u16) -> u32 {
        let same = |it: &&RunKey| it.task.job == *job && it.task.turn == turn && it.task.step == step;
        self.runs.keys().filter(same).count() as u32
    }

    /// Takes the end of a run into account. Returns whether the worker became suspect.
    pub fn record_result(&mut self, failed: bool, now: Duration) -> bool {
        if !failed {
            self.fails = 0;
            return false;
        }
        self.fails += 1;
        if self.fails < FAILS_IN_A_ROW {
            return false;
        }
        self.avoid_until = now + QUARANTINE;
        true
    }

    /// Notes a task that makes no progress, as a failure.
    pub fn quarantine(&mut self, now: Duration) {
        self.avoid_until = now + QUARANTINE;
    }
}

impl Run {
    /// A run that nobody has seen yet.
    pub fn new(phase: RunPhase, team: TeamId, reserved: Resources, need: Resources, now: Duration) -> Run {
        Run {
            phase,
            team,
            reserved,
            need,
            last_seen_ms: 0,
            order_expires_ms: 0,
            progress_percent: 0,
            progress_changed_at: now,
            speed_percent: 100,
            stop_sent_at: None,
        }
    }

    /// Whether it does not take place, given that the worker did not list it at a time of its clock.
    pub fn has_ended(&self, clock_ms: u64) -> bool {
        match self.phase {
            RunPhase::Intended => false,
            // Orders of earlier owners are void since this one was heard there.
            RunPhase::Inherited => true,
            // Until its time is over, an order may still be carried out.
            _ if self.last_seen_ms == 0 => self.order_expires_ms < clock_ms,
            // A look that was answered before the start is no evidence.
            _ => self.last_seen_ms < clock_ms,
        }
    }

    /// Whether it should make progress and makes none.
    pub fn is_stalled(&self, now: Duration) -> bool {
        self.phase == RunPhase::Active && self.progress_percent < 100 && self.progress_changed_at + STALL < now
    }
}
