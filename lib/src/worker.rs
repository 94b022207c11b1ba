//! What the owner of a pool knows about each worker: the runs that may take place
//! there, until when their leases may last, and whether the worker answers.
//!
//! A run is kept until the worker reports that it has ended, rejects it or restarts,
//! or until its lease has certainly ended, so resources are never given out twice.
//! Times on a worker's clock are estimated from its last answer, allowing for the
//! slowest clock that the platform permits.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::advice::{StepKey, step_key};
use crate::id::{InstanceId, PoolId, RackId, ZoneId};
use crate::job_record::JobKey;
use crate::order::ContactId;
use crate::resources::Resources;
use crate::run::STALL_TIMEOUT;
pub use crate::run::{ProgressReport, Run, RunKey, RunPhase};
use crate::withdrawal;
use crate::worker_speed::{Progress, Speed};

/// Rate of the slowest worker clock relative to true time; the platform guarantees clocks at
/// most 2% slow.
const MIN_CLOCK_RATE: f64 = 0.98;
/// Number of consecutive failed runs after which a worker is quarantined.
/// A job that is itself at fault is given up after two runs, so a single job cannot reach three.
const QUARANTINE_FAILURES: u32 = 3;
/// Time for which a quarantined worker is used only if no other one has room.
const QUARANTINE_TIME: Duration = Duration::from_secs(4);

/// A worker as listed by the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedWorker {
    /// Name of the worker.
    pub id: InstanceId,
    /// Address of its API. Port zero stands for an unknown address: the worker is known only
    /// from the records of earlier owners.
    pub addr: SocketAddr,
    /// Pool that the worker belongs to.
    pub pool: PoolId,
    /// Availability zone that the worker runs in.
    pub zone: ZoneId,
    /// Rack that the worker stands in; empty if unknown.
    pub rack: RackId,
    /// Labels that steps may require.
    pub labels: Vec<Arc<str>>,
    /// Total resources for tasks.
    pub capacity: Resources,
    /// Whether the worker is draining and takes no new tasks.
    pub draining: bool,
    /// Start time of the incarnation that wrote the entry, milliseconds since the Unix epoch;
    /// zero if unknown. The entry may be older or newer than what the worker last reported.
    pub started_ms: u64,
}

/// A reading of a worker's clock.
#[derive(Clone, Copy, Debug)]
struct Clock {
    worker_ms: u64,
    read_at: Duration,
}

/// What the owner of a pool knows about a worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// The worker's entry in the list, as last seen.
    pub listed: ListedWorker,
    /// Whether the worker is in the current list.
    pub is_listed: bool,
    /// Start time of the incarnation as the worker reported it to this owner, milliseconds since
    /// the Unix epoch; zero if it has not. It differs after a restart. It may be lower then, as
    /// the time of day of a worker may be set back.
    pub started_ms: u64,
    /// Contact under which the worker is called.
    pub contact: ContactId,
    /// Keeps the status requests of that contact valid.
    pub contact_guard: withdrawal::Guard,
    /// Contact that was begun when a restart was reported last; unnumbered if none was. Only answers
    /// under it or a later one certainly come from that incarnation or a later one.
    pub incarnation_contact: ContactId,
    /// Whether the worker has reported its runs under the current contact, so that it carries out
    /// no call of an earlier one.
    pub is_observed: bool,
    /// Time on the worker's clock of the first such report, milliseconds.
    pub first_observed_ms: u64,
    /// When the worker refused a status request without a number because of a higher token;
    /// `None` if it has answered since or is called with numbers.
    pub refused_at: Option<Duration>,
    /// Whether the last report had rows that could not be read.
    pub has_unreadable_rows: bool,
    /// Runs that may be taking place there.
    pub runs: HashMap<RunKey, Run>,
    /// Number of the runs of each step.
    runs_by_step: HashMap<StepKey, u32>,
    /// Sum of what the runs reserve.
    pub used: Resources,
    /// Number of the latest run end that the worker reported. Workers number the ends of runs in
    /// ascending order within an incarnation.
    pub last_end_seen: u64,
    /// Number of the latest run end whose effect is in the log, so that the worker may drop it.
    pub last_end_recorded: u64,
    /// Whether a status request under the current contact is in flight.
    pub status_requested: bool,
    /// When the next status request is due.
    pub next_status_request: Duration,
    /// Number of consecutive calls without an answer.
    pub missed_answers: u32,
    /// Until when the worker takes no new tasks, because it is to be emptied for maintenance or a
    /// move.
    pub vacate_until: Duration,
    /// When emptying the worker began.
    pub vacate_since: Duration,
    /// Speed of best-effort tasks on the worker, in percent of full speed.
    pub speed_percent: u32,
    /// When that speed was last changed.
    pub speed_changed_at: Duration,
    /// When a record that the worker is silent was last written; `None` if the log has none.
    /// While there is one, leases must not be renewed: a later owner relies on its expiry time.
    pub silence_recorded_at: Option<Duration>,
    /// Whether the removal of that record is being written to the log.
    pub silence_removal_pending: bool,
    /// Speed relative to similar workers.
    pub speed: Speed,
    /// Whether the worker's tasks make progress.
    pub progress: Progress,
    clock: Option<Clock>,
    /// Time by which all leases granted so far have ended, on the clock of the owner.
    leases_end_by: Duration,
    consecutive_failures: u32,
    quarantined_until: Duration,
}

