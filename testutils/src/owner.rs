//! A [`Scheduler`] with simulated workers, log and clock, for tests.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use oriolewall::advice::StepKey;
use oriolewall::catalog::{Catalog, Pool, Queue};
use oriolewall::clock::Now;
use oriolewall::commit_size::{CommitLimits, record_size};
use oriolewall::decision::Decision;
use oriolewall::id::{InstanceId, PoolId};
use oriolewall::job_record::{CancelKey, JobKey, JobRecord, Request, Submission, TaskKey};
use oriolewall::order::{Action, ActiveRun, ContactId, OrderOutcome, RunEnd, RunOutcome, StartOrder, TokenForm, WorkerStatus};
use oriolewall::resources::Resources;
use oriolewall::scheduler::Scheduler;
use oriolewall::silent_worker::SILENT_WORKER_PREFIX;
use oriolewall::spec::{JobSpec, Step};
use oriolewall::time_limits::TimeLimits;
use oriolewall::withdrawal;
use oriolewall::worker::{ListedWorker, RunKey};

/// Length of the leases that the owner requests.
pub const LEASE: Duration = Duration::from_secs(5);
/// Time after a confirmation of ownership during which leases are renewed.
pub const RENEWAL_WINDOW: Duration = Duration::from_secs(3);
/// Longest time that a worker takes to stop a task.
pub const STOP_TIME: Duration = Duration::from_millis(900);

/// An owner of a pool whose workers, log and clock are controlled by a test.
#[derive(Debug)]
pub struct OwnerFixture {
    /// The current time.
    pub now: Now,
    /// The current owner.
    pub owner: Scheduler,
    /// The configuration that `refresh_config` passes to the owner.
    pub catalog: Catalog,
    /// The workers that `refresh_config` passes to the owner.
    pub workers: Vec<ListedWorker>,
    /// Records in the log by key.
    pub stored: HashMap<JobKey, Bytes>,
    /// Start orders of the current owner.
    pub starts: Vec<StartOrder>,
    /// Stop orders of all owners.
    pub stops: Vec<RunKey>,
    /// Status requests: worker, last acknowledged end, time until which leases are renewed.
    pub status_requests: Vec<(InstanceId, u64, Option<u64>)>,
    /// Contact of the latest status request to each worker.
    pub contacts: HashMap<InstanceId, ContactId>,
    /// Watch of the latest status request to each worker.
    pub status_watches: HashMap<InstanceId, withdrawal::Watch>,
    /// Jobs whose submissions were removed from the log.
    pub removed_requests: Vec<JobKey>,
    /// Cancellations that were removed from the log.
    pub removed_cancels: Vec<CancelKey>,
    /// Jobs that were handed on, with the next pool and the requests.
    pub handed_on: Vec<(JobKey, PoolId, Vec<Request>)>,
    /// Questions to owners of other pools: the pool, the version of the configuration, the jobs.
    pub questions: Vec<(PoolId, u64, Vec<JobKey>)>,
    /// Orders to change the speed of a run, with the speed in percent.
    pub speed_orders: Vec<(RunKey, u32)>,
    /// Requests for advice with their candidate workers.
    pub advice_requests: Vec<(StepKey, Vec<InstanceId>)>,
    /// Decisions that the owner logged.
    pub decisions: Vec<Decision>,
    /// Bytes of each commit.
    pub commit_sizes: Vec<usize>,
    /// Limits of the log that each owner gets.
    pub commit_limits: CommitLimits,
    /// Number of commits of all owners.
    pub commits: usize,
    /// Whether the log takes and confirms commits.
    pub confirms_commits: bool,
}

/// The time some milliseconds after the start of a test.
pub fn time_at(ms: u64) -> Now {
    Now {
        mono: Duration::from_millis(100_000 + ms),
        wall: Duration::from_millis(1_700_000_000_000 + ms),
    }
}

/// Time limits of the owners.
pub fn time_limits() -> TimeLimits {
    TimeLimits {
        lease: LEASE,
        lease_max: 2 * LEASE,
        renewal_window: RENEWAL_WINDOW,
        stop_time: STOP_TIME,
    }
}

/// A listed worker of the only pool.
pub fn worker(id: &str) -> ListedWorker {
    ListedWorker {
        id: Arc::from(id),
        addr: "10.0.0.1:80".parse().unwrap(),
        pool: Arc::from("pool"),
        zone: Arc::from("za"),
        rack: Arc::from("r1"),
        labels: vec![Arc::from("a"), Arc::from("r1")],
        capacity: Resources {
            cpu: 8000,
            mem: 8000,
            gpu: 0,
        },
        draining: false,
        started_ms: 1000,
    }
}

/// A queue with an address and a pool.
pub fn queue(name: &str, path_prefix: &str, pool: &str) -> Queue {
    Queue {
        name: Arc::from(name),
        host: "host".to_owned(),
        path_prefix: path_prefix.to_owned(),
        pool: Arc::from(pool),
        is_public: true,
        priority: 0,
        max_attempts: 2,
        slack_factor: 1.5,
        target_ms: 600,
        needs_advice: false,
    }
}

