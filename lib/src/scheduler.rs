//! The owner of a pool: holds its jobs and workers and decides what starts where.
//!
//! A pure state machine: it takes events and the clock, and returns actions.
//! Nothing starts before the record of the intent is in the log, so whoever
//! owns the pool next finds every run that can exist. Orders carry a token that
//! rises with each owner, and a time on the worker's clock after which they are void.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use crate::advice::{StepKey, Tickets};
use crate::catalog::{Catalog, Queue};
use crate::clock::Now;
use crate::durable::{Id, Phase, Record, Ref, Request, State};
use crate::id::{InstanceId, PoolId, TeamId};
use crate::need::Need;
use crate::note::Note;
use crate::order::{Action, Start};
use crate::pace::Arrivals;
use crate::roster::{Listed, Run, RunKey, RunPhase, Worker};
use crate::silence::SILENCE_PREFIX;

/// Time after which an order to start is void.
/// Ten times the slowest answer of a healthy worker across zones.
const START_LIMIT: Duration = Duration::from_millis(1000);
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
/// Least time between two commits; what comes in between shares one.
const COMMIT_GAP: Duration = Duration::from_millis(25);
/// Time after which an unanswered stop is ordered again.
const STOP_AGAIN: Duration = Duration::from_millis(500);
/// Ended jobs are forgotten after this; callers may ask for 120 s.
const KEEP_ENDED: Duration = Duration::from_secs(150);
/// Requests that are recorded as jobs are removed from the log together after this.
const FORGET_GAP: Duration = Duration::from_secs(3);
/// Ends that a worker lists at once; a full page may hide others.
pub(crate) const ENDS_PAGE: usize = 500;
/// Time to wait after a worker rejected a task for want of room.
pub(crate) const ROOM_RETRY: Duration = Duration::from_millis(200);

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

/// A job and what is only needed while it is owned.
#[derive(Debug)]
pub(crate) struct Tracked {
    pub(crate) record: Record,
    /// Phase that is in the log.
    pub(crate) durable: Phase,
    /// Whether the log has a record of the job.
    pub(crate) stored: bool,
}

#[derive(Debug, Default)]
pub(crate) struct Batch {
    jobs: Vec<(Id, Phase)>,
    intents: Vec<(InstanceId, RunKey)>,
    recorded: Vec<(InstanceId, u64, u64)>,
    silences: Vec<(InstanceId, bool)>,
}

