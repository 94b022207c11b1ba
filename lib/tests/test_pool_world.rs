//! Owners of a pool in virtual time, with faults drawn from fixed seeds:
//! lost and late orders, silent workers, new lives, owners that follow each
//! other, commits that wait. What the workers see is checked.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use oriolewall::catalog::{Catalog, Team};
use oriolewall::clock::Now;
use oriolewall::id::InstanceId;
use oriolewall::job_record::{JobKey, Request, Submission, TaskKey};
use oriolewall::order::{Action, ActiveRun, OrderOutcome, Refusal, RunEnd, RunOutcome, StartOrder, WorkerStatus};
use oriolewall::query::JobStatus;
use oriolewall::resources::Resources;
use oriolewall::scheduler::{Scheduler, TimeLimits};
use oriolewall::silent_worker::SILENT_WORKER_PREFIX;
use oriolewall::spec::{JobSpec, Step};
use oriolewall::worker::{ListedWorker, RunKey};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const WORKERS: usize = 4;
const CAPACITY: Resources = Resources {
    cpu: 4000,
    mem: 4000,
    gpu: 0,
};
const CAP: Resources = Resources { cpu: 9000, mem: 0, gpu: 0 };
const JOBS: usize = 12;
/// Faults end here; everything has to be done some time after.
const FAULTS_MS: u64 = 20_000;
const END_MS: u64 = 60_000;
const TICK_MS: u64 = 10;

/// Records of a commit; without a value the key is dropped.
type Records = Vec<(JobKey, Option<Bytes>)>;

/// A worker as the platform promises it.
struct Runner {
    started_ms: u64,
    token: u64,
    lease_until: u64,
    running: BTreeMap<(TaskKey, u32), u64>,
    highest: HashMap<TaskKey, u32>,
    /// Ends that are not acknowledged; the last column tells whether leases lapsed since.
    ended: Vec<(u64, RunKey, RunOutcome, bool)>,
    numbers: u64,
    silent_until: u64,
}

enum Message {
    Start(StartOrder, u64),
    Stop(InstanceId, RunKey, u64),
    Status(InstanceId, u64, Option<u64>, u64),
}

impl Message {
    fn to(&self) -> &InstanceId {
        match self {
            Message::Start(start, _) => &start.worker,
            Message::Stop(id, _, _) | Message::Status(id, _, _, _) => id,
        }
    }

    fn token(&self) -> u64 {
        match self {
            Message::Start(_, token) | Message::Stop(_, _, token) | Message::Status(_, _, _, token) => *token,
        }
    }
}

struct World {
    rng: StdRng,
    now_ms: u64,
    runners: BTreeMap<InstanceId, Runner>,
    owner: Scheduler,
    token: u64,
    log: BTreeMap<JobKey, Bytes>,
    requests: Vec<(JobKey, Request)>,
    /// Commits of the present owner that are on their way, with the time of their arrival.
    commit: Option<(u64, Records)>,
    /// Time of arrival, life of the worker that is meant, message.
    messages: Vec<(u64, u64, Message)>,
    done: BTreeSet<TaskKey>,
    /// Ends that an owner acknowledged before leases lapsed; the others are nobody's knowledge.
    noted: BTreeSet<TaskKey>,
    failed: HashMap<TaskKey, u32>,
    /// All ends that failed, acknowledged or not.
    ended_failed: HashMap<TaskKey, u32>,
    cancelled: BTreeMap<JobKey, u64>,
    specs: HashMap<JobKey, Arc<JobSpec>>,
    /// Lives of workers that the owner has been shown.
    known_life: HashMap<InstanceId, u64>,
}

