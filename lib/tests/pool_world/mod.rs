//! Simulation of successive owners of a pool in virtual time, with faults drawn from
//! fixed seeds: lost and delayed orders, silent workers, new incarnations of workers,
//! replaced owners, delayed commits. [`Faults::Extended`] adds paused owners that go on after
//! they were replaced, workers that only some owners reach, orders that reach the next
//! incarnation of their worker, start times that go back, and outdated list entries.
//!
//! The simulated workers check each start order against the rules that the scheduler
//! guarantees. The name of the broken rule is the first word of the panic message.

mod calls;
mod faults;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use oriolewall::catalog::{Catalog, Team};
use oriolewall::clock::Now;
use oriolewall::commit_size::CommitLimits;
use oriolewall::id::InstanceId;
use oriolewall::job_record::{JobKey, Request, Submission, TaskKey};
use oriolewall::order::{ContactId, RunOutcome, StartOrder, TokenForm, fencing_token};
use oriolewall::query::JobStatus;
use oriolewall::resources::Resources;
use oriolewall::scheduler::Scheduler;
use oriolewall::silent_worker::SILENT_WORKER_PREFIX;
use oriolewall::spec::{JobSpec, Step};
use oriolewall::time_limits::TimeLimits;
use oriolewall::worker::{ListedWorker, RunKey};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const WORKERS: usize = 4;
/// Capacity of each worker.
const CAPACITY: Resources = Resources {
    cpu: 4000,
    mem: 4000,
    gpu: 0,
};
/// Cap of the only team.
const CAP: Resources = Resources { cpu: 9000, mem: 0, gpu: 0 };
const JOBS: usize = 12;
/// Time after which no faults occur; all jobs must have ended at `END_MS`.
const FAULTS_MS: u64 = 20_000;
const END_MS: u64 = 60_000;
const TICK_MS: u64 = 10;

/// Records of a commit; a key without a value is removed.
type Records = Vec<(JobKey, Option<Bytes>)>;

/// Which faults occur.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Faults {
    /// Orders and status requests name the incarnation of the worker that they are for.
    Standard,
    /// They name the worker only, and owners may go on after they were replaced.
    Extended,
    /// As [`Faults::Standard`], and the form of the fencing tokens changes between owners.
    MixedTokens,
    /// As [`Faults::Standard`], and a commit holds the records of one or two jobs, so owners end
    /// between the parts of a commit.
    SplitCommits,
}

/// A worker that behaves as the platform guarantees. Its own clock, which starts with the
/// incarnation, applies to `lease_until_ms`; the other times are those of the simulation.
struct SimulatedWorker {
    /// Start time of the incarnation as the worker reports it.
    started_ms: u64,
    /// When the incarnation started.
    clock_origin_ms: u64,
    /// Outdated start time in the list, with the time until which it is there.
    outdated_entry: Option<(u64, u64)>,
    /// First owner that does not reach the worker, with the time until which that lasts.
    cut_from: Option<(u64, u64)>,
    fencing_token: u64,
    lease_until_ms: u64,
    /// Runs in progress with the time at which they end.
    running: BTreeMap<(TaskKey, u32), u64>,
    /// Highest run number that was ordered for each task; orders for lower ones are refused.
    highest_run: HashMap<TaskKey, u32>,
    /// Ended runs that are not acknowledged: sequence, run, outcome, and whether the worker's
    /// leases have lapsed since.
    ended: Vec<(u64, RunKey, RunOutcome, bool)>,
    last_sequence: u64,
    silent_until_ms: u64,
}

impl SimulatedWorker {
    /// Begins a new incarnation, which knows nothing of the earlier one.
    fn restart(&mut self, now_ms: u64, started_ms: u64) {
        self.started_ms = started_ms;
        self.clock_origin_ms = now_ms + 2;
        self.fencing_token = 0;
        self.lease_until_ms = 0;
        self.running.clear();
        self.highest_run.clear();
        self.ended.clear();
        self.last_sequence = 0;
    }
}

/// An order or a status request.
enum Call {
    Start(StartOrder),
    Stop(InstanceId, RunKey),
    /// Last acknowledged end, and the time until which leases are renewed.
    Status(InstanceId, u64, Option<u64>),
}

/// A call with the epoch of its sender and the contact under which it is made.
struct Message {
    call: Call,
    epoch: u64,
    contact: ContactId,
}

impl Message {
    fn recipient(&self) -> &InstanceId {
        match &self.call {
            Call::Start(start) => &start.worker,
            Call::Stop(id, _) | Call::Status(id, _, _) => id,
        }
    }

