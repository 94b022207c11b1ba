//! The owner of a pool: holds its jobs and workers and decides what starts where.
//!
//! A pure state machine: it takes events and the clock, and returns actions.
//! Nothing starts before the record of the intent is in the log, so whoever
//! owns the pool next finds every run that can exist. Orders carry a token that
//! rises with each owner, and a time on the worker's clock after which they are void.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use crate::advice::{StepAdvice, StepKey};
use crate::catalog::{Catalog, Queue};
use crate::clock::Now;
use crate::commit::Batch;
use crate::estimate::ArrivalRate;
use crate::id::{InstanceId, PoolId, TeamId};
use crate::job_record::{JobKey, JobPhase, JobRecord, Request, TaskKey, TaskState};
use crate::note::Note;
use crate::order::Action;
use crate::resources::Resources;
use crate::worker::{Run, RunKey, RunPhase, Worker};

/// Time after which an order to start is void.
/// Ten times the slowest answer of a healthy worker across zones.
pub(crate) const START_LIMIT: Duration = Duration::from_millis(1000);
/// Time for which a look waits for something to end.
const LOOK_WAIT: Duration = Duration::from_millis(1500);
/// The same while tasks are throttled there.
const LOOK_WAIT_THROTTLED: Duration = Duration::from_millis(500);
/// Least time between two looks at a worker; ends that come within it share a look.
pub(crate) const LOOK_GAP: Duration = Duration::from_millis(60);
/// Least time between two looks while the log takes no records.
const LOOK_GAP_UNRECORDED: Duration = Duration::from_millis(500);
/// Time to the next try at a worker that did not answer.
pub(crate) const RETRY: Duration = Duration::from_millis(400);
/// Time after which an unanswered stop is ordered again.
const STOP_AGAIN: Duration = Duration::from_millis(500);
/// Ends that a worker lists at once; a full page may hide others.
pub(crate) const ENDS_PAGE: usize = 500;
/// Time to wait after a worker rejected a task for want of room.
pub(crate) const ROOM_RETRY: Duration = Duration::from_millis(200);

/// True time that passes at most while a worker's clock shows one second; the
/// platform promises clocks at most 2% slow, 1% is for rounding on the way.
const SLOWEST_CLOCK: f64 = 1.03;

/// Time limits that hold for one owner.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Length of leases.
    pub lease: Duration,
    /// Longest lease that workers grant, whatever is asked.
    pub lease_max: Duration,
    /// Time after the last proof of ownership during which leases are renewed.
    pub term: Duration,
    /// Longest time that a worker takes to stop a task.
    pub stop: Duration,
}

impl Bounds {
    /// True time after which a lease has ended on the slowest clock.
    pub(crate) fn lease_ends(&self) -> Duration {
        self.lease.mul_f64(SLOWEST_CLOCK)
    }

    /// The same for the longest lease that a worker grants.
    pub(crate) fn longest_lease_ends(&self) -> Duration {
        self.lease_max.mul_f64(SLOWEST_CLOCK)
    }
}

/// A job and what is only needed while it is owned.
#[derive(Debug)]
pub(crate) struct Tracked {
    pub(crate) record: JobRecord,
    /// Phase that is in the log.
    pub(crate) durable: JobPhase,
    /// Whether the log has a record of the job.
    pub(crate) stored: bool,
}

/// The owner of pools that share a partition of the log.
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) bounds: Bounds,
    pub(crate) acquired: Duration,
    pub(crate) proven: Duration,
    pub(crate) catalog: Arc<Catalog>,
    pub(crate) jobs: HashMap<JobKey, Tracked>,
    pub(crate) open: BTreeSet<JobKey>,
    pub(crate) workers: HashMap<InstanceId, Worker>,
    pub(crate) usage: HashMap<TeamId, Resources>,
    pub(crate) grants: HashMap<TeamId, Resources>,
    pub(crate) cancels: HashSet<JobKey>,
    pub(crate) dirty: BTreeSet<JobKey>,
    pub(crate) removed: Vec<JobKey>,
    pub(crate) intents: Vec<(InstanceId, RunKey)>,
    pub(crate) in_flight: Option<Batch>,
    pub(crate) last_commit: Duration,
    pub(crate) forget: Vec<JobKey>,
    pub(crate) last_forget: Duration,
    pub(crate) arrivals: HashMap<PoolId, ArrivalRate>,
    pub(crate) advice: HashMap<StepKey, StepAdvice>,
    pub(crate) silences: HashMap<InstanceId, Duration>,
    /// Runs that earlier owners placed, by worker, until the worker is listed or known to be missing.
    pub(crate) inherited: HashMap<InstanceId, Vec<(RunKey, Run)>>,
    pub(crate) fenced: bool,
    pub(crate) room_retry: Duration,
    pub(crate) actions: Vec<Action>,
}