impl World {
    fn new(seed: u64) -> World {
        let runner = |_| Runner {
            started_ms: 1,
            token: 0,
            lease_until: 0,
            running: BTreeMap::new(),
            highest: HashMap::new(),
            ended: Vec::new(),
            numbers: 0,
            silent_until: 0,
        };
        let names = (0..WORKERS).map(|it| InstanceId::from(format!("w{it}")));
        let mut world = World {
            rng: StdRng::seed_from_u64(seed),
            now_ms: 0,
            runners: names.map(|it| (it, runner(()))).collect(),
            owner: Scheduler::new(bounds(), Now::default()),
            token: 0,
            log: BTreeMap::new(),
            requests: Vec::new(),
            commit: None,
            messages: Vec::new(),
            done: BTreeSet::new(),
            noted: BTreeSet::new(),
            failed: HashMap::new(),
            ended_failed: HashMap::new(),
            cancelled: BTreeMap::new(),
            specs: HashMap::new(),
            known_life: HashMap::new(),
        };
        world.take_over();
        world
    }

    fn now(&self) -> Now {
        Now {
            mono: Duration::from_millis(1_000_000 + self.now_ms),
            wall: Duration::from_millis(1_700_000_000_000 + self.now_ms),
        }
    }

    fn chance(&mut self, part: f64) -> bool {
        self.now_ms < FAULTS_MS && self.rng.random_bool(part)
    }

    fn take_over(&mut self) {
        self.token += 1;
        self.commit = None;
        self.owner = Scheduler::new(bounds(), self.now());
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
        self.list();
    }

    fn list(&mut self) {
        let listed = |(id, it): (&InstanceId, &Runner)| ListedWorker {
            id: id.clone(),
            addr: "10.0.0.1:80".parse().unwrap(),
            pool: Arc::from("pool"),
            zone: Arc::from("za"),
            rack: Arc::from("r"),
            labels: vec![],
            capacity: CAPACITY,
            draining: false,
            started_ms: it.started_ms,
        };
        // A silent worker drops out of the list at times, and comes back.
        let shown: Vec<ListedWorker> = self
            .runners
            .iter()
            .filter(|(_, it)| it.silent_until < self.now_ms + 3000)
            .map(listed)
            .collect();
        self.known_life.extend(shown.iter().map(|it| (it.id.clone(), it.started_ms)));
        self.owner.set_workers(self.now(), shown);
    }