impl Worker {
    /// Creates the state of a worker that has not reported yet. Leases granted by earlier owners
    /// end by `leases_end_by`.
    pub fn new(listed: ListedWorker, contact: ContactId, leases_end_by: Duration) -> Worker {
        Worker {
            listed,
            is_listed: true,
            started_ms: 0,
            contact,
            contact_guard: withdrawal::Guard::default(),
            incarnation_contact: ContactId::Unnumbered,
            is_observed: false,
            first_observed_ms: 0,
            refused_at: None,
            has_unreadable_rows: false,
            runs: HashMap::new(),
            runs_by_step: HashMap::new(),
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
            speed: Speed::default(),
            progress: Progress::default(),
            clock: None,
            leases_end_by,
            consecutive_failures: 0,
            quarantined_until: Duration::ZERO,
        }
    }

    /// Adds a run and reserves its resources. Replaces a run with the same key.
    pub fn add(&mut self, key: RunKey, run: Run) {
        self.remove(&key);
        self.used += run.reserved;
        *self.runs_by_step.entry(step_key(&key.task)).or_default() += 1;
        self.runs.insert(key, run);
    }

    /// Removes a run that has ended and releases its resources.
    pub fn remove(&mut self, key: &RunKey) -> Option<Run> {
        let run = self.runs.remove(key)?;
        self.used -= run.reserved;
        let step = step_key(&key.task);
        if let Some(count) = self.runs_by_step.get_mut(&step) {
            *count -= 1;
            if *count == 0 {
                self.runs_by_step.remove(&step);
            }
        }
        Some(run)
    }

    /// Removes all runs of a worker whose leases have all ended, and discards its clock. Returns
    /// the removed runs.
    pub fn clear(&mut self) -> Vec<(RunKey, Run)> {
        self.used = Resources::default();
        self.clock = None;
        self.runs_by_step.clear();
        self.runs.drain().collect()
    }

    /// Calls the worker under a new contact from now on. Until it answers under that contact,
    /// calls of earlier ones may still be carried out, so the next status request does not wait
    /// for the answer to an earlier one. Calls of earlier contacts that wait to be sent are
    /// withdrawn: the next incarnation, which knows no later contact, would carry them out.
    pub fn begin_contact(&mut self, contact: ContactId) {
        self.status_requested &= contact == self.contact;
        self.contact = contact;
        self.is_observed = false;
        self.contact_guard = withdrawal::Guard::default();
        self.runs.values_mut().for_each(|it| it.start_guard = None);
    }

    /// Whether a status comes from another incarnation than the last one.
    pub fn has_restarted(&self, started_ms: u64) -> bool {
        self.started_ms != 0 && started_ms != 0 && self.started_ms != started_ms
    }

    /// Whether a status under a contact may come from an earlier incarnation than the last one.
    /// Start times cannot tell, as the time of day of a worker may be set back.
    pub fn is_outdated(&self, contact: ContactId, started_ms: u64) -> bool {
        contact < self.incarnation_contact && self.started_ms != started_ms
    }

    /// Resets the state for a new incarnation of the worker. Returns the runs that were lost with
    /// the earlier one; those that it never listed stay, as the new one may have been given the
    /// start order, which counts as void after `orders_void_ms` of its clock. A renewal computed
    /// for the clock of the earlier incarnation may have reached the new one, so its leases may
    /// last until `leases_end_by`.
    pub fn start_incarnation(&mut self, started_ms: u64, orders_void_ms: u64, leases_end_by: Duration) -> Vec<(RunKey, Run)> {
        self.started_ms = started_ms;
        self.first_observed_ms = 0;
        self.last_end_seen = 0;
        self.last_end_recorded = 0;
        self.speed = Speed::default();
        self.progress = Progress::default();
        self.clock = None;
        self.expect_leases(leases_end_by);
        for run in self.runs.values_mut() {
            // These are times on the clock of the earlier incarnation.
            run.started_ms = 0;
            run.observed_until = None;
            run.last_seen_ms = 0;
            run.order_expires_ms = orders_void_ms;
        }
        let lost: Vec<RunKey> = self
            .runs
            .iter()
            .filter(|(_, it)| !it.may_start())
            .map(|(key, _)| key.clone())
            .collect();
        lost.into_iter()
            .filter_map(|key| {
                let run = self.remove(&key)?;
                Some((key, run))
            })
            .collect()
    }

    /// Takes over a changed entry of the list. Returns whether it is of another incarnation than
    /// the one that the worker last reported.
    pub fn set_entry(&mut self, listed: ListedWorker) -> bool {
        let is_new = self.listed.started_ms != listed.started_ms;
        self.is_listed = true;
        self.listed = listed;
        is_new && !self.is_entry_current()
    }

