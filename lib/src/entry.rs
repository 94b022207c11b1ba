//! The state machine of an entry instance.
//!
//! [`Entry::step`] takes one event and the clock and returns the actions to
//! perform. It does no I/O and reads no clock itself, so the daemon and the
//! virtual-time tests run the same code and differ only in what performs the
//! actions.
//!
//! This module holds the types and the tick. The other parts of the state
//! machine are in `admission` (submissions and queries), `dispatch` (tasks on
//! workers), `peer` (messages to other entries), `allotment` (slots of caps) and
//! `adopt` (fenced members and shutdown).

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use smallvec::SmallVec;

use crate::adopt::Adoption;
use crate::clock::Now;
use crate::event::{self, Kind};
use crate::health::WorkerHealth;
use crate::id::{Attempt, InstanceId, JobId, MemberId, Offset, OpId, RackId, TeamId};
use crate::job::{Completion, Job, NotRunReason, Outcome, Repeat, Status, UnknownReason};
use crate::log_sync::{self, LogSync};
use crate::platform::{self, ListedInstance, LogRead, Presence, TaskAttempt, WorkerRequest, WorkerResponse};
use crate::queue::TeamQueues;
use crate::record::Change;
use crate::replica::Replica;
use crate::setting;
use crate::state::State;
use crate::wire::{Frame, Gossip, Hold, Message};

pub use crate::config::{CapDivision, CatchUpSource, Policy, SchedulingPolicy, Settings, SettingsBuilder};

/// Identifies a caller's pending request; its [`Action::Reply`] carries the same id.
pub type RequestId = u64;
/// Identifies a call to a worker until it returns.
pub type CallId = u64;

/// An input of the state machine.
#[derive(Debug)]
pub enum Event {
    /// Runs the periodic work; sent every few tens of milliseconds.
    Tick,
    /// A read of the log has returned.
    Read {
        /// Monotonic instant just before the read was sent.
        sent: Duration,
        /// The entries read.
        result: Result<LogRead, platform::Error>,
    },
    /// An append to the log has returned.
    Appended(Result<Offset, platform::Error>),
    /// A read of the instance list has returned.
    Listed(Result<Vec<ListedInstance>, platform::Error>),
    /// A call to a worker has returned.
    CallReturned {
        /// Id from the [`Action::Call`].
        id: CallId,
        /// Monotonic instant just before the call was sent.
        sent: Duration,
        /// The worker's response.
        result: Result<WorkerResponse, platform::Error>,
    },
    /// A frame from a peer has arrived.
    FrameReceived(Frame),
    /// A caller submits a job; its key has already been verified.
    Submit {
        /// Request to answer once the job has ended.
        request_id: RequestId,
        /// The job to run.
        job: Job,
    },
    /// A caller asks for the status of a job.
    Query {
        /// Request to answer.
        request_id: RequestId,
        /// Id of the job.
        job: JobId,
        /// When to answer.
        wait: Wait,
    },
    /// A caller cancels a job.
    Cancel {
        /// Id of the job.
        job: JobId,
    },
    /// The caller of this request has disconnected and needs no reply.
    CallerDisconnected(RequestId),
    /// An operator blocks starts directly, ahead of the record in the log.
    Hold(Hold),
    /// Requests a graceful stop of the process.
    Stop,
}

/// When a query is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wait {
    /// Once the job has ended.
    UntilEnded,
    /// Immediately, with the current status.
    No,
}

/// An output of the state machine, for its caller to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a request to the log.
    Log(log_sync::LogRequest),
    /// Read the instance list.
    List,
    /// Call a worker.
    Call {
        /// Id to return with the response in [`Event::CallReturned`].
        id: CallId,
        /// Instance that the worker runs on.
        instance: InstanceId,
        /// Address of the worker.
        addr: SocketAddr,
        /// Request to send.
        request: WorkerRequest,
    },
    /// Send messages to a peer.
    Send {
        /// Member that receives the frame.
        to: MemberId,
        /// Address of that member.
        addr: SocketAddr,
        /// Frame to send.
        frame: Frame,
    },
    /// Answer a caller.
    Reply {
        /// Request that this answers.
        request_id: RequestId,
        /// Status of the job; `None` if no entry that was asked has it.
        status: Option<Status>,
    },
}

