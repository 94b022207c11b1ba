//! Runs the scheduler of a partition: takes it over, feeds it events, and
//! carries its actions out.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use oriole_platform::advice::Advice;
use oriole_platform::log::{AppendPosition, Entry, Error, JOBS, Partition, REQUESTS, ReadResult};
use oriole_platform::worker::WorkerClient;
use oriolewall::advice::StepKey;
use oriolewall::decision::Decision;
use oriolewall::id::{InstanceId, TeamId};
use oriolewall::job_record::{JobKey, QueueId};
use oriolewall::order::{Action, OrderOutcome, WorkerStatus};
use oriolewall::query::JobStatus;
use oriolewall::quota;
use oriolewall::resources::Resources;
use oriolewall::rpc::{Call, PartitionId, Reply, UsageReport};
use oriolewall::scheduler::Scheduler;
use oriolewall::worker::{ListedWorker, RunKey};
use serde_json::json;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;

use crate::node::Node;
use crate::takeover::{apply_requests, cancel_key, follow_requests, still_owned, take_over};
use crate::{clock, coordinator, peer, watch};

/// Time for a call to the log.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Pause after a failed call to the log.
pub(crate) const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Time after which an owner that has read no requests cannot tell that a job does not exist.
const MAX_REQUESTS_AGE: Duration = Duration::from_millis(4500);
/// Time between two reports on teams' caps.
const REPORT_INTERVAL: Duration = Duration::from_millis(150);
/// Time for a call for advice; the service takes one call at a time and counts workers.
const ADVICE_TIMEOUT: Duration = Duration::from_millis(3500);
/// Time for which a worker is kept empty after it was asked for.
/// Orders are sent within 1.2 s of the question and may take 1.5 s; the rest is for late ones.
const VACATE_DURATION: Duration = Duration::from_secs(4);

/// What an owner is told.
#[derive(Debug)]
pub(crate) enum Event {
    /// Callers' requests from the log.
    Requests(ReadResult),
    /// The configuration changed.
    CatalogChanged,
    /// The list of workers changed.
    WorkerListChanged,
    /// The group confirmed this owner, by a call sent at this time.
    OwnershipConfirmed(Duration),
    /// A worker showed what runs there.
    StatusReceived(InstanceId, Result<WorkerStatus, OrderOutcome>),
    /// A worker answered an order to start.
    StartAnswered(InstanceId, RunKey, OrderOutcome),
    /// A worker answered an order to stop or to work at another speed.
    OrderAnswered(InstanceId, OrderOutcome),
    /// Advice on a step, or none for want of an answer.
    AdviceReceived(StepKey, Option<Advice>),
    /// The last commit is in the log under a number, or a later owner writes there.
    Committed(Result<u64, Error>),
    /// What teams may have running, by a report sent at this time.
    Grants(Duration, HashMap<TeamId, Resources>),
    /// Somebody asks for a job's state.
    Status(JobKey, oneshot::Sender<Reply>),
    /// Somebody asks how many jobs of a queue wait.
    Pending(QueueId, oneshot::Sender<Reply>),
    /// Somebody asks how busy the workers are.
    Loads(oneshot::Sender<Reply>),
    /// A worker is to be emptied; whether somebody waits for what runs there.
    Vacate(InstanceId, bool, oneshot::Sender<Reply>),
}

struct Owner {
    node: Arc<Node>,
    part: PartitionId,
    epoch: u64,
    events: mpsc::UnboundedSender<Event>,
    scheduler: Scheduler,
    workers: HashMap<InstanceId, Arc<WorkerClient>>,
    sequence: u64,
    first_commit_sent: bool,
    requests_read_at: Duration,
    grants: HashMap<TeamId, Resources>,
    grants_as_of: Duration,
    last_report_at: Duration,
    tasks: JoinSet<()>,
}