    fn submit(&mut self, number: usize) {
        let id: JobKey = Arc::from(format!("{number:016x}"));
        let width = self.rng.random_range(1..5);
        let mut first = step(width, self.rng.random_range(300..2500));
        first.spread = u32::from(self.rng.random_bool(0.2)) * 2;
        // One lasting job leaves room for all others below the cap.
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
        };
        self.specs.insert(id.clone(), spec);
        let request = Request::Submit(submission);
        self.requests.push((id.clone(), request.clone()));
        self.owner.add_request(self.now(), id, request);
    }

    fn cancel(&mut self, id: JobKey) {
        let request = Request::Cancel { at_ms: self.now_ms };
        self.requests.push((id.clone(), request.clone()));
        self.owner.add_request(self.now(), id.clone(), request);
        self.cancelled.insert(id, self.now_ms);
    }

    fn run(&mut self) {
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
        self.fault();
        self.work();
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|(at, _, _)| *at <= self.now_ms);
        self.messages = later;
        for (_, life, message) in due {
            self.deliver(life, message);
        }
        if let Some((at, records)) = self.commit.take() {
            if at <= self.now_ms {
                for (id, value) in records {
                    match value {
                        Some(value) => self.log.insert(id, value),
                        None => self.log.remove(&id),
                    };
                }
                self.owner.commit_confirmed(self.now());
            } else {
                self.commit = Some((at, records));
            }
        }
        if self.now_ms.is_multiple_of(400) {
            self.list();
            self.owner.confirm_ownership(self.now().mono);
        }
        for action in self.owner.poll(self.now()) {
            self.carry_out(action);
        }
    }

    fn fault(&mut self) {
        if self.chance(0.004) {
            // A commit on its way may be in the log before the next owner sets its epoch.
            if let Some((_, records)) = self.commit.take()
                && self.rng.random_bool(0.5)
            {
                for (id, value) in records {
                    match value {
                        Some(value) => self.log.insert(id, value),
                        None => self.log.remove(&id),
                    };
                }
            }
            self.take_over();
        }
        let id = InstanceId::from(format!("w{}", self.rng.random_range(0..WORKERS)));
        if self.chance(0.002) {
            let until = self.now_ms + self.rng.random_range(200..9000);
            self.runners.get_mut(&id).unwrap().silent_until = until;
        }
        if self.chance(0.001) {
            let now_ms = self.now_ms;
            let runner = self.runners.get_mut(&id).unwrap();
            runner.started_ms = now_ms + 2;
            runner.token = 0;
            runner.lease_until = 0;
            runner.running.clear();
            runner.highest.clear();
            runner.ended.clear();
            runner.numbers = 0;
        }
    }

    /// Runs go on, end by themselves, and lapse.
    fn work(&mut self) {
        let now_ms = self.now_ms;
        for runner in self.runners.values_mut() {
            let clock = now_ms - runner.started_ms.min(now_ms);
            let lapsed = runner.lease_until < clock;
            let keys: Vec<(TaskKey, u32)> = runner.running.keys().cloned().collect();
            for (task, run) in keys {
                let lasting = self.specs[&task.job].steps[usize::from(task.step)].lasting;
                let over = runner.running[&(task.clone(), run)] <= now_ms && !lasting;
                if !over && !lapsed {
                    continue;
                }
                runner.running.remove(&(task.clone(), run));
                let fails = over && !lapsed && self.rng.random_bool(0.02);
                let how = match () {
                    () if lapsed => RunOutcome::Lapsed,
                    () if fails => RunOutcome::Failed,
                    () => RunOutcome::Done,
                };
                if how == RunOutcome::Done {
                    self.done.insert(task.clone());
                }
                if how == RunOutcome::Failed {
                    *self.ended_failed.entry(task.clone()).or_default() += 1;
                }
                runner.numbers += 1;
                runner.ended.push((runner.numbers, RunKey { task, run }, how, false));
            }
            for end in &mut runner.ended {
                end.3 |= lapsed;
            }
        }
    }

    fn carry_out(&mut self, action: Action) {
        let now_ms = self.now_ms;
        let lost = self.chance(0.05);
        let late = lost && self.rng.random_bool(0.7);
        let delay = match late {
            true => self.rng.random_range(500..6000),
            false => self.rng.random_range(0..30),
        };
        match action {
            Action::Commit(records) => {
                let slow = if self.chance(0.05) { 2000 } else { 10 };
                self.commit = Some((now_ms + slow, records));
            }
            Action::Start(start) => {
                if lost {
                    let (id, key) = (start.worker.clone(), start.key.clone());
                    self.owner.start_answered(self.now(), &id, &key, OrderOutcome::Lost);
                }
                if !lost || late {
                    self.send(now_ms + delay, Message::Start(start, self.token));
                }
            }
            Action::Stop { worker, key } => {
                if !lost || late {
                    self.send(now_ms + delay, Message::Stop(worker, key, self.token));
                }
            }
            Action::FetchStatus {
                worker,
                ack_cursor: recorded,
                lease_until_ms: until_ms,
                ..
            } => self.send(now_ms + 100, Message::Status(worker, recorded, until_ms, self.token)),
            Action::RemoveRequests(_) | Action::SetSpeed { .. } | Action::RequestAdvice { .. } | Action::LogDecision(_) => {}
        }
    }

    fn send(&mut self, at: u64, message: Message) {
        let life = self.known_life.get(message.to()).copied().unwrap_or(0);
        self.messages.push((at, life, message));
    }

    fn deliver(&mut self, life: u64, message: Message) {
        let id = message.to().clone();
        let token = message.token();
        let current = token == self.token;
        let silent = self.now_ms < self.runners[&id].silent_until;
        let reborn = self.runners[&id].started_ms != life;
        if silent || reborn || token < self.runners[&id].token {
            let answer = match () {
                () if silent => OrderOutcome::Lost,
                () if reborn => OrderOutcome::Refused(Refusal::Instance),
                () => OrderOutcome::Refused(Refusal::Fenced),
            };
            if let (true, Message::Status(..)) = (current, &message) {
                self.owner.status_failed(self.now(), &id, answer);
            }
            if let (true, Message::Start(start, _)) = (current, &message) {
                self.owner.start_answered(self.now(), &id, &start.key, answer);
            }
            return;
        }
        let now_ms = self.now_ms;
        let runner = self.runners.get_mut(&id).unwrap();
        runner.token = token;
        let clock_ms = now_ms - runner.started_ms.min(now_ms) + 1;
        match message {
            Message::Start(start, _) => {
                let answer = self.begin(&id, &start, clock_ms);
                if current {
                    self.owner.start_answered(self.now(), &id, &start.key, answer);
                }
            }
            Message::Stop(_, key, _) => {
                let highest = runner.highest.entry(key.task.clone()).or_default();
                *highest = (*highest).max(key.run);
                if runner.running.remove(&(key.task.clone(), key.run)).is_some() {
                    runner.numbers += 1;
                    runner.ended.push((runner.numbers, key, RunOutcome::Stopped, false));
                }
                if current {
                    self.owner.order_answered(&id, OrderOutcome::Done { clock_ms });
                }
            }
            Message::Status(_, recorded, until_ms, _) => {
                runner.lease_until = runner.lease_until.max(until_ms.unwrap_or(0).min(clock_ms + 10_000));
                let (kept, noted): (Vec<_>, Vec<_>) = std::mem::take(&mut runner.ended).into_iter().partition(|it| recorded < it.0);
                runner.ended = kept;
                for (_, key, how, lapsed) in noted {
                    if how == RunOutcome::Done && !lapsed {
                        assert!(self.noted.insert(key.task.clone()), "TWICE: {:?} was done twice", key.task);
                    }
                    if how == RunOutcome::Failed && !lapsed {
                        *self.failed.entry(key.task).or_default() += 1;
                    }
                }
                if !current {
                    return;
                }
                let active = runner.running.keys().map(|(task, run)| ActiveRun {
                    key: RunKey {
                        task: task.clone(),
                        run: *run,
                    },
                    checkpoint: Arc::from(""),
                    percent: 100,
                    measurement: None,
                });
                let ended = runner.ended.iter().map(|(number, key, how, _)| RunEnd {
                    sequence: *number,
                    key: key.clone(),
                    outcome: *how,
                    checkpoint: Arc::from(""),
                });
                let look = WorkerStatus {
                    clock_ms,
                    started_ms: runner.started_ms,
                    active: active.collect(),
                    ended: ended.collect(),
                };
                self.owner.status_received(self.now(), &id, look);
            }
        }
    }

    /// A worker carries an order to start out; all rules on starts are checked here.
    fn begin(&mut self, id: &InstanceId, start: &StartOrder, clock_ms: u64) -> OrderOutcome {
        let task = &start.key.task;
        let runner = self.runners.get_mut(id).unwrap();
        if start.expires_ms < clock_ms {
            return OrderOutcome::Refused(Refusal::Late);
        }
        if start.key.run <= runner.highest.get(task).copied().unwrap_or(0) {
            return OrderOutcome::Refused(Refusal::Old);
        }
        let spec = self.specs[&task.job].clone();
        let step = &spec.steps[usize::from(task.step)];
        runner.highest.insert(task.clone(), start.key.run);
        runner.lease_until = runner.lease_until.max(start.expires_ms);
        let need = |it: &TaskKey, specs: &HashMap<JobKey, Arc<JobSpec>>| specs[&it.job].steps[usize::from(it.step)].need.cpu;
        let here: u64 = runner.running.keys().map(|(it, _)| need(it, &self.specs)).sum();
        assert!(here + step.need.cpu <= CAPACITY.cpu, "LIMIT: {id} has no room for {task:?}");
        if step.spread != 0 {
            let same = runner
                .running
                .keys()
                .filter(|(it, _)| it.job == task.job && it.step == task.step)
                .count();
            assert!((same as u32) < step.spread, "ROUTE: too many tasks of a step on {id}");
        }
        let ends = self.now_ms + step.estimate_ms;
        runner.running.insert((task.clone(), start.key.run), ends);
        let all = self.runners.values().flat_map(|it| it.running.keys());
        let running: u64 = all.clone().map(|(it, _)| need(it, &self.specs)).sum();
        assert!(running <= CAP.cpu, "QUOTA: {running} running");
        assert_eq!(all.filter(|(it, _)| it == task).count(), 1, "TWICE: {task:?}");
        assert!(!self.noted.contains(task), "TWICE: {task:?} was done");
        for after in &step.after {
            for index in 0..spec.steps[usize::from(*after)].count {
                let earlier = TaskKey {
                    step: *after,
                    index,
                    ..task.clone()
                };
                assert!(self.done.contains(&earlier), "ORDER: {task:?} before {earlier:?}");
            }
        }
        assert!(self.failed.get(task).copied().unwrap_or(0) < 2, "BUDGET: {task:?}");
        if let Some(at) = self.cancelled.get(&task.job) {
            assert!(self.now_ms <= at + 3000, "UNASKED: {task:?} after its cancel");
        }
        OrderOutcome::Done { clock_ms }
    }

    /// Every job has reached its end, and what lasts runs.
    fn check_end(&self) {
        for (id, spec) in &self.specs {
            let status = self.owner.job_status(id);
            let runs = |it: &TaskKey| {
                self.runners
                    .values()
                    .any(|runner| runner.running.keys().any(|(task, _)| task == it))
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
                    assert!(runs(&task) && !failed, "LOST: {task:?} does not run");
                }
                continue;
            }
            let most = self
                .ended_failed
                .iter()
                .filter(|(task, _)| task.job == *id)
                .map(|(_, count)| *count)
                .max()
                .unwrap_or(0);
            match status {
                Some(JobStatus::Completed) => {}
                Some(JobStatus::Failed) => assert!(2 <= most, "LOST: {id} failed without cause"),
                status => panic!("LOST: {id} is {status:?}"),
            }
        }
    }
}