/// State machine of one incarnation of an entry instance.
#[derive(Debug)]
pub struct Entry {
    pub(crate) settings: Settings,
    pub(crate) log: LogSync,
    /// A read of the instance list has been requested and has not returned.
    pub(crate) list_pending: bool,
    pub(crate) peers: BTreeMap<MemberId, PeerState>,
    /// When each unanswered `Pull` was sent, by its nonce.
    pub(crate) pending_pulls: BTreeMap<u64, Duration>,
    pub(crate) jobs: BTreeMap<JobId, LocalJob>,
    /// Jobs that have not ended, ordered by deadline (wall clock, in milliseconds).
    pub(crate) deadlines: BTreeSet<(u64, JobId)>,
    pub(crate) queues: TeamQueues,
    /// Tasks whose slots are counted as used.
    pub(crate) tasks: BTreeMap<TaskAttempt, RunningTask>,
    pub(crate) calls: BTreeMap<CallId, CallPurpose>,
    pub(crate) workers: BTreeMap<InstanceId, WorkerState>,
    /// Latest instance list; `None` before the first read. Missing instances are gone.
    pub(crate) presence: Option<BTreeMap<InstanceId, Presence>>,
    pub(crate) worker_health: WorkerHealth,
    pub(crate) run_times: crate::estimate::RunTimes,
    pub(crate) allotments: crate::allotment::Allotments,
    /// Set while this entry takes over the tasks of fenced members.
    pub(crate) adoption: Option<Adoption>,
    /// When this entry learned of each membership epoch, by its wall clock.
    pub(crate) epochs_known_at: crate::member::EpochTimes,
    pub(crate) searches: BTreeMap<JobId, JobSearch>,
    /// Jobs of which an assignment was declined, with the instant. A decline is final,
    /// so a delayed copy of the assignment is declined as well.
    pub(crate) declined: BTreeMap<JobId, Duration>,
    /// Blocks on starts, with the instant at which an operator set each.
    pub(crate) holds: BTreeMap<Hold, Duration>,
    pub(crate) lifecycle: Lifecycle,
    pub(crate) events: event::EventBuffer,
    pub(crate) actions: Vec<Action>,
    /// Messages to be sent at the end of this step, by peer.
    pub(crate) outbox: BTreeMap<MemberId, Vec<Message>>,
    pub(crate) timers: Timers,
    pub(crate) counters: Counters,
    next_call: CallId,
}

/// Lifecycle state of an entry instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// Its own `Join` record has not been applied yet.
    Joining,
    /// Accepts and starts jobs.
    Active,
    /// A graceful stop was requested; jobs are finished or delegated.
    Stopping {
        /// When the stop was requested.
        since: Duration,
    },
    /// Fenced by a record; its running tasks belong to the member that adopts them.
    Fenced {
        /// When this entry applied the record.
        since: Duration,
    },
    /// No work is left; the process can exit.
    Finished,
}

/// Totals since this incarnation began, exported as metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Jobs accepted from callers and peers.
    pub accepted: u64,
    /// Task starts sent to workers.
    pub started: u64,
    /// Jobs that ran to a complete answer, successful or not.
    pub done: u64,
    /// Jobs that ended without being started.
    pub not_run: u64,
    /// Jobs that ended without knowing whether they ran.
    pub unknown: u64,
    /// Task answers discarded because they were truncated or belonged to another task.
    pub discarded_answers: u64,
    /// Append requests sent to the log.
    pub appends: u64,
    /// Task starts that a worker refused.
    pub refused: u64,
}

/// Monotonic instants that the periodic work depends on.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    pub(crate) last_tick: Duration,
    /// End of the last pause of this process; earlier silence of peers is ignored.
    pub(crate) resumed_at: Duration,
    pub(crate) next_gossip_at: Duration,
    pub(crate) next_list_at: Duration,
    pub(crate) next_allotment_at: Duration,
    pub(crate) next_pull_at: Duration,
    pub(crate) next_delegation_check_at: Duration,
}

/// What this entry knows of another member.
#[derive(Debug, Default)]
pub(crate) struct PeerState {
    /// When the last frame from the peer arrived.
    pub(crate) last_heard_at: Duration,
    pub(crate) gossip: Gossip,
    /// When the latest answered `Pull` was sent, if the peer's answer confirmed
    /// that the log is down for it and that its replica is not ahead of this one.
    pub(crate) outage_agreed_at: Option<Duration>,
}