/// Owns a partition until a later owner is seen or all senders of events are gone.
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
    let took = clock::now().mono.saturating_sub(started.mono);
    node.metrics.takeover_seconds.observe(took.as_secs_f64());
    node.decision_log.write(
        "takeover",
        json!({ "part": part, "epoch": epoch, "took_ms": took.as_millis() as u64, "jobs": scheduler.job_count() }),
    );
    let mut owner = Owner {
        part,
        epoch,
        events: events.clone(),
        scheduler,
        workers: HashMap::new(),
        sequence: 0,
        first_commit_sent: false,
        requests_read_at: clock::now().mono,
        grants: HashMap::new(),
        grants_as_of: Duration::ZERO,
        last_report_at: Duration::ZERO,
        tasks: JoinSet::new(),
        node: node.clone(),
    };
    owner.tasks.spawn(follow_requests(node.clone(), part, next, events.clone()));
    owner.tasks.spawn(follow_changes(node.clone(), events));
    owner.refresh_catalog();
    owner.refresh_workers();
    owner.run_event_loop(receiver).await;
    node.decision_log
        .write("ownership", json!({ "part": part, "epoch": epoch, "outcome": "ended" }));
}

/// Passes on that the configuration or the list of workers changed.
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
    async fn run_event_loop(&mut self, mut receiver: mpsc::UnboundedReceiver<Event>) {
        loop {
            let now = clock::now();
            let pause = self.scheduler.next_poll(now).saturating_sub(now.mono);
            let event = tokio::time::timeout(pause, receiver.recv()).await;
            match event {
                Ok(Some(event)) => self.handle_event(event),
                Ok(None) => return,
                Err(_) => {}
            }
            while let Ok(event) = receiver.try_recv() {
                self.handle_event(event);
            }
            // Ownership ends when the group or a later owner says so.
            if self.scheduler.is_fenced() || !still_owned(&self.node, self.part, self.epoch) {
                return;
            }
            self.report_usage();
            for action in self.scheduler.poll(clock::now()) {
                self.execute(action);
            }
            while self.tasks.try_join_next().is_some() {}
        }
    }

    fn handle_event(&mut self, event: Event) {
        let now = clock::now();
        match event {
            Event::Requests(tail) => {
                self.requests_read_at = now.mono;
                apply_requests(&self.node, self.part, &mut self.scheduler, tail);
            }
            Event::CatalogChanged => self.refresh_catalog(),
            Event::WorkerListChanged => self.refresh_workers(),
            Event::OwnershipConfirmed(at) => self.scheduler.confirm_ownership(at),
            Event::StatusReceived(id, Ok(look)) => self.scheduler.status_received(now, &id, look),
            Event::StatusReceived(id, Err(answer)) => self.scheduler.status_failed(now, &id, answer),
            Event::StartAnswered(id, key, answer) => self.scheduler.start_answered(now, &id, &key, answer),
            Event::OrderAnswered(id, answer) => self.scheduler.order_answered(&id, answer),
            Event::AdviceReceived(step, Some(advice)) => self.scheduler.advice_received(now, step, advice.approved, advice.validity),
            Event::AdviceReceived(step, None) => self.scheduler.advice_failed(&step),
            Event::Committed(Ok(sequence)) => {
                self.sequence = sequence + 1;
                self.scheduler.commit_confirmed(now);
            }
            Event::Committed(Err(err)) => {
                watch::report_log_error(&self.node, "commit", &err);
                self.scheduler.fence();
            }
            Event::Grants(sent, grants) => {
                self.grants_as_of = sent;
                self.grants = grants.clone();
                self.scheduler.set_grants(grants);
            }
            Event::Status(id, reply) => send_reply(reply, self.status(&id)),
            Event::Pending(queue, reply) => send_reply(reply, Reply::Pending(self.scheduler.queued_jobs(&queue))),
            Event::Loads(reply) => send_reply(reply, Reply::Loads(self.scheduler.finite_task_cpu())),
            Event::Vacate(id, wait, reply) => {
                let vacant = self.scheduler.vacate(now, &id, now.mono + VACATE_DURATION, wait);
                send_reply(reply, Reply::Vacant(vacant));
            }
        }
    }

    fn status(&self, id: &JobKey) -> Reply {
        let status: Option<JobStatus> = self.scheduler.job_status(id);
        // A request that has not been read yet may be there all the same.
        if status.is_none() && self.requests_read_at + MAX_REQUESTS_AGE < clock::now().mono {
            return Reply::Unavailable;
        }
        Reply::Status(status)
    }

    fn refresh_catalog(&mut self) {
        self.scheduler.set_catalog(self.node.catalog.load_full());
        self.refresh_workers();
    }

    /// Hands the scheduler the workers of this partition's pools.
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
    }

    /// Reports use and demand to the instance that divides the caps.
    fn report_usage(&mut self) {
        let now = clock::now().mono;
        if now < self.last_report_at + REPORT_INTERVAL {
            return;
        }
        self.last_report_at = now;
        if self.grants_as_of + quota::GRANT_TTL < now && !self.grants.is_empty() {
            self.grants.clear();
            self.scheduler.set_grants(HashMap::new());
        }
        let report = UsageReport {
            part: self.part,
            epoch: self.epoch,
            teams: self.scheduler.team_demands(),
            held: self.grants.clone(),
            loads: self.scheduler.pool_loads(clock::now()),
        };
        let (node, events) = (self.node.clone(), self.events.clone());
        self.tasks.spawn(async move {
            if let Reply::Grants(grants) = peer::call(&node, coordinator::COORDINATOR_PART, Call::Report(report)).await {
                // The owner may have ended meanwhile.
                let _ = events.send(Event::Grants(now, grants));
            }
        });
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Commit(records) => self.commit(records),
            Action::RemoveRequests(ids) => self.remove_requests(ids),
            Action::Start(start) => {
                let (events, fencing_token) = (self.events.clone(), self.epoch);
                let (id, key) = (start.worker.clone(), start.key.clone());
                let node = self.node.clone();
                let worker = self.workers.get(&id).cloned();
                self.tasks.spawn(async move {
                    let Some(worker) = worker else { return };
                    let answer = worker.start(&start, fencing_token).await;
                    count_order(&node, "start", answer);
                    let _ = events.send(Event::StartAnswered(id, key, answer));
                });
            }
            Action::Stop { worker: id, key } => {
                let (events, fencing_token) = (self.events.clone(), self.epoch);
                let node = self.node.clone();
                let worker = self.workers.get(&id).cloned();
                self.tasks.spawn(async move {
                    let Some(worker) = worker else { return };
                    let answer = worker.stop(&key, fencing_token).await;
                    count_order(&node, "stop", answer);
                    let _ = events.send(Event::OrderAnswered(id, answer));
                });
            }
            Action::FetchStatus {
                worker: id,
                ack_cursor: recorded,
                lease_until_ms: until_ms,
                wait,
            } => {
                let (events, fencing_token) = (self.events.clone(), self.epoch);
                let worker = self.workers.get(&id).cloned();
                self.tasks.spawn(async move {
                    let Some(worker) = worker else { return };
                    let look = worker.fetch_status(fencing_token, recorded, until_ms, wait).await;
                    let _ = events.send(Event::StatusReceived(id, look));
                });
            }
            Action::SetSpeed { worker: id, key, percent } => {
                let (events, fencing_token) = (self.events.clone(), self.epoch);
                let node = self.node.clone();
                let worker = self.workers.get(&id).cloned();
                self.tasks.spawn(async move {
                    let Some(worker) = worker else { return };
                    let answer = worker.set_speed(&key, percent, fencing_token).await;
                    count_order(&node, "pace", answer);
                    let _ = events.send(Event::OrderAnswered(id, answer));
                });
            }
            Action::RequestAdvice { step, workers } => {
                let (events, node) = (self.events.clone(), self.node.clone());
                self.tasks.spawn(async move {
                    let (job, turn, number) = &step;
                    let advice = match &node.advice_client {
                        Some(client) => client.advise(job, *turn, *number, &workers, ADVICE_TIMEOUT).await.ok(),
                        None => None,
                    };
                    let approved = advice.as_ref().map(|it| it.approved.len());
                    node.decision_log.write(
                        "advice",
                        json!({ "job": job, "step": number, "asked": workers.len(), "approved": approved }),
                    );
                    let _ = events.send(Event::AdviceReceived(step, advice));
                });
            }
            Action::LogDecision(note) => self.log_note(&note),
        }
    }

    fn log_note(&self, note: &Decision) {
        let kind = match note {
            Decision::Admitted { .. } => "admitted",
            Decision::Placed { .. } => "placed",
            Decision::Ended { how, .. } => {
                self.node.metrics.ends.with_label_values(&[how]).inc();
                "ended"
            }
            Decision::Closed { .. } => "closed",
            Decision::Refused { .. } => "order_refused",
            Decision::Contact { .. } => "contact",
            Decision::Suspect { .. } => "suspect",
            Decision::Silent { .. } => "silent",
            Decision::Interrupted { .. } => "interrupted",
        };
        self.node.decision_log.write(kind, note);
    }

    /// Appends records, again and again until the log has answered.
    fn commit(&mut self, records: Vec<(Arc<str>, Option<Bytes>)>) {
        let (node, events) = (self.node.clone(), self.events.clone());
        let part = Partition {
            topic: JOBS,
            number: self.part,
        };
        let entry = |(key, value): (Arc<str>, Option<Bytes>)| Entry {
            key: key.to_string(),
            value,
        };
        let entries: Vec<Entry> = records.into_iter().map(entry).collect();
        let mut writer = AppendPosition {
            epoch: self.epoch,
            sequence: self.sequence,
        };
        // Whether the append that set the epoch took a number is for the log to say.
        let first = !self.first_commit_sent;
        self.first_commit_sent = true;
        self.tasks.spawn(async move {
            let started = clock::now().mono;
            let result = loop {
                match node.log.append(part, Some(writer), &entries, CALL_TIMEOUT).await {
                    Ok(()) => break Ok(writer.sequence),
                    Err(Error::OutOfSequence { expected }) if first => writer.sequence = expected,
                    Err(err @ (Error::Fenced | Error::OutOfSequence { .. })) => break Err(err),
                    Err(err) => watch::report_log_error(&node, "commit", &err),
                }
                tokio::time::sleep(RETRY_PAUSE).await;
            };
            let took = clock::now().mono.saturating_sub(started);
            node.metrics.commit_seconds.observe(took.as_secs_f64());
            let _ = events.send(Event::Committed(result));
        });
    }

    /// Removes requests that stand in the log as jobs.
    fn remove_requests(&mut self, ids: Vec<JobKey>) {
        let node = self.node.clone();
        let part = Partition {
            topic: REQUESTS,
            number: self.part,
        };
        let keys = ids.iter().flat_map(|id| [id.to_string(), cancel_key(id)]);
        let entries: Vec<Entry> = keys.map(|key| Entry { key, value: None }).collect();
        self.tasks.spawn(async move {
            // What stays is found and removed by the next owner.
            if let Err(err) = node.log.append(part, None, &entries, CALL_TIMEOUT).await {
                watch::report_log_error(&node, "forget", &err);
            }
        });
    }
}