/// A configuration with one queue and one pool.
pub fn catalog() -> Catalog {
    let queue = queue("queue", "/q/", "pool");
    let mut catalog = Catalog {
        version: 1,
        ..Catalog::default()
    };
    Arc::make_mut(&mut catalog.history).apply(1, [&queue]);
    catalog.queues.insert(queue.name.clone(), Arc::new(queue));
    let pool = Pool { standby: false };
    catalog.pools.insert(Arc::from("pool"), pool);
    catalog
}

/// A step of tasks with an estimated run time of one second.
pub fn step(count: u32, cpu: u64) -> Step {
    Step {
        count,
        need: Resources { cpu, mem: 100, gpu: 0 },
        estimate_ms: 1000,
        ..Step::default()
    }
}

/// A request that submits a job.
pub fn submit(team: &str, steps: Vec<Step>) -> Request {
    Request::Submit(Submission {
        queue: Arc::from("queue"),
        pool: Arc::from("pool"),
        team: Arc::from(team),
        received_ms: time_at(0).wall_ms(),
        spec: Arc::new(JobSpec {
            payload: Arc::from("payload"),
            steps,
            ..JobSpec::default()
        }),
        origin: None,
    })
}

/// Key of a task in the first occurrence of a job.
pub fn task(job: &str, step: u16, index: u32) -> TaskKey {
    TaskKey {
        job: Arc::from(job),
        turn: 0,
        step,
        index,
    }
}

impl OwnerFixture {
    /// Creates an owner that knows the configuration and the listed workers.
    pub fn new(workers: Vec<ListedWorker>) -> OwnerFixture {
        let mut fixture = OwnerFixture {
            now: time_at(0),
            owner: Scheduler::new(time_limits(), time_at(0), time_at(0).mono),
            catalog: catalog(),
            workers,
            stored: HashMap::new(),
            starts: Vec::new(),
            stops: Vec::new(),
            status_requests: Vec::new(),
            contacts: HashMap::new(),
            status_watches: HashMap::new(),
            removed_requests: Vec::new(),
            removed_cancels: Vec::new(),
            handed_on: Vec::new(),
            questions: Vec::new(),
            speed_orders: Vec::new(),
            advice_requests: Vec::new(),
            decisions: Vec::new(),
            commits: 0,
            commit_sizes: Vec::new(),
            commit_limits: CommitLimits::default(),
            confirms_commits: true,
        };
        fixture.refresh_config();
        fixture
    }

    /// Creates an owner to which every worker has reported, at 500 ms of its clock, that it
    /// has no runs.
    pub fn with_observed_workers(workers: Vec<ListedWorker>) -> OwnerFixture {
        let ids: Vec<InstanceId> = workers.iter().map(|it| it.id.clone()).collect();
        let mut fixture = OwnerFixture::new(workers);
        fixture.advance_ms(50);
        for id in ids {
            fixture.report_status(&id, 500, vec![], vec![]);
        }
        fixture
    }

    /// Sets the limits of the log for the owner and for those that replace it.
    pub fn limit_commits(&mut self, limits: CommitLimits) {
        self.commit_limits = limits;
        self.owner.set_commit_limits(limits);
    }

    /// Replaces the owner by a new one that restores its state from the log.
    pub fn replace_owner(&mut self) {
        self.replace_owner_with(TokenForm::Contact);
    }

    /// Replaces the owner by a new one whose fencing tokens have this form.
    pub fn replace_owner_with(&mut self, token_form: TokenForm) {
        self.owner = Scheduler::new(time_limits(), self.now, self.now.mono).with_token_form(token_form);
        self.load_stored();
    }

    /// Replaces the owner by a new one whose process was paused for `pause` after the log was asked
    /// to set its epoch.
    pub fn replace_owner_paused(&mut self, pause: Duration) {
        let confirmed_at = self.now.mono;
        self.now.mono += pause;
        self.now.wall += pause;
        self.owner = Scheduler::new(time_limits(), self.now, confirmed_at);
        self.load_stored();
    }

    /// Restores the state of the owner from the log.
    fn load_stored(&mut self) {
        self.owner.set_commit_limits(self.commit_limits);
        for (id, value) in &self.stored {
            match id.strip_prefix(SILENT_WORKER_PREFIX) {
                Some(worker) => self
                    .owner
                    .load_silent_worker(self.now, Arc::from(worker), rmp_serde::from_slice(value).unwrap()),
                None => self.owner.load_job(id.clone(), rmp_serde::from_slice(value).unwrap()),
            }
        }
        self.starts.clear();
    }

    /// Applies a version of the configuration to the catalog and passes it to the owner.
    pub fn configure(&mut self, version: u64, queues: &[Queue]) {
        self.catalog.version = version;
        self.catalog.queues = queues.iter().map(|it| (it.name.clone(), Arc::new(it.clone()))).collect();
        Arc::make_mut(&mut self.catalog.history).apply(version, queues);
        self.refresh_config();
    }