impl Scheduler {
    /// An owner that has just set its epoch in the log.
    pub fn new(bounds: Bounds, now: Now) -> Scheduler {
        Scheduler {
            bounds,
            acquired: now.mono,
            proven: now.mono,
            catalog: Arc::default(),
            jobs: HashMap::new(),
            open: BTreeSet::new(),
            workers: HashMap::new(),
            usage: HashMap::new(),
            grants: HashMap::new(),
            cancels: HashSet::new(),
            dirty: BTreeSet::new(),
            removed: Vec::new(),
            intents: Vec::new(),
            in_flight: None,
            last_commit: Duration::ZERO,
            forget: Vec::new(),
            arrivals: HashMap::new(),
            advice: HashMap::new(),
            silences: HashMap::new(),
            inherited: HashMap::new(),
            last_forget: now.mono,
            fenced: false,
            room_retry: Duration::ZERO,
            actions: Vec::new(),
        }
    }

    /// Takes a request from the log; repeats change nothing.
    pub fn request(&mut self, now: Now, id: JobKey, request: Request) {
        match request {
            Request::Submit(submission) => {
                if let Some(tracked) = self.jobs.get(&id) {
                    // Until the job is stored the request is all that the log has of it.
                    if tracked.stored {
                        self.forget.push(id);
                    }
                    return;
                }
                self.note(Note::Admitted {
                    job: id.clone(),
                    queue: submission.queue.clone(),
                    team: submission.team.clone(),
                    tasks: submission.spec.tasks_per_occurrence(),
                });
                let arrivals = self.arrivals.entry(submission.pool.clone()).or_default();
                arrivals.record(now.mono, submission.spec.estimated_work());
                let tracked = Tracked {
                    record: JobRecord::new(submission),
                    durable: JobPhase::Open,
                    stored: false,
                };
                self.jobs.insert(id.clone(), tracked);
                self.open.insert(id.clone());
                if self.cancels.remove(&id) {
                    self.close(now, &id, JobPhase::Cancelled);
                }
            }
            Request::Cancel { .. } => match self.jobs.contains_key(&id) {
                true => self.close(now, &id, JobPhase::Cancelled),
                // The two requests may be read in either order.
                false => {
                    self.cancels.insert(id);
                }
            },
        }
    }

    /// Sets the configuration in force.
    pub fn set_catalog(&mut self, catalog: Arc<Catalog>) {
        self.catalog = catalog;
    }

    /// Sets what each team may have running in these pools.
    pub fn set_grants(&mut self, grants: HashMap<TeamId, Resources>) {
        self.grants = grants;
    }

    /// Notes that the log confirmed this owner.
    pub fn prove(&mut self, at: Duration) {
        self.proven = self.proven.max(at);
    }

    /// Whether a later owner has been seen.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Whether a run is the one that the task's record names, on this worker.
    pub(crate) fn is_wanted(&self, id: &InstanceId, key: &RunKey) -> bool {
        let Some(tracked) = self.jobs.get(&key.task.job) else {
            return false;
        };
        let Some(position) = tracked.record.position(&key.task) else {
            return false;
        };
        let task = &tracked.record.tasks[position];
        tracked.record.phase == JobPhase::Open && task.run == key.run && task.state == TaskState::Placed(id.clone())
    }

    pub(crate) fn describe(&self, key: &RunKey, capacity: Resources) -> (TeamId, Resources, Resources) {
        let Some(tracked) = self.jobs.get(&key.task.job) else {
            // What it takes is not known, so the worker counts as full.
            return (TeamId::from(""), capacity, Resources::default());
        };
        let record = &tracked.record;
        let Some(step) = record.spec().steps.get(usize::from(key.task.step)) else {
            return (record.submission.team.clone(), Resources::default(), Resources::default());
        };
        (record.submission.team.clone(), step.reserved(), step.need)
    }

    /// Ends a job and stops what runs of it.
    pub(crate) fn close(&mut self, now: Now, id: &JobKey, phase: JobPhase) {
        let Some(tracked) = self.jobs.get_mut(id) else {
            return;
        };
        if tracked.record.phase != JobPhase::Open {
            self.dirty.insert(id.clone());
            return;
        }
        tracked.record.end(phase, now.wall_ms());
        self.dirty.insert(id.clone());
        for worker in self.workers.values_mut() {
            for (key, run) in &mut worker.runs {
                if key.task.job == *id && run.phase != RunPhase::Intended {
                    run.phase = RunPhase::Stopping;
                }
            }
        }
        self.closed(now, id);
    }