    fn token(&self) -> u64 {
        fencing_token(self.epoch, self.contact)
    }
}

/// An owner that was paused when it was replaced.
struct PausedOwner {
    owner: Scheduler,
    epoch: u64,
    resumes_ms: u64,
    /// Whether the log has taken its last commit.
    is_confirmed: bool,
    /// Messages that it has decided on and not sent.
    unsent: Vec<Message>,
}

/// A message on its way to a worker.
struct Transit {
    arrives_ms: u64,
    /// Start of the incarnation that received the message and carries it out late. Until a
    /// message is received, it is for any incarnation.
    received_by: Option<u64>,
    message: Message,
}

pub(crate) struct Simulation {
    rng: StdRng,
    /// Draws the faults of [`Faults::Extended`]; `None` for [`Faults::Standard`].
    extended_rng: Option<StdRng>,
    /// Draws the form of each owner's tokens in [`Faults::MixedTokens`].
    token_rng: Option<StdRng>,
    commit_limits: CommitLimits,
    paused_owners: Vec<PausedOwner>,
    now_ms: u64,
    workers: BTreeMap<InstanceId, SimulatedWorker>,
    owner: Scheduler,
    epoch: u64,
    log: BTreeMap<JobKey, Bytes>,
    requests: Vec<(JobKey, Request)>,
    /// Commit of the current owner that the log has not taken yet, with the time when it does.
    commit_in_flight: Option<(u64, Records)>,
    messages: Vec<Transit>,
    completed: BTreeSet<TaskKey>,
    /// Completed tasks that an owner acknowledged before leases lapsed. The end of other
    /// completed tasks may be lost, so that they run again.
    acknowledged: BTreeSet<TaskKey>,
    /// Failed runs that an owner acknowledged before leases lapsed, by task.
    acknowledged_failures: HashMap<TaskKey, u32>,
    /// Failed runs by task, acknowledged or not.
    all_failures: HashMap<TaskKey, u32>,
    /// Time at which each cancelled job was cancelled.
    cancelled: BTreeMap<JobKey, u64>,
    specs: HashMap<JobKey, Arc<JobSpec>>,
    /// Incarnations of workers as they were last listed to the owner.
    known_incarnations: HashMap<InstanceId, u64>,
}

impl Simulation {
    pub(crate) fn new(seed: u64, faults: Faults) -> Simulation {
        let worker = |_| SimulatedWorker {
            started_ms: 1,
            clock_origin_ms: 1,
            outdated_entry: None,
            cut_from: None,
            fencing_token: 0,
            lease_until_ms: 0,
            running: BTreeMap::new(),
            highest_run: HashMap::new(),
            ended: Vec::new(),
            last_sequence: 0,
            silent_until_ms: 0,
        };
        let names = (0..WORKERS).map(|it| InstanceId::from(format!("w{it}")));
        let mut simulation = Simulation {
            rng: StdRng::seed_from_u64(seed),
            extended_rng: (faults == Faults::Extended).then(|| StdRng::seed_from_u64(seed)),
            commit_limits: faults.commit_limits(),
            token_rng: (faults == Faults::MixedTokens).then(|| StdRng::seed_from_u64(seed)),
            paused_owners: Vec::new(),
            now_ms: 0,
            workers: names.map(|it| (it, worker(()))).collect(),
            owner: Scheduler::new(time_limits(), Now::default(), Duration::ZERO),
            epoch: 0,
            log: BTreeMap::new(),
            requests: Vec::new(),
            commit_in_flight: None,
            messages: Vec::new(),
            completed: BTreeSet::new(),
            acknowledged: BTreeSet::new(),
            acknowledged_failures: HashMap::new(),
            all_failures: HashMap::new(),
            cancelled: BTreeMap::new(),
            specs: HashMap::new(),
            known_incarnations: HashMap::new(),
        };
        simulation.replace_owner();
        simulation
    }

    fn now(&self) -> Now {
        Now {
            mono: Duration::from_millis(1_000_000 + self.now_ms),
            wall: Duration::from_millis(1_700_000_000_000 + self.now_ms),
        }
    }

    /// Draws whether a fault occurs; none does after `FAULTS_MS`.
    fn fault_occurs(&mut self, probability: f64) -> bool {
        self.now_ms < FAULTS_MS && self.rng.random_bool(probability)
    }