fn bounds() -> TimeLimits {
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

#[test]
fn rules_hold_under_faults_from_fixed_seeds() {
    // Further seeds by hand: ORIOLE_SEEDS=3000 cargo test -p oriolewall --test test_pool_world
    let count = std::env::var("ORIOLE_SEEDS").ok().and_then(|it| it.parse().ok()).unwrap_or(60);
    let broken: Vec<u64> = (0..count).filter(|seed| is_broken(*seed)).collect();
    assert!(broken.is_empty(), "seeds {broken:?} broke a rule");
}

#[test]
fn seeds_that_once_broke_a_rule_keep_it() {
    // QUOTA: the next owner did not count runs of cancelled jobs on silent workers.
    let uncounted = [845, 1119, 2429, 2720];
    // QUOTA: an order reached a new life of its worker after its run was given up.
    let stale = [1878, 2806];
    let broken: Vec<u64> = uncounted.into_iter().chain(stale).filter(|seed| is_broken(*seed)).collect();
    assert!(broken.is_empty(), "seeds {broken:?} broke a rule");
}

fn is_broken(seed: u64) -> bool {
    let outcome = std::panic::catch_unwind(|| {
        let mut world = World::new(seed);
        world.run();
        world.check_end();
    });
    outcome.is_err()
}