/// The owner of pools that share a partition of the log.
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) bounds: Bounds,
    pub(crate) acquired: Duration,
    pub(crate) proven: Duration,
    pub(crate) catalog: Arc<Catalog>,
    pub(crate) jobs: HashMap<Id, Tracked>,
    pub(crate) open: BTreeSet<Id>,
    pub(crate) workers: HashMap<InstanceId, Worker>,
    pub(crate) usage: HashMap<TeamId, Need>,
    pub(crate) grants: HashMap<TeamId, Need>,
    pub(crate) cancels: HashSet<Id>,
    pub(crate) dirty: BTreeSet<Id>,
    pub(crate) removed: Vec<Id>,
    pub(crate) intents: Vec<(InstanceId, RunKey)>,
    pub(crate) in_flight: Option<Batch>,
    pub(crate) last_commit: Duration,
    pub(crate) forget: Vec<Id>,
    pub(crate) last_forget: Duration,
    pub(crate) arrivals: HashMap<PoolId, Arrivals>,
    pub(crate) advice: HashMap<StepKey, Tickets>,
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

    /// Takes a job over from the log. To be called for all jobs before workers are set.
    pub fn load(&mut self, id: Id, record: Record) {
        if record.phase == Phase::Open {
            self.open.insert(id.clone());
        }
        // What was started for a job that has ended may go on until its worker answers or its lease ends.
        for (task, position) in refs(&id, &record) {
            let state = &record.tasks[position];
            if let State::Placed(worker) = &state.state {
                let key = RunKey { task, run: state.run };
                let run = self.placed_before(&record, &key);
                self.inherited.entry(worker.clone()).or_default().push((key, run));
            }
        }
        let durable = record.phase;
        self.jobs.insert(
            id,
            Tracked {
                record,
                durable,
                stored: true,
            },
        );
    }

    /// Takes a request from the log; repeats change nothing.
    pub fn request(&mut self, now: Now, id: Id, request: Request) {
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
                    tasks: submission.spec.width(),
                });
                let arrivals = self.arrivals.entry(submission.pool.clone()).or_default();
                arrivals.add(now.mono, submission.spec.work());
                let tracked = Tracked {
                    record: Record::new(submission),
                    durable: Phase::Open,
                    stored: false,
                };
                self.jobs.insert(id.clone(), tracked);
                self.open.insert(id.clone());
                if self.cancels.remove(&id) {
                    self.close(now, &id, Phase::Cancelled);
                }
            }
            Request::Cancel { .. } => match self.jobs.contains_key(&id) {
                true => self.close(now, &id, Phase::Cancelled),
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
    pub fn set_grants(&mut self, grants: HashMap<TeamId, Need>) {
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

    /// Sets the workers that the platform lists for these pools.
    pub fn set_workers(&mut self, now: Now, listed: Vec<Listed>) {
        let mut gone: HashSet<InstanceId> = self.workers.keys().cloned().collect();
        for line in listed {
            gone.remove(&line.id);
            let Some(worker) = self.workers.get_mut(&line.id) else {
                let mut worker = self.known_before(line.clone());
                self.inherit(&mut worker);
                self.workers.insert(line.id, worker);
                continue;
            };
            worker.present = true;
            // A worker known only from records may be in any of its lives.
            let was_known = worker.listed.born_ms != 0;
            if was_known && worker.listed.born_ms < line.born_ms {
                let lost = worker.reborn(line.born_ms, now.mono + self.bounds.lease_max.mul_f64(1.03));
                worker.listed = line.clone();
                self.lose(&line.id, lost, "reborn");
            } else if !was_known || worker.listed.born_ms == line.born_ms {
                worker.listed = line;
            }
        }
        for id in gone {
            let worker = self.workers.get_mut(&id).expect("names come from the map");
            worker.present = false;
            if worker.runs.is_empty() && !worker.looking && worker.silence_written.is_none() {
                self.workers.remove(&id);
            }
        }
    }

    /// Workers named by records but not listed: their runs may go on until the leases end.
    pub fn inherit_unlisted(&mut self) {
        let missing: Vec<InstanceId> = self.inherited.keys().cloned().collect();
        for id in missing {
            let listed = Listed {
                id: id.clone(),
                addr: std::net::SocketAddr::from(([0, 0, 0, 0], 0)),
                pool: PoolId::from(""),
                zone: Arc::from(""),
                rack: Arc::from(""),
                labels: Vec::new(),
                capacity: Need::default(),
                draining: true,
                born_ms: 0,
            };
            let mut worker = self.known_before(listed);
            worker.present = false;
            self.inherit(&mut worker);
            self.workers.insert(id, worker);
        }
    }

    /// A worker on which an earlier owner may have started something.
    fn known_before(&self, listed: Listed) -> Worker {
        // The earlier owner renewed leases until its own term ended, unless it
        // had recorded that the worker was silent.
        let renewed = self.acquired + self.bounds.term + self.bounds.lease.mul_f64(1.03) + START_LIMIT;
        let silent = self.silences.get(&listed.id);
        let mut worker = Worker::new(listed, silent.map_or(renewed, |it| renewed.min(*it)));
        if silent.is_some() {
            worker.silence_written = Some(self.acquired);
            worker.misses = 1;
        }
        worker
    }

    /// A run that a record names, as far as the record tells.
    fn placed_before(&self, record: &Record, key: &RunKey) -> Run {
        let step = record.step(key.task.step);
        Run {
            phase: RunPhase::Inherited,
            team: record.submission.team.clone(),
            reserved: step.reserved(),
            need: step.need,
            seen_ms: 0,
            until_ms: 0,
            percent: 0,
            progressed: self.acquired,
            pace: 100,
            stop_sent: None,
        }
    }

    /// Adds the runs that records place on a worker.
    fn inherit(&mut self, worker: &mut Worker) {
        for (key, run) in self.inherited.remove(&worker.listed.id).unwrap_or_default() {
            *self.usage.entry(run.team.clone()).or_default() += run.need;
            worker.add(key, run);
        }
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
        tracked.record.phase == Phase::Open && task.run == key.run && task.state == State::Placed(id.clone())
    }

    pub(crate) fn describe(&self, key: &RunKey, capacity: Need) -> (TeamId, Need, Need) {
        let Some(tracked) = self.jobs.get(&key.task.job) else {
            // What it takes is not known, so the worker counts as full.
            return (TeamId::from(""), capacity, Need::default());
        };
        let record = &tracked.record;
        let Some(step) = record.spec().steps.get(usize::from(key.task.step)) else {
            return (record.submission.team.clone(), Need::default(), Need::default());
        };
        (record.submission.team.clone(), step.reserved(), step.need)
    }

    /// Ends a job and stops what runs of it.
    pub(crate) fn close(&mut self, now: Now, id: &Id, phase: Phase) {
        let Some(tracked) = self.jobs.get_mut(id) else {
            return;
        };
        if tracked.record.phase != Phase::Open {
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

    pub(crate) fn closed(&mut self, now: Now, id: &Id) {
        self.open.remove(id);
        self.advice.retain(|(job, _, _), _| job != id);
        let record = &self.jobs[id].record;
        let phase = match record.phase {
            Phase::Open => "open",
            Phase::Completed => "completed",
            Phase::Failed => "failed",
            Phase::Cancelled => "cancelled",
        };
        let note = Note::Closed {
            job: id.clone(),
            phase,
            age_ms: now.wall_ms().saturating_sub(record.submission.received_ms),
            objective_ms: self.objective_ms(record),
        };
        self.note(note);
    }

    pub(crate) fn attempts(&self, job: &Id) -> u32 {
        let queue = self.jobs.get(job).and_then(|it| self.queue(&it.record));
        queue.map_or(u32::MAX, |it| it.attempts.max(1))
    }

    pub(crate) fn queue(&self, record: &Record) -> Option<&Queue> {
        self.catalog.queues.get(&record.submission.queue).map(|it| &**it)
    }

    /// Time from arrival within which the job is wanted, milliseconds.
    pub(crate) fn objective_ms(&self, record: &Record) -> u64 {
        let (stretch, target) = self.queue(record).map_or((1.0, 0), |it| (it.stretch, it.target_ms));
        (record.spec().chain_ms() as f64 * stretch) as u64 + target
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
        tracked.record.tasks[position].state = State::Waiting;
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

    /// Notes that the records of the last commit are in the log.
    pub fn committed(&mut self, now: Now) {
        let Some(batch) = self.in_flight.take() else {
            return;
        };
        self.prove(self.last_commit);
        for (id, phase) in batch.jobs {
            let Some(tracked) = self.jobs.get_mut(&id) else {
                continue;
            };
            tracked.durable = phase;
            if !tracked.stored {
                tracked.stored = true;
                self.forget.push(id);
            }
        }
        for (id, seen, born_ms) in batch.recorded {
            if let Some(worker) = self.workers.get_mut(&id)
                && worker.listed.born_ms == born_ms
            {
                worker.recorded = worker.recorded.max(seen);
            }
        }
        for (id, removed) in batch.silences {
            if let Some(worker) = self.workers.get_mut(&id)
                && removed
            {
                worker.silence_written = None;
                worker.silence_removal = false;
            }
        }
        for (id, key) in batch.intents {
            self.start(now, id, key);
        }
    }

    /// Orders a start whose intent is in the log, if it is still wanted.
    fn start(&mut self, now: Now, id: InstanceId, key: RunKey) {
        let wanted = self.is_wanted(&id, &key);
        let out = |it: &Worker| self.catalog.zones_out.contains(&it.listed.zone);
        let worker = self.workers.get(&id);
        let intended = worker.is_some_and(|it| it.runs.get(&key).is_some_and(|run| run.phase == RunPhase::Intended));
        if !intended {
            return;
        }
        let clock_ms = worker.and_then(|it| it.clock_ms(now.mono));
        let open = worker.is_some_and(|it| it.is_open(now.mono) && !out(it));
        let ticket = self.ticket(now, &key.task, &id);
        let (true, true, Some(clock_ms), Some(ticket)) = (wanted, open, clock_ms, ticket) else {
            self.release(&id, &key);
            self.revert(&id, &key, "not_sent");
            return;
        };
        let until_ms = clock_ms + START_LIMIT.as_millis() as u64;
        let worker = self.workers.get_mut(&id).expect("looked up above");
        worker.extend(until_ms);
        worker.next_look = worker.next_look.min(now.mono + LOOK_GAP);
        let run = worker.runs.get_mut(&key).expect("looked up above");
        run.phase = RunPhase::Sent;
        run.until_ms = until_ms;
        let record = &self.jobs[&key.task.job].record;
        let position = record.position(&key.task).expect("a wanted run has a task");
        let start = Start {
            worker: id,
            payload: record.spec().payload.clone(),
            checkpoint: record.tasks[position].checkpoint.clone(),
            until_ms,
            ticket,
            key,
        };
        self.actions.push(Action::Start(start));
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
            self.place(now);
        }
        self.stop(now);
        self.look(now);
        self.forget(now);
        self.commit(now);
        self.drop_stale_starts();
        std::mem::take(&mut self.actions)
    }

    /// Drops orders to start whose run was given up before they were sent: the
    /// worker has a new life, whose clock is far behind the time that voids them.
    fn drop_stale_starts(&mut self) {
        let workers = &self.workers;
        self.actions.retain(|action| match action {
            Action::Start(start) => workers.get(&start.worker).is_some_and(|it| it.runs.contains_key(&start.key)),
            _ => true,
        });
    }

    /// Gives up runs on silent workers whose leases have ended.
    fn lapse(&mut self, now: Now) {
        let is_over = |it: &Worker| it.has_lapsed(now.mono) && (it.misses != 0 || !it.present) && !it.runs.is_empty();
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
            if !worker.touched || worker.misses != 0 {
                continue;
            }
            for (key, run) in &mut worker.runs {
                let due = run.stop_sent.is_none_or(|it| it + STOP_AGAIN <= now.mono);
                if run.phase == RunPhase::Stopping && due {
                    run.stop_sent = Some(now.mono);
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
            let due = !worker.touched || runs || worker.recorded < worker.seen;
            if worker.looking || !due || now.mono < worker.next_look || worker.listed.addr.port() == 0 {
                continue;
            }
            // Ends that are not recorded yet would be listed again at once.
            if worker.recorded < worker.seen && !blocked && worker.misses == 0 {
                continue;
            }
            let until_ms = worker.clock_ms(now.mono).map(|it| it + self.bounds.lease.as_millis() as u64);
            // A renewal that is never answered would keep its runs in doubt for ever.
            let until_ms = until_ms.filter(|_| renews && runs && worker.misses == 0 && worker.silence_written.is_none());
            if let Some(until_ms) = until_ms {
                worker.extend(until_ms);
            }
            worker.looking = true;
            if blocked {
                worker.next_look = now.mono + LOOK_GAP_UNRECORDED;
            }
            let throttles = worker.pace < 100;
            let wait = match worker.touched && runs && !blocked {
                true if throttles => LOOK_WAIT_THROTTLED,
                true => LOOK_WAIT,
                false => Duration::ZERO,
            };
            self.actions.push(Action::Look {
                worker: worker.listed.id.clone(),
                recorded: worker.recorded,
                until_ms,
                wait,
            });
        }
    }

    /// Removes requests that stand in the log as jobs, and jobs that ended long ago.
    fn forget(&mut self, now: Now) {
        if now.mono < self.last_forget + FORGET_GAP {
            return;
        }
        self.last_forget = now.mono;
        if !self.forget.is_empty() {
            let ids = std::mem::take(&mut self.forget);
            self.actions.push(Action::Forget(ids));
        }
        let keep_ms = KEEP_ENDED.as_millis() as u64;
        let is_old = |it: &Tracked| it.durable != Phase::Open && it.record.ended_ms + keep_ms < now.wall_ms();
        let old: Vec<Id> = self.jobs.iter().filter(|(_, it)| is_old(it)).map(|(id, _)| id.clone()).collect();
        for id in old {
            self.jobs.remove(&id);
            self.removed.push(id);
        }
    }

    /// Whether the log can take another commit.
    fn may_commit(&self, now: Now) -> bool {
        self.in_flight.is_none() && self.last_commit + COMMIT_GAP <= now.mono
    }

    /// Appends what has changed, one commit at a time.
    fn commit(&mut self, now: Now) {
        if !self.may_commit(now) {
            return;
        }
        let idle = self.dirty.is_empty() && self.removed.is_empty() && !self.owes_silences(now);
        let mut batch = Batch::default();
        for worker in self.workers.values_mut() {
            if worker.recorded < worker.seen {
                match idle {
                    // Nothing of these ends has to be kept.
                    true => worker.recorded = worker.seen,
                    false => batch.recorded.push((worker.listed.id.clone(), worker.seen, worker.listed.born_ms)),
                }
            }
        }
        if idle {
            return;
        }
        let mut records = Vec::new();
        for id in std::mem::take(&mut self.dirty) {
            let Some(tracked) = self.jobs.get(&id) else {
                continue;
            };
            let encoded = rmp_serde::to_vec(&tracked.record).expect("records can be encoded");
            batch.jobs.push((id.clone(), tracked.record.phase));
            records.push((id, Some(Bytes::from(encoded))));
        }
        records.extend(self.removed.drain(..).map(|id| (id, None)));
        for (id, value) in self.silence_records(now) {
            batch.silences.push((id.clone(), value.is_none()));
            records.push((Arc::from(format!("{SILENCE_PREFIX}{id}")), value));
        }
        batch.intents = std::mem::take(&mut self.intents);
        self.in_flight = Some(batch);
        self.last_commit = now.mono;
        self.actions.push(Action::Commit(records));
    }

    /// When `poll` should be called again although nothing happens.
    pub fn next_poll(&self, now: Now) -> Duration {
        let looks = self.workers.values().filter(|it| !it.looking).map(|it| it.next_look);
        let next = looks.filter(|it| now.mono < *it).min().unwrap_or(now.mono + LOOK_WAIT);
        // The next commit may also place what arrived since the last one.
        let commit = match self.in_flight.is_none() && now.mono < self.last_commit + COMMIT_GAP {
            true => self.last_commit + COMMIT_GAP,
            false => next,
        };
        next.min(commit)
            .clamp(now.mono + Duration::from_millis(5), now.mono + Duration::from_millis(250))
    }

    /// What a team may have running in these pools.
    pub(crate) fn grant(&self, team: &TeamId) -> Need {
        let cap = match self.catalog.teams.get(team) {
            Some(it) => it.cap,
            None => Need::default(),
        };
        let granted = self.grants.get(team).copied().unwrap_or_default();
        let limit = |cap: u64, granted: u64| if cap == 0 { u64::MAX / 4 } else { granted.min(cap) };
        Need {
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
        let vacant = worker.touched && worker.runs.is_empty();
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
    pub(crate) fn mark(&mut self, id: &Id) {
        self.dirty.insert(id.clone());
    }

    pub(crate) fn note(&mut self, note: Note) {
        self.actions.push(Action::Note(note));
    }
}

/// All tasks of a job with their positions.
pub(crate) fn refs<'a>(id: &'a Id, record: &'a Record) -> impl Iterator<Item = (Ref, usize)> + 'a {
    let steps = record.spec().steps.iter().enumerate();
    let numbers: Vec<(u16, u32)> = steps
        .flat_map(|(step, it)| (0..it.count).map(move |index| (step as u16, index)))
        .collect();
    let turns = 0..record.spec().turns();
    let all = turns.flat_map(move |turn| numbers.clone().into_iter().map(move |(step, index)| (turn, step, index)));
    all.enumerate().map(|(position, (turn, step, index))| {
        let task = Ref {
            job: id.clone(),
            turn,
            step,
            index,
        };
        (task, position)
    })
}