    /// Draws whether one of the faults of [`Faults::Extended`] occurs.
    fn extended_fault_occurs(&mut self, probability: f64) -> bool {
        let is_possible = self.now_ms < FAULTS_MS;
        is_possible && self.extended_rng.as_mut().is_some_and(|it| it.random_bool(probability))
    }

    /// Draws a number for one of the faults of [`Faults::Extended`].
    fn draw(&mut self, range: std::ops::Range<u64>) -> u64 {
        self.extended_rng.as_mut().map_or(range.start, |it| it.random_range(range))
    }

    /// Replaces the owner by a new one that restores its state from the log.
    fn replace_owner(&mut self) {
        self.epoch += 1;
        self.commit_in_flight = None;
        let has_epoch_form = self.token_rng.as_mut().is_some_and(|it| it.random_bool(0.5));
        let token_form = if has_epoch_form { TokenForm::Epoch } else { TokenForm::Contact };
        self.owner = Scheduler::new(time_limits(), self.now(), self.now().mono).with_token_form(token_form);
        self.owner.set_commit_limits(self.commit_limits);
        for (id, value) in &self.log {
            match id.strip_prefix(SILENT_WORKER_PREFIX) {
                Some(worker) => self
                    .owner
                    .load_silent_worker(self.now(), Arc::from(worker), rmp_serde::from_slice(value).unwrap()),
                None => self.owner.load_job(id.clone(), rmp_serde::from_slice(value).unwrap()),
            }
        }
        for (id, request) in self.requests.clone() {
            self.owner.add_request(self.now(), id, request);
        }
        self.owner.set_catalog(Arc::new(catalog()));
        self.owner.set_grants(HashMap::from([(Arc::from("team"), CAP)]));
        self.update_worker_list();
    }

    /// Passes the list of workers to the owner.
    fn update_worker_list(&mut self) {
        let listed = |(id, it): (&InstanceId, &SimulatedWorker)| ListedWorker {
            id: id.clone(),
            addr: "10.0.0.1:80".parse().unwrap(),
            pool: Arc::from("pool"),
            zone: Arc::from("za"),
            rack: Arc::from("r"),
            labels: vec![],
            capacity: CAPACITY,
            draining: false,
            started_ms: match it.outdated_entry {
                Some((started_ms, until_ms)) if self.now_ms < until_ms => started_ms,
                _ => it.started_ms,
            },
        };
        // A worker that stays silent for long is not listed in the meantime.
        let listed_workers: Vec<ListedWorker> = self
            .workers
            .iter()
            .filter(|(_, it)| it.silent_until_ms < self.now_ms + 3000)
            .map(listed)
            .collect();
        self.known_incarnations
            .extend(listed_workers.iter().map(|it| (it.id.clone(), it.started_ms)));
        self.owner.set_workers(self.now(), listed_workers);
    }

    fn submit(&mut self, number: usize) {
        let id: JobKey = Arc::from(format!("{number:016x}"));
        let width = self.rng.random_range(1..5);
        let mut first = step(width, self.rng.random_range(300..2500));
        first.spread = u32::from(self.rng.random_bool(0.2)) * 2;
        // With only one long-running job the cap is large enough for all others.
        first.lasting = number == 3;
        first.count = if first.lasting { 2 } else { width };
        let mut second = step(2, 500);
        second.after = [0].into_iter().collect();
        let steps = if first.lasting { vec![first] } else { vec![first, second] };
        let spec = Arc::new(JobSpec {
            payload: Arc::from(&*id),
            steps,
            ..JobSpec::default()
        });
        let submission = Submission {
            queue: Arc::from("queue"),
            pool: Arc::from("pool"),
            team: Arc::from("team"),
            received_ms: self.now().wall_ms(),
            spec: spec.clone(),
            origin: None,
        };
        self.specs.insert(id.clone(), spec);
        let request = Request::Submit(submission);
        self.requests.push((id.clone(), request.clone()));
        self.owner.add_request(self.now(), id, request);
    }

    fn cancel(&mut self, id: JobKey) {
        let request = Request::Cancel {
            at_ms: self.now_ms,
            team: None,
            addressee: None,
        };
        self.requests.push((id.clone(), request.clone()));
        self.owner.add_request(self.now(), id.clone(), request);
        self.cancelled.insert(id, self.now_ms);
    }