/// What this entry knows of a worker beyond the shared state.
#[derive(Debug, Default)]
pub(crate) struct WorkerState {
    /// Tasks of this entry on the worker.
    pub(crate) own_tasks: u32,
    /// No starts before this instant, because the worker reported that it was full.
    pub(crate) full_until: Duration,
    /// No starts before this instant, because the worker was unreachable or leaving.
    pub(crate) avoid_until: Duration,
    /// Current backoff after failed calls; zero once a start has succeeded.
    pub(crate) avoid_backoff: Duration,
}

/// A job that this entry has accepted; removed some time after it has ended.
#[derive(Debug)]
pub(crate) struct LocalJob {
    pub(crate) job: Job,
    /// Requests to answer when the job ends.
    pub(crate) waiting_requests: SmallVec<[RequestId; 1]>,
    /// Members to report the outcome to until they acknowledge it.
    pub(crate) report_to: SmallVec<[MemberId; 1]>,
    pub(crate) phase: Phase,
    /// Number of the latest attempt; zero before the first.
    pub(crate) attempts: Attempt,
    /// An attempt was made that may have run, so "not run" is no longer a valid outcome.
    pub(crate) may_have_run: bool,
    /// Workers, with their racks, that answered with a failure.
    pub(crate) failed_on: SmallVec<[(InstanceId, RackId); 2]>,
    pub(crate) accepted_at: Duration,
}

/// Where a job stands at this entry.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Phase {
    /// Must not be repeated, and this entry has not yet established who owns its id.
    Claiming,
    /// In its team's queue.
    Queued,
    /// Not started here. Before it ends as "not run", peers are asked whether
    /// they have it.
    Confirming(NotRunReason),
    /// Started on a worker, or the start is under way.
    Running(TaskAttempt),
    /// Assigned to another entry, which may not have confirmed it yet.
    Delegated(Delegation),
    /// Ended with this outcome.
    Ended(Outcome),
}

/// An assignment of a job to another entry.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Delegation {
    pub(crate) to: MemberId,
    pub(crate) role: crate::wire::Role,
    /// Whether the other entry has reported that it has the job.
    pub(crate) acked: bool,
    /// When the assignment was last sent or confirmed.
    pub(crate) last_exchange_at: Duration,
}

/// A task on a worker that holds a slot of this entry.
#[derive(Debug)]
pub(crate) struct RunningTask {
    pub(crate) team: TeamId,
    pub(crate) instance: InstanceId,
    pub(crate) addr: SocketAddr,
    pub(crate) started_at: Duration,
    /// The worker refuses the start after this instant.
    pub(crate) start_by: Duration,
    /// Whether the worker has confirmed that the task started.
    pub(crate) start_confirmed: bool,
    /// When the lease has expired at the latest, also by the worker's clock.
    pub(crate) lease_expires_at: Duration,
    pub(crate) next_renewal_at: Duration,
    /// When to send the next wait; `None` while one is under way.
    pub(crate) next_wait_at: Option<Duration>,
    /// The job has ended or continues without this task. Its slot stays in use
    /// until the task ends or its lease expires.
    pub(crate) detached: bool,
}

/// Why a worker was called, to interpret its response.
#[derive(Clone, Debug)]
pub(crate) enum CallPurpose {
    Start(TaskAttempt),
    Wait(TaskAttempt),
    Renew(TaskAttempt),
    Stop,
    List(InstanceId),
    Adopt(TaskAttempt, InstanceId),
}

/// A job that peers have been asked for.
#[derive(Debug, Default)]
pub(crate) struct JobSearch {
    /// Queries to answer when the job is found or the search expires.
    pub(crate) waiting_requests: SmallVec<[RequestId; 1]>,
    /// Members that answered that they do not have the job and will not accept
    /// it as its owner.
    pub(crate) members_without_job: BTreeSet<MemberId>,
    pub(crate) expires_at: Duration,
}

impl Entry {
    /// Creates a new incarnation and queues the record that joins it to the members.
    pub fn new(settings: Settings, replica: Replica, now: Now) -> Entry {
        let mut events = event::EventBuffer::new(settings.id.clone());
        events.push(
            now,
            Kind::Began {
                zone: settings.zone.clone(),
            },
        );
        let mut entry = Entry {
            log: LogSync::new(&settings.id, replica, settings.seed),
            list_pending: false,
            peers: BTreeMap::new(),
            pending_pulls: BTreeMap::new(),
            jobs: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            queues: TeamQueues::default(),
            tasks: BTreeMap::new(),
            calls: BTreeMap::new(),
            workers: BTreeMap::new(),
            presence: None,
            worker_health: WorkerHealth::default(),
            run_times: crate::estimate::RunTimes::default(),
            allotments: crate::allotment::Allotments::default(),
            adoption: None,
            epochs_known_at: BTreeMap::new(),
            searches: BTreeMap::new(),
            declined: BTreeMap::new(),
            holds: BTreeMap::new(),
            lifecycle: Lifecycle::Joining,
            events,
            actions: Vec::new(),
            outbox: BTreeMap::new(),
            timers: Timers {
                last_tick: now.mono,
                ..Timers::default()
            },
            counters: Counters::default(),
            next_call: 0,
            settings,
        };
        let join = Change::Join {
            id: entry.settings.id.clone(),
            zone: entry.settings.zone.clone(),
            addr: entry.settings.addr,
        };
        entry.append(now, join);
        entry
    }