    pub(crate) fn closed(&mut self, now: Now, id: &JobKey) {
        self.open.remove(id);
        self.advice.retain(|(job, _, _), _| job != id);
        let record = &self.jobs[id].record;
        let phase = match record.phase {
            JobPhase::Open => "open",
            JobPhase::Completed => "completed",
            JobPhase::Failed => "failed",
            JobPhase::Cancelled => "cancelled",
        };
        let note = Note::Closed {
            job: id.clone(),
            phase,
            age_ms: now.wall_ms().saturating_sub(record.submission.received_ms),
            objective_ms: self.objective_ms(record),
        };
        self.note(note);
    }

    pub(crate) fn attempts(&self, job: &JobKey) -> u32 {
        let queue = self.jobs.get(job).and_then(|it| self.queue(&it.record));
        queue.map_or(u32::MAX, |it| it.max_attempts.max(1))
    }

    pub(crate) fn queue(&self, record: &JobRecord) -> Option<&Queue> {
        self.catalog.queues.get(&record.submission.queue).map(|it| &**it)
    }

    /// Time from arrival within which the job is wanted, milliseconds.
    pub(crate) fn objective_ms(&self, record: &JobRecord) -> u64 {
        let (stretch, target) = self.queue(record).map_or((1.0, 0), |it| (it.slack_factor, it.target_ms));
        (record.spec().critical_path_ms() as f64 * stretch) as u64 + target
    }

    /// Frees what a run took.
    pub(crate) fn release(&mut self, id: &InstanceId, key: &RunKey) -> Option<Run> {
        let run = self.workers.get_mut(id)?.remove(key)?;
        if let Some(usage) = self.usage.get_mut(&run.team) {
            *usage -= run.need;
        }
        Some(run)
    }

    /// Lets a task run again after its run turned out not to take place.
    pub(crate) fn revert(&mut self, id: &InstanceId, key: &RunKey, how: &'static str) {
        self.note_end(id, key, how);
        if !self.is_wanted(id, key) {
            return;
        }
        let tracked = self.jobs.get_mut(&key.task.job).expect("a wanted run has a job");
        let position = tracked.record.position(&key.task).expect("a wanted run has a task");
        tracked.record.tasks[position].state = TaskState::Waiting;
        self.dirty.insert(key.task.job.clone());
    }

    /// Lets everything run again that was on a worker.
    pub(crate) fn lose(&mut self, id: &InstanceId, runs: Vec<(RunKey, Run)>, how: &'static str) {
        for (key, run) in runs {
            if let Some(usage) = self.usage.get_mut(&run.team) {
                *usage -= run.need;
            }
            self.revert(id, &key, how);
        }
    }

    pub(crate) fn note_end(&mut self, id: &InstanceId, key: &RunKey, how: &'static str) {
        self.note(Note::Ended {
            job: key.task.job.clone(),
            task: (key.task.turn, key.task.step, key.task.index),
            run: key.run,
            worker: id.clone(),
            how,
        });
    }

    /// Decides what is to be done now.
    pub fn poll(&mut self, now: Now) -> Vec<Action> {
        if self.fenced {
            return std::mem::take(&mut self.actions);
        }
        self.lapse(now);
        // What is placed takes effect with the next commit, so until then it only costs time.
        if self.may_commit(now) {
            self.evict(now);
            self.place_waiting_tasks(now);
        }
        self.stop(now);
        self.look(now);
        self.forget(now);
        self.commit(now);
        self.drop_stale_starts();
        std::mem::take(&mut self.actions)
    }

    /// Gives up runs on silent workers whose leases have ended.
    fn lapse(&mut self, now: Now) {
        let is_over = |it: &Worker| it.leases_have_ended(now.mono) && (it.missed_answers != 0 || !it.is_listed) && !it.runs.is_empty();
        let over: Vec<InstanceId> = self
            .workers
            .values()
            .filter(|it| is_over(it))
            .map(|it| it.listed.id.clone())
            .collect();
        for id in over {
            let worker = self.workers.get_mut(&id).expect("names come from the map");
            let lost = worker.clear();
            self.lose(&id, lost, "lease_over");
        }
    }

    /// Orders stops.
    fn stop(&mut self, now: Now) {
        for worker in self.workers.values_mut() {
            if !worker.is_observed || worker.missed_answers != 0 {
                continue;
            }
            for (key, run) in &mut worker.runs {
                let due = run.stop_sent_at.is_none_or(|it| it + STOP_AGAIN <= now.mono);
                if run.phase == RunPhase::Stopping && due {
                    run.stop_sent_at = Some(now.mono);
                    self.actions.push(Action::Stop {
                        worker: worker.listed.id.clone(),
                        key: key.clone(),
                    });
                }
            }
        }
    }