    pub(crate) fn run(&mut self) {
        for number in 0..JOBS {
            self.submit(number);
            for _ in 0..self.rng.random_range(10..60) {
                self.tick();
            }
            if self.rng.random_bool(0.15) {
                self.cancel(Arc::from(format!("{number:016x}")));
            }
        }
        while self.now_ms < END_MS {
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.now_ms += TICK_MS;
        self.inject_faults();
        self.advance_workers();
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|it| it.arrives_ms <= self.now_ms);
        self.messages = later;
        for transit in due {
            self.deliver(transit);
        }
        self.resume_owners();
        if let Some((at, records)) = self.commit_in_flight.take() {
            if at <= self.now_ms {
                for (id, value) in records {
                    match value {
                        Some(value) => self.log.insert(id, value),
                        None => self.log.remove(&id),
                    };
                }
                self.owner.commit_confirmed(self.now());
            } else {
                self.commit_in_flight = Some((at, records));
            }
        }
        if self.now_ms.is_multiple_of(400) {
            self.update_worker_list();
            self.owner.confirm_ownership(self.now().mono);
        }
        for action in self.owner.poll(self.now()) {
            self.carry_out(action);
        }
    }

    /// Ends runs whose time is over and runs whose lease has lapsed.
    fn advance_workers(&mut self) {
        let now_ms = self.now_ms;
        for worker in self.workers.values_mut() {
            let clock_ms = now_ms - worker.clock_origin_ms.min(now_ms);
            let lapsed = worker.lease_until_ms < clock_ms;
            let keys: Vec<(TaskKey, u32)> = worker.running.keys().cloned().collect();
            for (task, run) in keys {
                let lasting = self.specs[&task.job].steps[usize::from(task.step)].lasting;
                let finished = worker.running[&(task.clone(), run)] <= now_ms && !lasting;
                if !finished && !lapsed {
                    continue;
                }
                worker.running.remove(&(task.clone(), run));
                let fails = finished && !lapsed && self.rng.random_bool(0.02);
                let outcome = match () {
                    () if lapsed => RunOutcome::Lapsed,
                    () if fails => RunOutcome::Failed,
                    () => RunOutcome::Done,
                };
                if outcome == RunOutcome::Done {
                    self.completed.insert(task.clone());
                }
                if outcome == RunOutcome::Failed {
                    *self.all_failures.entry(task.clone()).or_default() += 1;
                }
                worker.last_sequence += 1;
                worker.ended.push((worker.last_sequence, RunKey { task, run }, outcome, false));
            }
            for end in &mut worker.ended {
                end.3 |= lapsed;
            }
        }
    }

    /// Checks that every job has ended and that the tasks of long-running jobs are running.
    pub(crate) fn check_end(&self) {
        for (id, spec) in &self.specs {
            let status = self.owner.job_status(id, None);
            let is_running = |it: &TaskKey| {
                self.workers
                    .values()
                    .any(|worker| worker.running.keys().any(|(task, _)| task == it))
            };
            if self.cancelled.contains_key(id) {
                assert!(
                    matches!(status, Some(JobStatus::Cancelled | JobStatus::Completed | JobStatus::Failed)),
                    "{id}: {status:?}"
                );
                continue;
            }
            if spec.is_long_running() {
                for index in 0..spec.steps[0].count {
                    let task = TaskKey {
                        job: id.clone(),
                        turn: 0,
                        step: 0,
                        index,
                    };
                    let failed = status == Some(JobStatus::Failed);
                    assert!(is_running(&task) && !failed, "LOST: {task:?} does not run");
                }
                continue;
            }
            let most_failures = self
                .all_failures
                .iter()
                .filter(|(task, _)| task.job == *id)
                .map(|(_, count)| *count)
                .max()
                .unwrap_or(0);
            match status {
                Some(JobStatus::Completed) => {}
                Some(JobStatus::Failed) => assert!(2 <= most_failures, "LOST: {id} failed without cause"),
                status => panic!("LOST: {id} is {status:?}"),
            }
        }
    }
}

fn time_limits() -> TimeLimits {
    TimeLimits {
        lease: Duration::from_millis(3000),
        lease_max: Duration::from_millis(10_000),
        renewal_window: Duration::from_millis(2000),
        stop_time: Duration::from_millis(200),
    }
}

fn step(count: u32, estimate_ms: u64) -> Step {
    Step {
        count,
        need: Resources {
            cpu: 1500,
            mem: 100,
            gpu: 0,
        },
        estimate_ms,
        ..Step::default()
    }
}

fn catalog() -> Catalog {
    let mut catalog = testutils::owner::catalog();
    let team = Team { weight: 1.0, cap: CAP };
    catalog.teams.insert(Arc::from("team"), team);
    catalog
}