    /// Processes one event, starts queued jobs, and returns the resulting actions.
    pub fn step(&mut self, now: Now, event: Event) -> Vec<Action> {
        match event {
            Event::Tick => self.tick(now),
            Event::Read { sent, result } => self.on_read(now, sent, result),
            Event::Appended(result) => self.log.on_appended(now, result),
            Event::Listed(result) => self.on_listed(result),
            Event::CallReturned { id, sent, result } => self.on_call_returned(now, id, sent, result),
            Event::FrameReceived(frame) => self.on_frame(now, frame),
            Event::Submit { request_id, job } => self.on_submit(now, request_id, job),
            Event::Query { request_id, job, wait } => self.on_query(now, request_id, job, wait),
            Event::Cancel { job } => self.on_cancel(now, job),
            Event::CallerDisconnected(request_id) => self.on_caller_disconnected(request_id),
            Event::Hold(hold) => self.on_hold(now, hold),
            Event::Stop => self.on_stop(now),
        }
        self.dispatch(now);
        self.flush();
        std::mem::take(&mut self.actions)
    }

    /// The shared state as of the last log entry applied.
    pub fn state(&self) -> &State {
        self.log.state()
    }

    /// Settings of this incarnation.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Team of a job; `None` if this entry does not have the job.
    pub fn team_of(&self, job: &JobId) -> Option<TeamId> {
        self.jobs.get(job).map(|it| it.job.team.clone())
    }

    /// Number of tasks that use the team's allotment, for each team with any.
    pub fn running_by_team(&self) -> impl Iterator<Item = (&TeamId, u64)> {
        self.allotments.used_by_team()
    }

    /// Current lifecycle state.
    pub fn lifecycle(&self) -> Lifecycle {
        self.lifecycle
    }

    /// Totals for metrics.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Recent events of this instance.
    pub fn events(&self) -> &event::EventBuffer {
        &self.events
    }

    /// Age of this entry's view of the log; `None` before the first complete read.
    pub fn view_age(&self, now: Now) -> Option<Duration> {
        self.log.replica().age(now.mono)
    }

    /// Number of queued jobs.
    pub fn queued_jobs(&self) -> usize {
        self.queues.total()
    }

    /// Number of tasks that use slots, including detached ones.
    pub fn running_tasks(&self) -> usize {
        self.tasks.len()
    }

    /// All jobs of this entry with their teams and statuses.
    pub fn jobs(&self) -> impl Iterator<Item = (&JobId, &TeamId, Status)> {
        self.jobs.iter().map(|(id, local)| (id, &local.job.team, local.status()))
    }

    fn tick(&mut self, now: Now) {
        self.detect_pause(now);
        self.list_instances(now);
        self.expire(now);
        self.retry_claims(now);
        self.retry_refusals(now);
        self.maintain_tasks(now);
        self.retry_delegations(now);
        self.expire_searches(now);
        self.balance_allotments(now);
        self.monitor_members(now);
        self.advance_lifecycle(now);
        self.send_gossip(now);
        self.send_log_requests(now);
    }

    /// Records when the process resumed after a pause. No frames were handled during the
    /// pause, so the silence of peers does not mean that they failed.
    fn detect_pause(&mut self, now: Now) {
        const MAX_TICK_INTERVAL: Duration = Duration::from_millis(500);
        if MAX_TICK_INTERVAL < now.mono - self.timers.last_tick {
            self.timers.resumed_at = now.mono;
        }
        self.timers.last_tick = now.mono;
    }

    fn on_read(&mut self, now: Now, sent: Duration, result: Result<LogRead, platform::Error>) {
        if self.log.on_read(now, sent, result) {
            self.on_state(now);
        }
        self.send_log_requests(now);
    }

