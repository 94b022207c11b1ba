//! Runs the scheduler of an owned partition: passes events to it and executes the
//! actions that it returns.
//!
//! All calls to the log, workers and other instances run as separate tasks whose
//! results come back as events, so the scheduler itself never waits.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use oriole_platform::advice::Advice;
use oriole_platform::log::{Error, ReadResult};
use oriole_platform::worker::WorkerClient;
use oriolewall::advice::StepKey;
use oriolewall::clock::Now;
use oriolewall::id::{InstanceId, PoolId, TeamId};
use oriolewall::inquiry::Holding;
use oriolewall::job_record::{JobKey, QueueId};
use oriolewall::order::{ContactId, OrderOutcome};
use oriolewall::query::JobStatus;
use oriolewall::quota;
use oriolewall::resources::Resources;
use oriolewall::rpc::{Allowance, Call, DemandReport, PartitionId, Reply, UsageReport};
use oriolewall::scheduler::Scheduler;
use oriolewall::tenure::{Claim, Generation, Verdict};
use oriolewall::worker::{ListedWorker, RunKey};
use serde_json::json;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;

use crate::node::Node;
use crate::takeover::{apply_requests, follow_requests, set_epoch, still_owned, take_over};
use crate::worker_status::Fetched;
use crate::{caps, clock, coordinator, peer, watch};

/// Time limit of a call to the log.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Delay after a failed call to the log.
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Minimum time between two polls of the scheduler.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(4);
/// Time between two usage reports to the fleet coordinator.
const REPORT_INTERVAL: Duration = Duration::from_millis(150);
/// Time between two reports to the coordinator on work that is late; it disregards them after 1 s.
const LATE_WORK_INTERVAL: Duration = Duration::from_millis(450);
/// Time limit of a call for advice. The service handles one call at a time, and
/// takes longer the more workers it is asked about.
pub(crate) const ADVICE_TIMEOUT: Duration = Duration::from_millis(3500);
/// Time for which new work is kept away from a worker after a request to vacate it.
/// The coordinator sends its orders within 1.2 s of the request, and these may take
/// 1.5 s; the rest is reserve for orders that take effect late.
const VACATE_DURATION: Duration = Duration::from_secs(4);

/// Input of an owner's event loop.
#[derive(Debug)]
pub(crate) enum Event {
    /// Callers' requests were read; all are known that were in the log at this monotonic time.
    RequestsRead(ReadResult, Duration),
    /// The operators' configuration changed.
    CatalogChanged,
    /// The list of workers changed.
    WorkerListChanged,
    /// The group listed the partition in answer to a join.
    PartitionListed {
        /// Start of the tenure in which this instance holds the partition.
        since: Generation,
        /// Monotonic time at which the join was sent.
        sent: Duration,
    },
    /// The log was asked in a tenure whether a later owner has set its epoch: at this monotonic
    /// time there was none, or the call failed.
    OwnershipChecked(Generation, Result<Duration, Error>),
    /// A worker answered a status request under a contact, or the request failed.
    StatusReceived(InstanceId, ContactId, Fetched),
    /// An order to start a run was answered or failed.
    StartAnswered(InstanceId, RunKey, ContactId, OrderOutcome),
    /// An order to stop a run or to change its speed was answered or failed.
    OrderAnswered(InstanceId, ContactId, OrderOutcome),
    /// Advice on the workers for a step was received; `None` if the call failed.
    AdviceReceived(StepKey, Option<Advice>),
    /// The last commit is in the log with this sequence number, or was rejected because
    /// a later owner writes to the partition.
    Committed(Result<u64, Error>),
    /// The coordinator's answer to the report sent at this monotonic time: what each team may have
    /// running in this partition. `None` if the call failed.
    AllowanceReceived(Duration, Option<Allowance>),
    /// Query for the state of a job by a team; `None` for a public queue.
    StatusQuery(JobKey, Option<TeamId>, oneshot::Sender<Reply>),
    /// Query of an owner that knows a version of the configuration whether jobs are here.
    HoldingsQuery(u64, Vec<JobKey>, oneshot::Sender<Reply>),
    /// The owner of a pool answered whether it has jobs; no answer if the call failed.
    HoldingsReceived {
        /// The pool.
        pool: PoolId,
        /// Version of the configuration that its owner had to know.
        version: u64,
        /// The jobs.
        jobs: Vec<JobKey>,
        /// The answer for each of them.
        answer: Option<Vec<Holding>>,
    },
    /// Query for the number of waiting jobs of a queue.
    PendingQuery(QueueId, oneshot::Sender<Reply>),
    /// Query for the CPU that finite tasks use on each worker.
    LoadsQuery(oneshot::Sender<Reply>),
    /// Requests for a job are in the log for the next pool of its queue.
    HandedOn(JobKey),
    /// Request to keep new work away from workers. With the flag those on which tasks run
    /// also get no new ones; without it they stay in service.
    VacateRequest(Vec<InstanceId>, bool, oneshot::Sender<Reply>),
    /// These workers will be emptied for maintenance.
    MaintenanceExpected(Vec<InstanceId>, oneshot::Sender<Reply>),
}