    /// Looks at workers where something may run or has ended, and at new ones.
    fn look(&mut self, now: Now) {
        let blocked = self.in_flight.is_some() && self.last_commit + LOOK_GAP_UNRECORDED < now.mono;
        let renews = now.mono < self.proven + self.bounds.term;
        for worker in self.workers.values_mut() {
            let runs = worker.runs.values().any(|it| it.phase != RunPhase::Intended);
            let due = !worker.is_observed || runs || worker.last_end_recorded < worker.last_end_seen;
            if worker.status_requested || !due || now.mono < worker.next_status_request || worker.listed.addr.port() == 0 {
                continue;
            }
            // Ends that are not recorded yet would be listed again at once.
            if worker.last_end_recorded < worker.last_end_seen && !blocked && worker.missed_answers == 0 {
                continue;
            }
            let until_ms = worker.clock_ms(now.mono).map(|it| it + self.bounds.lease.as_millis() as u64);
            // A renewal that is never answered would keep its runs in doubt for ever.
            let until_ms = until_ms.filter(|_| renews && runs && worker.missed_answers == 0 && worker.silence_recorded_at.is_none());
            if let Some(until_ms) = until_ms {
                worker.extend_leases(until_ms);
            }
            worker.status_requested = true;
            if blocked {
                worker.next_status_request = now.mono + LOOK_GAP_UNRECORDED;
            }
            let throttles = worker.speed_percent < 100;
            let wait = match worker.is_observed && runs && !blocked {
                true if throttles => LOOK_WAIT_THROTTLED,
                true => LOOK_WAIT,
                false => Duration::ZERO,
            };
            self.actions.push(Action::Look {
                worker: worker.listed.id.clone(),
                recorded: worker.last_end_recorded,
                until_ms,
                wait,
            });
        }
    }

    /// When `poll` should be called again although nothing happens.
    pub fn next_poll(&self, now: Now) -> Duration {
        let looks = self
            .workers
            .values()
            .filter(|it| !it.status_requested)
            .map(|it| it.next_status_request);
        let next = looks.filter(|it| now.mono < *it).min().unwrap_or(now.mono + LOOK_WAIT);
        // The next commit may also place what arrived since the last one.
        let commit = match self.in_flight.is_none() && now.mono < self.next_commit() {
            true => self.next_commit(),
            false => next,
        };
        next.min(commit)
            .clamp(now.mono + Duration::from_millis(5), now.mono + Duration::from_millis(250))
    }

    /// What a team may have running in these pools.
    pub(crate) fn grant(&self, team: &TeamId) -> Resources {
        let cap = match self.catalog.teams.get(team) {
            Some(it) => it.cap,
            None => Resources::default(),
        };
        let granted = self.grants.get(team).copied().unwrap_or_default();
        let limit = |cap: u64, granted: u64| if cap == 0 { u64::MAX / 4 } else { granted.min(cap) };
        Resources {
            cpu: limit(cap.cpu, granted.cpu),
            mem: limit(cap.mem, granted.mem),
            gpu: limit(cap.gpu, granted.gpu),
        }
    }

    /// Notes that a later owner writes to the log.
    pub fn fence(&mut self) {
        self.fenced = true;
    }

    /// Keeps new work away from a worker until a time; returns whether nothing runs
    /// there. Unless the caller waits for what runs, a busy worker stays in service.
    pub fn vacate(&mut self, now: Now, id: &InstanceId, until: Duration, wait: bool) -> bool {
        let Some(worker) = self.workers.get_mut(id) else {
            return true;
        };
        let vacant = worker.is_observed && worker.runs.is_empty();
        if !vacant && !wait {
            return false;
        }
        if worker.vacate_until < now.mono {
            worker.vacate_since = now.mono;
        }
        worker.vacate_until = worker.vacate_until.max(until);
        vacant
    }

    /// Has a job's record written with the next commit.
    pub(crate) fn mark(&mut self, id: &JobKey) {
        self.dirty.insert(id.clone());
    }

    pub(crate) fn note(&mut self, note: Note) {
        self.actions.push(Action::Note(note));
    }
}

/// All tasks of a job with their positions.
pub(crate) fn refs<'a>(id: &'a JobKey, record: &'a JobRecord) -> impl Iterator<Item = (TaskKey, usize)> + 'a {
    let steps = record.spec().steps.iter().enumerate();
    let numbers: Vec<(u16, u32)> = steps
        .flat_map(|(step, it)| (0..it.count).map(move |index| (step as u16, index)))
        .collect();
    let turns = 0..record.spec().occurrences();
    let all = turns.flat_map(move |turn| numbers.clone().into_iter().map(move |(step, index)| (turn, step, index)));
    all.enumerate().map(|(position, (turn, step, index))| {
        let task = TaskKey {
            job: id.clone(),
            turn,
            step,
            index,
        };
        (task, position)
    })
}