    /// Sends the log requests that are due.
    fn send_log_requests(&mut self, now: Now) {
        for request in self.log.take_due_requests(now) {
            if matches!(request, log_sync::LogRequest::Append(_)) {
                self.counters.appends += 1;
            }
            self.actions.push(Action::Log(request));
        }
    }

    /// Updates whatever depends on the shared state, after new log entries were applied to it.
    pub(crate) fn on_state(&mut self, now: Now) {
        self.clear_resolved_records();
        self.log.state().roster.record_epochs(&mut self.epochs_known_at, now.wall_ms());
        self.refuse_withdrawn_jobs(now);
        self.record_zone_state(now);
        let state = self.log.state();
        let member = state.roster.get(&self.settings.id);
        let active = member.is_some_and(|it| it.phase == crate::member::Phase::Active);
        match self.lifecycle {
            Lifecycle::Joining if active => self.lifecycle = Lifecycle::Active,
            Lifecycle::Active | Lifecycle::Stopping { .. } if !active => self.lifecycle = Lifecycle::Fenced { since: now.mono },
            _ => {}
        }
    }

    /// Adds an event when the state of this entry's zone was changed by a new record.
    fn record_zone_state(&mut self, now: Now) {
        let state = self.log.state();
        let found = state.tree.explain(&crate::state::zone_path(&self.settings.zone), setting::STATE);
        let Some(offset) = found.offset else {
            return;
        };
        if self.allotments.recorded_zone_offset == Some(offset) {
            return;
        }
        self.allotments.recorded_zone_offset = Some(offset);
        self.events.push(
            now,
            Kind::Zone {
                zone: self.settings.zone.clone(),
                state: found.text,
                offset,
            },
        );
    }

    /// Removes resolved records from the pending grants and transfers.
    fn clear_resolved_records(&mut self) {
        for resolved in self.log.take_resolved() {
            self.allotments.clear_pending(resolved.record.op);
        }
    }

    /// Queues a record to be appended until its outcome is known.
    pub(crate) fn append(&mut self, now: Now, change: Change) -> OpId {
        self.log.append(now, change)
    }

    /// Requests the instance list once a second.
    fn list_instances(&mut self, now: Now) {
        const INTERVAL: Duration = Duration::from_millis(1_000);
        if self.list_pending || now.mono < self.timers.next_list_at {
            return;
        }
        self.timers.next_list_at = now.mono + INTERVAL;
        self.list_pending = true;
        self.actions.push(Action::List);
    }

    fn on_listed(&mut self, result: Result<Vec<ListedInstance>, platform::Error>) {
        self.list_pending = false;
        if let Ok(list) = result {
            let presence = list.into_iter().map(|it| (it.id, it.presence)).collect();
            self.presence = Some(presence);
        }
    }

    /// Sends a request to a worker and remembers how to handle the response.
    pub(crate) fn call(&mut self, purpose: CallPurpose, instance: InstanceId, addr: SocketAddr, request: WorkerRequest) {
        self.next_call += 1;
        let id = self.next_call;
        self.calls.insert(id, purpose);
        self.actions.push(Action::Call {
            id,
            instance,
            addr,
            request,
        });
    }

    fn on_hold(&mut self, now: Now, hold: Hold) {
        self.holds.entry(hold).or_insert(now.mono);
    }

    /// Handles passed deadlines and removes ended jobs that are older than the retention.
    fn expire(&mut self, now: Now) {
        self.expire_holds();
        while let Some((deadline, id)) = self.deadlines.first().copied() {
            if now.wall_ms() < deadline {
                break;
            }
            self.deadlines.pop_first();
            self.on_deadline(now, id);
        }
        let retention = self.settings.id_retention;
        let expired = |it: &LocalJob| it.phase.is_ended() && it.accepted_at + retention < now.mono;
        self.jobs.retain(|_, local| !expired(local));
        self.declined.retain(|_, since| now.mono < *since + retention);
    }

    /// Removes holds that are no longer in force.
    fn expire_holds(&mut self) {
        let ended = self.holds.iter().filter(|(hold, since)| !self.is_hold_in_force(hold, **since));
        let ended: Vec<Hold> = ended.map(|(hold, _)| hold.clone()).collect();
        self.holds.retain(|hold, _| !ended.contains(hold));
    }