/// State of the event loop of one owned partition.
pub(crate) struct Owner {
    pub(crate) node: Arc<Node>,
    pub(crate) part: PartitionId,
    pub(crate) epoch: u64,
    /// Whether the group's answers confirm the ownership.
    pub(crate) claim: Claim,
    /// Start of the last tenure in which the log confirmed the ownership.
    pub(crate) confirmed_tenure: Generation,
    /// Sender to this owner's own event loop, for the results of calls.
    pub(crate) events: mpsc::UnboundedSender<Event>,
    pub(crate) scheduler: Scheduler,
    pub(crate) workers: HashMap<InstanceId, Arc<WorkerClient>>,
    /// Sequence number of the next commit within the epoch.
    pub(crate) next_sequence: u64,
    pub(crate) first_commit_sent: bool,
    /// What each team may have running in this partition; empty once the grants have expired.
    pub(crate) grants: HashMap<TeamId, Resources>,
    /// Monotonic time at which the report was sent that `grants` answers.
    pub(crate) grants_as_of: Duration,
    pub(crate) last_report_at: Duration,
    /// Number of the last report within the epoch.
    pub(crate) last_report: u64,
    /// Whether the last report is neither answered nor given up. The next one waits for that, as it
    /// names the grants that this owner holds.
    pub(crate) is_reporting: bool,
    pub(crate) last_late_work_at: Duration,
    /// Open calls and the readers of requests and changes. All are aborted when the
    /// owner ends.
    pub(crate) background_tasks: JoinSet<()>,
}

/// Takes a partition over and runs its scheduler until the partition is lost, a later
/// owner has written to it, or all senders of events are gone.
pub(crate) async fn run(
    node: Arc<Node>,
    part: PartitionId,
    epoch: u64,
    events: mpsc::UnboundedSender<Event>,
    receiver: mpsc::UnboundedReceiver<Event>,
) {
    let started = clock::now();
    let Some((scheduler, next)) = take_over(&node, part, epoch).await else {
        node.decision_log.write(
            "ownership",
            json!({ "part": part, "epoch": epoch, "outcome": "fenced at takeover" }),
        );
        return;
    };
    let elapsed = clock::now().mono.saturating_sub(started.mono);
    node.metrics.takeover_seconds.observe(elapsed.as_secs_f64());
    node.decision_log.write(
        "takeover",
        json!({ "part": part, "epoch": epoch, "took_ms": elapsed.as_millis() as u64, "jobs": scheduler.job_count() }),
    );
    let mut owner = Owner {
        part,
        epoch,
        claim: Claim::new(epoch),
        confirmed_tenure: epoch,
        events: events.clone(),
        scheduler,
        workers: HashMap::new(),
        next_sequence: 0,
        first_commit_sent: false,
        grants: HashMap::new(),
        grants_as_of: Duration::ZERO,
        last_report_at: Duration::ZERO,
        last_report: 0,
        is_reporting: false,
        last_late_work_at: Duration::ZERO,
        background_tasks: JoinSet::new(),
        node: node.clone(),
    };
    let view = owner.scheduler.requests();
    owner
        .background_tasks
        .spawn(follow_requests(node.clone(), part, next, view, events.clone()));
    owner.background_tasks.spawn(follow_changes(node.clone(), events));
    owner.refresh_catalog();
    owner.refresh_workers();
    owner.run_event_loop(receiver).await;
    node.decision_log
        .write("ownership", json!({ "part": part, "epoch": epoch, "outcome": "ended" }));
}