fn send_reply(reply: oneshot::Sender<Reply>, value: Reply) {
    // Whoever asked may have given up.
    let _ = reply.send(value);
}

fn count_order(node: &Node, order: &str, answer: OrderOutcome) {
    let outcome = match answer {
        OrderOutcome::Done { .. } => "done",
        OrderOutcome::Refused(_) => "refused",
        OrderOutcome::Lost => "lost",
    };
    node.metrics.orders.with_label_values(&[order, outcome]).inc();
}

/// Asks an owner in this process.
pub(crate) async fn call_local<F>(node: &Node, part: PartitionId, event: F) -> Reply
where
    F: FnOnce(oneshot::Sender<Reply>) -> Event,
{
    let Some(owned) = node.owned_partition(part) else {
        return Reply::NotOwner;
    };
    let (reply, answer) = oneshot::channel();
    if owned.events.send(event(reply)).is_err() {
        return Reply::Unavailable;
    }
    answer.await.unwrap_or(Reply::Unavailable)
}

/// Where the owner of a partition is, as far as this instance knows.
pub(crate) fn owner_address(node: &Node, part: PartitionId) -> Option<SocketAddr> {
    if node.owned_partition(part).is_some() {
        return Some(node.settings.peer_addr);
    }
    node.owners.load().get(&part).copied()
}