    /// Whether a hold that an operator set at `since` is still needed. It ends
    /// when its record has been applied, or when the record is still missing
    /// from a view of the log that is 10 s younger than the hold.
    pub(crate) fn is_hold_in_force(&self, hold: &Hold, since: Duration) -> bool {
        const MAX_RECORD_DELAY: Duration = Duration::from_secs(10);
        let state = self.log.state();
        let recorded = match hold {
            Hold::Zone(zone) => state.tree.get(&crate::state::zone_path(zone), setting::STATE) == "out",
            Hold::Key(key) => state.keys.ensure_not_withdrawn(key).is_err(),
        };
        let view_time = self.log.replica().current_as_of().unwrap_or_default();
        !recorded && view_time < since + MAX_RECORD_DELAY
    }

    /// Ends a job, answers its callers and reports to the members that assigned it.
    pub(crate) fn finish(&mut self, now: Now, id: JobId, outcome: Outcome) {
        let Some(local) = self.jobs.get_mut(&id) else {
            return;
        };
        if matches!(local.phase, Phase::Ended(_)) {
            return;
        }
        let outcome = local.known_outcome(outcome);
        let (team, class, deadline) = (local.job.team.clone(), local.job.class, local.job.deadline_ms);
        local.phase = Phase::Ended(outcome.clone());
        local.job.payload = Bytes::new();
        let waiting = std::mem::take(&mut local.waiting_requests);
        let members = local.report_to.clone();
        self.deadlines.remove(&(deadline, id));
        self.queues.remove(&team, class, id);
        self.count_outcome(&outcome);
        self.events.push(
            now,
            Kind::Finished {
                job: id,
                team,
                outcome: outcome.describe(),
            },
        );
        for request_id in waiting {
            let status = Some(Status::Ended(outcome.clone()));
            self.actions.push(Action::Reply { request_id, status });
        }
        for member in members {
            let report = Message::Report {
                job: id,
                status: Status::Ended(outcome.clone()),
            };
            self.send(&member, report);
        }
    }

    fn count_outcome(&mut self, outcome: &Outcome) {
        match outcome {
            Outcome::Done(_) => self.counters.done += 1,
            Outcome::NotRun(_) => self.counters.not_run += 1,
            Outcome::Unknown(_) => self.counters.unknown += 1,
        }
    }

    fn on_caller_disconnected(&mut self, request_id: RequestId) {
        for local in self.jobs.values_mut() {
            local.waiting_requests.retain(|it| *it != request_id);
        }
        for search in self.searches.values_mut() {
            search.waiting_requests.retain(|it| *it != request_id);
        }
    }
}

impl LocalJob {
    pub(crate) fn new(job: Job, now: Now, phase: Phase) -> LocalJob {
        LocalJob {
            job,
            waiting_requests: SmallVec::new(),
            report_to: SmallVec::new(),
            phase,
            attempts: 0,
            may_have_run: false,
            failed_on: SmallVec::new(),
            accepted_at: now.mono,
        }
    }

    pub(crate) fn status(&self) -> Status {
        match &self.phase {
            Phase::Claiming | Phase::Queued | Phase::Confirming(_) | Phase::Delegated(_) => Status::Queued,
            Phase::Running(_) => Status::Running,
            Phase::Ended(outcome) => Status::Ended(outcome.clone()),
        }
    }

    /// Replaces "not run" by "unknown" if an attempt may have run.
    fn known_outcome(&self, outcome: Outcome) -> Outcome {
        match outcome {
            Outcome::NotRun(NotRunReason::Deadline) if self.may_have_run => Outcome::Unknown(UnknownReason::Deadline),
            Outcome::NotRun(NotRunReason::Cancelled) if self.may_have_run => Outcome::Unknown(UnknownReason::Cancelled),
            Outcome::NotRun(_) if self.may_have_run => Outcome::Unknown(UnknownReason::WorkerLost),
            outcome => outcome,
        }
    }

    /// Whether the job must not be started a second time.
    pub(crate) fn is_at_most_once(&self) -> bool {
        self.job.repeat == Repeat::Forbidden
    }
}

impl Phase {
    pub(crate) fn is_ended(&self) -> bool {
        matches!(self, Phase::Ended(_))
    }
}

impl Outcome {
    /// Short text for the event of the job's end.
    pub fn describe(&self) -> String {
        match self {
            Outcome::Done(Completion { success: true, .. }) => "done".to_owned(),
            Outcome::Done(Completion { success: false, .. }) => "failed".to_owned(),
            Outcome::NotRun(reason) => format!("not run: {reason}"),
            Outcome::Unknown(reason) => format!("unknown: {reason}"),
        }
    }
}