    /// Passes the configuration and the list of workers to the owner.
    pub fn refresh_config(&mut self) {
        self.owner.set_catalog(Arc::new(self.catalog.clone()));
        self.owner.set_workers(self.now, self.workers.clone());
    }

    /// Passes a request to the owner as if it were read from the log.
    pub fn add_request(&mut self, id: &str, request: Request) {
        self.owner.add_request(self.now, Arc::from(id), request);
    }

    /// Advances the time without letting the owner act, as when its process is paused.
    pub fn pause_ms(&mut self, ms: u64) {
        self.now.mono += Duration::from_millis(ms);
        self.now.wall += Duration::from_millis(ms);
    }

    /// Advances the time in steps of 10 ms and carries out the owner's actions.
    pub fn advance_ms(&mut self, ms: u64) {
        let until = self.now.mono + Duration::from_millis(ms);
        while self.now.mono < until {
            self.now.mono += Duration::from_millis(10);
            self.now.wall += Duration::from_millis(10);
            for action in self.owner.poll(self.now) {
                self.carry_out(action);
            }
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Commit(records) => {
                self.commits += 1;
                let size = |(key, value): &(JobKey, Option<Bytes>)| record_size(key, value.as_ref().map_or(0, Bytes::len));
                self.commit_sizes.push(records.iter().map(size).sum());
                if !self.confirms_commits {
                    return;
                }
                for (id, value) in records {
                    match value {
                        Some(value) => self.stored.insert(id, value),
                        None => self.stored.remove(&id),
                    };
                }
                self.owner.commit_confirmed(self.now);
            }
            Action::Start(start) => self.starts.push(start),
            Action::Stop { key, .. } => self.stops.push(key),
            Action::FetchStatus {
                worker,
                contact,
                ack_cursor,
                lease_until_ms,
                withdrawal,
                ..
            } => {
                self.contacts.insert(worker.clone(), contact);
                self.status_watches.insert(worker.clone(), withdrawal);
                self.status_requests.push((worker, ack_cursor, lease_until_ms));
            }
            Action::RemoveRequests { submissions, cancels } => {
                self.removed_requests.extend(submissions);
                self.removed_cancels.extend(cancels);
            }
            Action::HandOn { id, pool, requests } => self.handed_on.push((id, pool, requests)),
            Action::Inquire { pool, version, jobs } => self.questions.push((pool, version, jobs)),
            Action::SetSpeed { key, percent, .. } => self.speed_orders.push((key, percent)),
            Action::RequestAdvice { step, workers } => self.advice_requests.push((step, workers)),
            Action::LogDecision(decision) => self.decisions.push(decision),
        }
    }

    /// Reports a worker's status at a time of the worker's clock.
    pub fn report_status(&mut self, id: &str, clock_ms: u64, active: Vec<RunKey>, ended: Vec<RunEnd>) {
        self.report_incarnation(id, 1000, clock_ms, active, ended);
    }

    /// Reports the status of a worker's incarnation that started at `started_ms`.
    pub fn report_incarnation(&mut self, id: &str, started_ms: u64, clock_ms: u64, active: Vec<RunKey>, ended: Vec<RunEnd>) {
        let active = active.into_iter().map(|key| ActiveRun {
            key,
            checkpoint: Arc::from(""),
            percent: 100,
            measurement: None,
        });
        let status = WorkerStatus {
            clock_ms,
            started_ms,
            active: active.collect(),
            ended,
            has_unreadable_rows: false,
        };
        let contact = self.contact(id);
        self.owner.status_received(self.now, &Arc::from(id), contact, status);
    }

    /// Reports that the latest status request to a worker failed.
    pub fn fail_status(&mut self, id: &str, outcome: OrderOutcome) {
        let contact = self.contact(id);
        self.owner.status_failed(self.now, &Arc::from(id), contact, outcome);
    }

    /// Answers a start order.
    pub fn answer_start(&mut self, start: &StartOrder, outcome: OrderOutcome) {
        self.owner
            .start_answered(self.now, &start.worker, &start.key, start.contact, outcome);
    }

    /// Contact of the latest status request to a worker; unnumbered if there was none.
    pub fn contact(&self, id: &str) -> ContactId {
        self.contacts.get(id).copied().unwrap_or_default()
    }

    /// Answers a start order as carried out.
    pub fn confirm_start(&mut self, index: usize, clock_ms: u64) {
        let start = self.starts[index].clone();
        self.answer_start(&start, OrderOutcome::Done { clock_ms });
    }

    /// Decodes the record of a job in the log.
    pub fn stored_record(&self, id: &str) -> JobRecord {
        rmp_serde::from_slice(&self.stored[id]).unwrap()
    }
}

/// An ended run in a worker's status.
pub fn run_end(sequence: u64, key: &RunKey, outcome: RunOutcome) -> RunEnd {
    RunEnd {
        sequence,
        key: key.clone(),
        outcome,
        checkpoint: Arc::from(""),
    }
}