/// Sends an event for each change of the configuration or of the list of workers.
async fn follow_changes(node: Arc<Node>, events: mpsc::UnboundedSender<Event>) {
    let mut catalog = node.catalog_changes.subscribe();
    let mut workers = node.worker_list_changes.subscribe();
    loop {
        let event = tokio::select! {
            changed = catalog.changed() => changed.map(|()| Event::CatalogChanged),
            changed = workers.changed() => changed.map(|()| Event::WorkerListChanged),
        };
        let Ok(event) = event else {
            return;
        };
        if events.send(event).is_err() {
            return;
        }
    }
}

impl Owner {
    /// Handles events and executes the scheduler's actions until the ownership ends.
    async fn run_event_loop(&mut self, mut receiver: mpsc::UnboundedReceiver<Event>) {
        let mut last_poll = Duration::ZERO;
        loop {
            let now = clock::now();
            let until_next_poll = self.scheduler.next_poll(now).saturating_sub(now.mono);
            // Under load events come faster than every `MIN_POLL_INTERVAL`; a poll visits all
            // workers, so it handles them together.
            tokio::time::sleep((last_poll + MIN_POLL_INTERVAL).saturating_sub(now.mono)).await;
            let event = tokio::time::timeout(until_next_poll, receiver.recv()).await;
            match event {
                Ok(Some(event)) => self.handle_event(event),
                Ok(None) => return,
                Err(_) => {}
            }
            while let Ok(event) = receiver.try_recv() {
                self.handle_event(event);
            }
            last_poll = clock::now().mono;
            // Ownership ends when the group assigns the partition elsewhere or a later owner
            // fences this one.
            if self.scheduler.is_fenced() || !still_owned(&self.node, self.part, self.epoch) {
                return;
            }
            self.report_usage();
            for action in self.scheduler.poll(clock::now()) {
                self.execute(action);
            }
            while let Some(ended) = self.background_tasks.try_join_next() {
                // The result of a call that panicked never comes.
                if let Err(err) = ended
                    && let Ok(panic) = err.try_into_panic()
                {
                    std::panic::resume_unwind(panic);
                }
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        let now = clock::now();
        match event {
            Event::RequestsRead(batch, as_of) => {
                self.scheduler.set_cancel_time(self.node.bounds.load().cancel);
                self.scheduler.requests_read(as_of);
                apply_requests(&self.node, self.part, &mut self.scheduler, batch, |scheduler, id, request| {
                    scheduler.add_request(now, id, request);
                });
            }
            Event::CatalogChanged => self.refresh_catalog(),
            Event::WorkerListChanged => self.refresh_workers(),
            Event::PartitionListed { since, sent } => self.partition_listed(since, sent),
            Event::OwnershipChecked(since, result) => self.ownership_checked(since, result),
            Event::StatusReceived(id, contact, fetched) => self.status_received(now, &id, contact, fetched),
            Event::StartAnswered(id, key, contact, answer) => self.scheduler.start_answered(now, &id, &key, contact, answer),
            Event::OrderAnswered(id, contact, answer) => self.scheduler.order_answered(&id, contact, answer),
            Event::AdviceReceived(step, Some(advice)) => self.scheduler.advice_received(now, step, advice.approved, advice.validity),
            Event::AdviceReceived(step, None) => self.scheduler.advice_failed(&step),
            Event::Committed(Ok(sequence)) => {
                self.next_sequence = sequence + 1;
                self.scheduler.commit_confirmed(now);
            }
            Event::Committed(Err(err)) => {
                watch::report_log_error(&self.node, "commit", &err);
                self.scheduler.fence();
            }
            Event::AllowanceReceived(sent, allowance) => {
                self.is_reporting = false;
                if let Some(allowance) = allowance {
                    self.grants_as_of = sent;
                    self.grants = allowance.grants.clone();
                    self.scheduler.set_allowance(allowance);
                }
            }
            Event::StatusQuery(id, team, reply) => send_reply(reply, self.status(&id, team.as_ref())),
            Event::HoldingsQuery(version, jobs, reply) => self.answer_inquiry(version, &jobs, reply),
            Event::HoldingsReceived {
                pool,
                version,
                jobs,
                answer,
            } => self.scheduler.holdings_received(now, &pool, version, jobs, answer),
            Event::HandedOn(id) => self.scheduler.hand_on_finished(&id),
            Event::PendingQuery(queue, reply) => send_reply(reply, Reply::Pending(self.scheduler.queued_jobs(&queue))),
            Event::LoadsQuery(reply) => send_reply(reply, Reply::Loads(self.scheduler.finite_task_cpu())),
            Event::MaintenanceExpected(workers, reply) => {
                self.scheduler.expect_maintenance(now, workers);
                send_reply(reply, Reply::Done);
            }
            Event::VacateRequest(ids, wait, reply) => {
                let until = now.mono + VACATE_DURATION;
                let vacant = ids.iter().map(|id| self.scheduler.vacate(now, id, until, wait)).collect();
                send_reply(reply, Reply::Vacant(vacant));
            }
        }
    }

    /// Handles the answer to a status request. If a connection to one worker was silent, those to the
    /// others may be, which idle workers would show only when the first order to them is lost.
    fn status_received(&mut self, now: Now, id: &InstanceId, contact: ContactId, fetched: Fetched) {
        match fetched.status {
            Ok(status) => self.scheduler.status_received(now, id, contact, status),
            Err(answer) => self.scheduler.status_failed(now, id, contact, answer),
        }
        let Some(sent) = fetched.silent_since else {
            return;
        };
        self.scheduler.status_resent(now, id, contact);
        self.workers.values().for_each(|it| it.close_idle_since(sent));
        self.node.metrics.silent_reads.with_label_values(&["status", "read anew"]).inc();
        let silent_ms = sent.elapsed().as_millis() as u64;
        self.node.decision_log.write(
            "silent_read",
            json!({ "name": "worker", "call": "status", "worker": id, "silent_ms": silent_ms, "outcome": "read anew" }),
        );
    }

    /// Confirms the ownership by an answer of the group. If another owner may have held the
    /// partition before that answer, asks the log instead. Leases are renewed meanwhile, as long as
    /// the last confirmation allows.
    fn partition_listed(&mut self, since: Generation, sent: Duration) {
        match self.claim.listed(since) {
            Verdict::Confirmed => self.scheduler.confirm_ownership(sent),
            Verdict::Pending => {}
            verdict @ (Verdict::AskLog | Verdict::AskAgain) => {
                if verdict == Verdict::AskLog {
                    self.log_ownership(since, "unconfirmed");
                }
                let (node, events, part, epoch) = (self.node.clone(), self.events.clone(), self.part, self.epoch);
                self.background_tasks.spawn(async move {
                    let result = set_epoch(&node, part, epoch).await;
                    // The event loop may have ended since.
                    let _ = events.send(Event::OwnershipChecked(since, result));
                });
            }
        }
    }

    /// Handles the log's answer on whether a later owner has set its epoch.
    fn ownership_checked(&mut self, since: Generation, result: Result<Duration, Error>) {
        self.claim.answered();
        match result {
            Ok(sent) => {
                self.scheduler.confirm_ownership(sent);
                if std::mem::replace(&mut self.confirmed_tenure, since) != since {
                    self.log_ownership(since, "confirmed by the log");
                }
            }
            Err(Error::Fenced) => self.scheduler.fence(),
            Err(err) => watch::report_log_error(&self.node, "epoch", &err),
        }
    }

    /// Answers the owner of another pool. It admits jobs by the answer, so there must be no later
    /// owner of this partition yet: unless the group rules that out, the log is asked.
    fn answer_inquiry(&mut self, version: u64, jobs: &[JobKey], reply: oneshot::Sender<Reply>) {
        let Some(holdings) = self.scheduler.holdings(clock::now(), version, jobs) else {
            send_reply(reply, Reply::Unavailable);
            return;
        };
        let answer = Reply::Holdings(holdings);
        let (node, part, epoch) = (self.node.clone(), self.part, self.epoch);
        let owned = node.owned_partition(part);
        if node.is_member() && owned.is_some_and(|it| it.epoch == epoch && it.tenure.since() <= epoch) {
            send_reply(reply, answer);
            return;
        }
        self.background_tasks.spawn(async move {
            let is_owner = set_epoch(&node, part, epoch).await.is_ok();
            send_reply(reply, if is_owner { answer } else { Reply::Unavailable });
        });
    }

    fn log_ownership(&self, generation: Generation, outcome: &str) {
        self.node.decision_log.write(
            "ownership",
            json!({ "part": self.part, "epoch": self.epoch, "generation": generation, "outcome": outcome }),
        );
    }

    /// Answers a query for a job's state. The answer that there is no such job is given
    /// only if its submission would be known.
    fn status(&self, id: &JobKey, team: Option<&TeamId>) -> Reply {
        if self.scheduler.is_quarantined(id) {
            return Reply::Quarantined;
        }
        let status: Option<JobStatus> = self.scheduler.job_status(id, team);
        let visible = self.node.bounds.load().visible;
        if status.is_none() && !self.scheduler.requests().may_deny(clock::now().mono, visible) {
            return Reply::Outdated;
        }
        Reply::Status(status)
    }

    /// Passes the current configuration and the listed workers to the scheduler.
    fn refresh_catalog(&mut self) {
        self.scheduler.set_catalog(self.node.catalog());
        self.refresh_workers();
    }

    /// Passes the listed workers of this partition's pools to the scheduler, and creates
    /// clients for new ones.
    fn refresh_workers(&mut self) {
        let all = self.node.workers.load_full();
        let listed_workers: Vec<ListedWorker> = all
            .values()
            .filter(|it| self.node.partition_of(&it.pool) == self.part)
            .cloned()
            .collect();
        for listed in &listed_workers {
            let known = self.workers.get(&listed.id).is_some_and(|it| it.addr() == listed.addr);
            if !known {
                let worker = WorkerClient::new(listed.id.clone(), listed.addr);
                self.workers.insert(listed.id.clone(), Arc::new(worker));
            }
        }
        self.scheduler.set_workers(clock::now(), listed_workers);
        // A moved instance comes back as another worker, so clients of former ones add up.
        self.workers.retain(|id, _| self.scheduler.has_worker(id));
    }

    /// Reports use and demand to the fleet coordinator when a report is due, and drops
    /// grants that have expired.
    fn report_usage(&mut self) {
        let now = clock::now();
        if self.grants_as_of + quota::GRANT_TTL < now.mono && !self.grants.is_empty() {
            self.grants.clear();
            self.scheduler.set_grants(HashMap::new());
        }
        if self.is_reporting || now.mono < self.last_report_at + REPORT_INTERVAL {
            return;
        }
        self.last_report_at = now.mono;
        self.last_report += 1;
        self.is_reporting = true;
        let demand = self.scheduler.report_demand(now);
        let report = DemandReport {
            sequence: self.last_report,
            usage: UsageReport {
                part: self.part,
                epoch: self.epoch,
                teams: demand.teams,
                held: self.grants.clone(),
                loads: self.scheduler.pool_loads(now),
            },
            details: demand.details,
        };
        let (node, events) = (self.node.clone(), self.events.clone());
        self.background_tasks.spawn(async move {
            let allowance = caps::report(&node, report).await;
            // The event loop may have ended since.
            let _ = events.send(Event::AllowanceReceived(now.mono, allowance));
        });
        self.report_late_work(now.mono);
    }

    /// Reports waiting work that can no longer meet its objective, if there is any.
    fn report_late_work(&mut self, now: Duration) {
        if now < self.last_late_work_at + LATE_WORK_INTERVAL {
            return;
        }
        self.last_late_work_at = now;
        let loads = self.scheduler.late_work(clock::now());
        if loads.is_empty() {
            return;
        }
        let node = self.node.clone();
        self.background_tasks.spawn(async move {
            // The next report follows soon.
            let _ = peer::call(&node, coordinator::COORDINATOR_PART, Call::LateWork { loads }).await;
        });
    }
}

/// Sends the reply to a query.
fn send_reply(reply: oneshot::Sender<Reply>, value: Reply) {
    // The receiver may be gone, for example after a timeout.
    let _ = reply.send(value);
}