    /// Allows for leases until `leases_end_by` that this owner did not grant, or granted to an
    /// earlier incarnation.
    pub fn expect_leases(&mut self, leases_end_by: Duration) {
        self.leases_end_by = self.leases_end_by.max(leases_end_by);
    }

    /// Updates the estimate of the worker's clock from an answer.
    pub fn read_clock(&mut self, worker_ms: u64, now: Duration) {
        // Answers may arrive out of order; an older reading would move the estimate back.
        if self.clock.is_some_and(|it| worker_ms < it.worker_ms) {
            return;
        }
        self.clock = Some(Clock { worker_ms, read_at: now });
    }

    /// Returns a lower bound of the worker's clock, milliseconds; `None` before the first answer.
    pub fn clock_ms(&self, now: Duration) -> Option<u64> {
        let clock = self.clock?;
        let elapsed = now.saturating_sub(clock.read_at).as_secs_f64() * MIN_CLOCK_RATE;
        Some(clock.worker_ms + (elapsed * 1000.0) as u64)
    }

    /// Extends the time by which all leases have ended to when the slowest clock shows `until_ms`.
    pub fn extend_leases(&mut self, until_ms: u64) {
        let Some(clock) = self.clock else {
            return;
        };
        let remaining = until_ms.saturating_sub(clock.worker_ms) as f64 / 1000.0 / MIN_CLOCK_RATE;
        self.leases_end_by = self.leases_end_by.max(clock.read_at + Duration::from_secs_f64(remaining));
    }

    /// Whether every lease granted on the worker has certainly ended.
    pub fn leases_have_ended(&self, now: Duration) -> bool {
        self.leases_end_by < now
    }

    /// Whether runs may be taking place whose leases are not renewed: the worker does not answer,
    /// or it is known only from records and has no address.
    pub fn is_silent(&self, now: Duration) -> bool {
        let is_unreachable = self.missed_answers != 0 || self.listed.addr.port() == 0;
        is_unreachable && !self.runs.is_empty() && !self.leases_have_ended(now)
    }

    /// Returns the time until every lease granted on the worker has certainly ended.
    pub fn lease_time_left(&self, now: Duration) -> Duration {
        self.leases_end_by.saturating_sub(now)
    }

    /// Whether the worker's entry in the list was written by the incarnation that answers, as far
    /// as is known. Another one may have other labels and resources.
    fn is_entry_current(&self) -> bool {
        self.listed.started_ms == 0 || self.started_ms == 0 || self.listed.started_ms == self.started_ms
    }

    /// Whether new tasks may be placed on the worker, leaving its capacity aside.
    pub fn accepts_work(&self, now: Duration) -> bool {
        self.is_listed
            && self.is_observed
            && self.is_entry_current()
            && !self.has_unreadable_rows
            && self.silence_recorded_at.is_none()
            && !self.listed.draining
            && self.missed_answers == 0
            && self.vacate_until <= now
    }

    /// Whether a long-running task is certainly at work, even if an earlier owner ordered a stop.
    /// The worker has refused such orders since it first heard from this owner, but one may have been
    /// in progress then, which takes up to `stop_time`.
    pub fn is_confirmed_at_work(&self, run: &Run, stop_time: Duration) -> bool {
        let earlier_stops_done_ms = self.first_observed_ms + stop_time.as_millis() as u64;
        self.missed_answers == 0
            && run.phase == RunPhase::Active
            && 100 <= run.progress_percent
            && earlier_stops_done_ms <= run.last_seen_ms
    }

    /// Whether the worker is quarantined because runs failed or made no progress there.
    pub fn is_quarantined(&self, now: Duration) -> bool {
        now < self.quarantined_until
    }

    /// Whether the worker gets no task because its tasks made no progress: it pauses, or has one
    /// task that has to make progress first.
    pub fn is_paused(&self, now: Duration) -> bool {
        let is_probe = |run: &Run, since: Duration| since <= run.progress_changed_at && now < run.progress_changed_at + STALL_TIMEOUT;
        let retry_at = self.progress.retry_at();
        retry_at.is_some_and(|since| now < since || self.runs.values().any(|it| is_probe(it, since)))
    }

    /// Returns the number of tasks of one step that may be running on the worker.
    pub fn count_tasks(&self, job: &JobKey, turn: u32, step: u16) -> u32 {
        self.runs_by_step.get(&(job.clone(), turn, step)).copied().unwrap_or(0)
    }

    /// Counts the end of a run for or against the worker. Returns whether the worker was
    /// quarantined for it.
    pub fn record_result(&mut self, failed: bool, now: Duration) -> bool {
        if !failed {
            self.consecutive_failures = 0;
            return false;
        }
        self.consecutive_failures += 1;
        if self.consecutive_failures < QUARANTINE_FAILURES {
            return false;
        }
        self.quarantined_until = now + QUARANTINE_TIME;
        true
    }

    /// Quarantines the worker.
    pub fn quarantine(&mut self, now: Duration) {
        self.quarantined_until = now + QUARANTINE_TIME;
    }
}
