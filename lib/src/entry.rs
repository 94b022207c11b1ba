//! The state machine of an entry instance.
//!
//! Events come in with the clock, actions go out as values; the daemon and the
//! virtual-time tests differ only in who carries the actions out.

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
use crate::log_client::{self, LogClient};
use crate::platform::{self, ListedInstance, LogRead, Presence, TaskAttempt, WorkerRequest, WorkerResponse};
use crate::queue::TeamQueues;
use crate::record::Change;
use crate::replica::Replica;
use crate::setting;
use crate::state::State;
use crate::wire::{Frame, Gossip, Hold, Message};

pub use crate::config::{CapDivision, CatchUpSource, Policy, SchedulingPolicy, Settings, SettingsBuilder};

/// A caller waiting for an answer.
pub type RequestId = u64;
/// A call to a worker that has not returned.
pub type CallId = u64;

/// What an entry is told.
#[derive(Debug)]
pub enum Event {
    /// Time has passed; sent every few tens of milliseconds.
    Tick,
    /// A read of the log returned.
    Read {
        /// Monotonic instant before the read was sent.
        sent: Duration,
        /// What it returned.
        result: Result<LogRead, platform::Error>,
    },
    /// An append returned.
    Appended(Result<Offset, platform::Error>),
    /// The instance list was read.
    Listed(Result<Vec<ListedInstance>, platform::Error>),
    /// A call to a worker returned.
    CallReturned {
        /// The call.
        id: CallId,
        /// Monotonic instant before it was sent.
        sent: Duration,
        /// What it returned.
        result: Result<WorkerResponse, platform::Error>,
    },
    /// A frame came from a peer.
    FrameReceived(Frame),
    /// A caller submits a job whose key has been checked.
    Submit {
        /// Where the answer goes.
        request_id: RequestId,
        /// The job.
        job: Job,
    },
    /// A caller asks for a job's state.
    Query {
        /// Where the answer goes.
        request_id: RequestId,
        /// The job.
        job: JobId,
        /// Whether the answer may wait until the job has ended.
        wait: Wait,
    },
    /// A caller cancels a job.
    Cancel {
        /// The job.
        job: JobId,
    },
    /// A caller no longer waits.
    CallerDisconnected(RequestId),
    /// An operator restricts starts directly.
    Hold(Hold),
    /// The process is asked to stop.
    Stop,
}

/// Whether an answer may wait until the job has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wait {
    /// Answer when it has ended.
    UntilEnded,
    /// Answer at once.
    No,
}

/// What an entry wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Ask the log.
    Log(log_client::LogRequest),
    /// Read the instance list.
    List,
    /// Call a worker.
    Call {
        /// Names the call in its return.
        id: CallId,
        /// The worker.
        instance: InstanceId,
        /// Its address.
        addr: SocketAddr,
        /// The request.
        request: WorkerRequest,
    },
    /// Send messages to a peer.
    Send {
        /// The peer.
        to: MemberId,
        /// Its address.
        addr: SocketAddr,
        /// The messages.
        frame: Frame,
    },
    /// Answer a caller.
    Reply {
        /// The caller.
        request_id: RequestId,
        /// The answer; `None` if the job is not known.
        status: Option<Status>,
    },
}

/// One entry instance.
#[derive(Debug)]
pub struct Entry {
    pub(crate) cfg: Settings,
    pub(crate) journal: LogClient,
    pub(crate) list_pending: bool,
    pub(crate) peers: BTreeMap<MemberId, PeerState>,
    pub(crate) pending_pulls: BTreeMap<u64, Duration>,
    pub(crate) jobs: BTreeMap<JobId, LocalJob>,
    pub(crate) deadlines: BTreeSet<(u64, JobId)>,
    pub(crate) queues: TeamQueues,
    pub(crate) tasks: BTreeMap<TaskAttempt, RunningTask>,
    pub(crate) calls: BTreeMap<CallId, CallPurpose>,
    pub(crate) workers: BTreeMap<InstanceId, WorkerState>,
    pub(crate) presence: Option<BTreeMap<InstanceId, Presence>>,
    pub(crate) worker_health: WorkerHealth,
    pub(crate) run_times: crate::estimate::RunTimes,
    pub(crate) allotments: crate::allotment::Allotments,
    pub(crate) adoption: Option<Adoption>,
    /// When this entry first knew of each membership epoch.
    pub(crate) epochs_known_at: crate::member::EpochTimes,
    pub(crate) searches: BTreeMap<JobId, JobSearch>,
    /// Jobs refused to peers for good; a late copy must not be taken.
    pub(crate) declined: BTreeMap<JobId, Duration>,
    pub(crate) holds: BTreeMap<Hold, Duration>,
    pub(crate) lifecycle: Lifecycle,
    pub(crate) events: event::EventBuffer,
    pub(crate) actions: Vec<Action>,
    pub(crate) outbox: BTreeMap<MemberId, Vec<Message>>,
    pub(crate) timers: Timers,
    pub(crate) counters: Counters,
    next_call: CallId,
}

/// Phase of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// Waits for its own `Join` to be applied.
    Joining,
    /// Takes work.
    Active,
    /// Hands its work over.
    Stopping {
        /// When it was asked to stop.
        since: Duration,
    },
    /// Fenced by a record; running tasks belong to the adopter.
    Fenced {
        /// When it learned so.
        since: Duration,
    },
    /// Nothing is left to do.
    Finished,
}

/// Counts for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Jobs accepted.
    pub accepted: u64,
    /// Tasks handed to workers.
    pub started: u64,
    /// Jobs done.
    pub done: u64,
    /// Jobs not run.
    pub not_run: u64,
    /// Jobs that may have run.
    pub unknown: u64,
    /// Answers dropped because they were late, crossed or cut short.
    pub discarded_answers: u64,
    /// Appends to the log.
    pub appends: u64,
    /// Starts that a worker refused.
    pub refused: u64,
}

#[derive(Debug, Default)]
pub(crate) struct Timers {
    pub(crate) last_tick: Duration,
    pub(crate) resumed_at: Duration,
    pub(crate) next_gossip_at: Duration,
    pub(crate) next_list_at: Duration,
    pub(crate) next_allotment_at: Duration,
    pub(crate) next_pull_at: Duration,
    pub(crate) next_delegation_check_at: Duration,
}

#[derive(Debug, Default)]
pub(crate) struct PeerState {
    pub(crate) last_heard_at: Duration,
    pub(crate) gossip: Gossip,
    /// When it was asked, if it answered that the log is down and it knows no more.
    pub(crate) outage_agreed_at: Option<Duration>,
}

#[derive(Debug, Default)]
pub(crate) struct WorkerState {
    pub(crate) own_tasks: u32,
    pub(crate) full_until: Duration,
    pub(crate) avoid_until: Duration,
    pub(crate) avoid_backoff: Duration,
}

/// A job at this entry.
#[derive(Debug)]
pub(crate) struct LocalJob {
    pub(crate) job: Job,
    pub(crate) waiting_requests: SmallVec<[RequestId; 1]>,
    pub(crate) report_to: SmallVec<[MemberId; 1]>,
    pub(crate) phase: Phase,
    pub(crate) attempts: Attempt,
    /// A try was made whose end is not known, so "not run" would not be true.
    pub(crate) may_have_run: bool,
    pub(crate) failed_on: SmallVec<[(InstanceId, RackId); 2]>,
    pub(crate) accepted_at: Duration,
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Phase {
    /// Waits until ownership of its id is start_confirmed.
    Claiming,
    /// Stands in its team's queue.
    Queued,
    /// Not started here; peers are asked whether they have it before it is refused.
    Confirming(NotRunReason),
    /// A worker has it.
    Running(TaskAttempt),
    /// Another entry has it, or is being asked.
    Delegated(Delegation),
    /// Ended.
    Ended(Outcome),
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Delegation {
    pub(crate) to: MemberId,
    pub(crate) role: crate::wire::Role,
    pub(crate) acked: bool,
    pub(crate) last_sent_at: Duration,
}

#[derive(Debug)]
pub(crate) struct RunningTask {
    pub(crate) team: TeamId,
    pub(crate) instance: InstanceId,
    pub(crate) addr: SocketAddr,
    pub(crate) started: Duration,
    pub(crate) start_by: Duration,
    pub(crate) start_confirmed: bool,
    pub(crate) lease_expires_at: Duration,
    pub(crate) renew_at: Duration,
    pub(crate) wait_at: Option<Duration>,
    /// The job went on elsewhere; the slot is counted until the lease ends.
    pub(crate) detached: bool,
}

#[derive(Clone, Debug)]
pub(crate) enum CallPurpose {
    Start(TaskAttempt),
    Wait(TaskAttempt),
    Renew(TaskAttempt),
    Stop,
    List(InstanceId),
    Adopt(TaskAttempt, InstanceId),
}

#[derive(Debug, Default)]
pub(crate) struct JobSearch {
    pub(crate) waiting_requests: SmallVec<[RequestId; 1]>,
    /// Peers that do not have the job and will not take it as owner.
    pub(crate) absent_at: BTreeSet<MemberId>,
    pub(crate) expires_at: Duration,
}

impl Entry {
    /// A new incarnation; it joins through the log.
    pub fn new(cfg: Settings, replica: Replica, now: Now) -> Entry {
        let mut events = event::EventBuffer::new(cfg.id.clone());
        events.push(now, Kind::Began { zone: cfg.zone.clone() });
        let mut entry = Entry {
            journal: LogClient::new(&cfg.id, replica, cfg.seed),
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
            cfg,
        };
        let join = Change::Join {
            id: entry.cfg.id.clone(),
            zone: entry.cfg.zone.clone(),
            addr: entry.cfg.addr,
        };
        entry.append(now, join);
        entry
    }

    /// Takes one event in and returns what is to be done.
    pub fn step(&mut self, now: Now, event: Event) -> Vec<Action> {
        match event {
            Event::Tick => self.tick(now),
            Event::Read { sent, result } => self.on_read(now, sent, result),
            Event::Appended(result) => self.journal.on_appended(now, result),
            Event::Listed(result) => self.on_listed(result),
            Event::CallReturned { id, sent, result } => self.on_called(now, id, sent, result),
            Event::FrameReceived(frame) => self.on_frame(now, frame),
            Event::Submit { request_id, job } => self.on_submit(now, request_id, job),
            Event::Query { request_id, job, wait } => self.on_query(now, request_id, job, wait),
            Event::Cancel { job } => self.on_cancel(now, job),
            Event::CallerDisconnected(request_id) => self.on_dropped(request_id),
            Event::Hold(hold) => self.on_hold(now, hold),
            Event::Stop => self.on_stop(now),
        }
        self.dispatch(now);
        self.flush();
        std::mem::take(&mut self.actions)
    }

    /// The shared state as this entry knows it.
    pub fn state(&self) -> &State {
        self.journal.state()
    }

    /// The settings.
    pub fn settings(&self) -> &Settings {
        &self.cfg
    }

    /// Team of a job known here.
    pub fn team_of(&self, job: &JobId) -> Option<TeamId> {
        self.jobs.get(job).map(|it| it.job.team.clone())
    }

    /// Tasks counted against allotments, by team.
    pub fn running_by_team(&self) -> impl Iterator<Item = (&TeamId, u64)> {
        self.allotments.used_by_team()
    }

    /// Phase of the process.
    pub fn lifecycle(&self) -> Lifecycle {
        self.lifecycle
    }

    /// Counts for metrics.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// The latest events.
    pub fn events(&self) -> &event::EventBuffer {
        &self.events
    }

    /// Age of what this entry has seen of the log.
    pub fn view_age(&self, now: Now) -> Option<Duration> {
        self.journal.replica().age(now.mono)
    }

    /// Number of queued jobs.
    pub fn queued_jobs(&self) -> usize {
        self.queues.total()
    }

    /// Number of tasks counted against allotments.
    pub fn running_tasks(&self) -> usize {
        self.tasks.len()
    }

    /// Jobs known here with their teams and states.
    pub fn jobs(&self) -> impl Iterator<Item = (&JobId, &TeamId, Status)> {
        self.jobs.iter().map(|(id, held)| (id, &held.job.team, held.status()))
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
        self.gossip(now);
        self.ask_log(now);
    }

    /// After a pause of this process every peer looks silent, which proves nothing.
    fn detect_pause(&mut self, now: Now) {
        const LONGEST_TICK: Duration = Duration::from_millis(500);
        if LONGEST_TICK < now.mono - self.timers.last_tick {
            self.timers.resumed_at = now.mono;
        }
        self.timers.last_tick = now.mono;
    }

    fn on_read(&mut self, now: Now, sent: Duration, result: Result<LogRead, platform::Error>) {
        if self.journal.on_read(now, sent, result) {
            self.on_state(now);
        }
        self.ask_log(now);
    }

    /// Sends what is due to the log.
    fn ask_log(&mut self, now: Now) {
        for request in self.journal.take_due_requests(now) {
            if matches!(request, log_client::LogRequest::Append(_)) {
                self.counters.appends += 1;
            }
            self.actions.push(Action::Log(request));
        }
    }

    /// Reacts to a newer state.
    pub(crate) fn on_state(&mut self, now: Now) {
        self.settle_pending_records();
        self.journal.state().roster.record_epochs(&mut self.epochs_known_at, now.wall_ms());
        self.drop_withdrawn(now);
        self.record_zone_state(now);
        let state = self.journal.state();
        let here = state.roster.get(&self.cfg.id);
        let active = here.is_some_and(|it| it.phase == crate::member::Phase::Active);
        match self.lifecycle {
            Lifecycle::Joining if active => self.lifecycle = Lifecycle::Active,
            Lifecycle::Active | Lifecycle::Stopping { .. } if !active => self.lifecycle = Lifecycle::Fenced { since: now.mono },
            _ => {}
        }
    }

    fn record_zone_state(&mut self, now: Now) {
        let state = self.journal.state();
        let found = state.tree.explain(&crate::state::zone_path(&self.cfg.zone), setting::STATE);
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
                zone: self.cfg.zone.clone(),
                state: found.text,
                offset,
            },
        );
    }

    fn settle_pending_records(&mut self) {
        for fate in self.journal.take_resolved() {
            self.allotments.record_resolved(fate.record.op);
        }
    }

    /// TeamQueues a record for the next append.
    pub(crate) fn append(&mut self, now: Now, change: Change) -> OpId {
        self.journal.append(now, change)
    }

    fn list_instances(&mut self, now: Now) {
        const EVERY: Duration = Duration::from_millis(1_000);
        if self.list_pending || now.mono < self.timers.next_list_at {
            return;
        }
        self.timers.next_list_at = now.mono + EVERY;
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

    /// Ends jobs whose deadline has passed and forgets old ones.
    fn expire(&mut self, now: Now) {
        self.expire_holds();
        while let Some((deadline, id)) = self.deadlines.first().copied() {
            if now.wall_ms() < deadline {
                break;
            }
            self.deadlines.pop_first();
            self.on_deadline(now, id);
        }
        let keep = self.cfg.id_retention;
        let old = |it: &LocalJob| it.phase.is_over() && it.accepted_at + keep < now.mono;
        self.jobs.retain(|_, held| !old(held));
        self.declined.retain(|_, since| now.mono < *since + keep);
    }

    /// A hold ends when the log shows the record, or long after it should have.
    fn expire_holds(&mut self) {
        let ended = self.holds.iter().filter(|(hold, since)| !self.is_in_force(hold, **since));
        let ended: Vec<Hold> = ended.map(|(hold, _)| hold.clone()).collect();
        self.holds.retain(|hold, _| !ended.contains(hold));
    }

    /// Whether a hold sent at an instant still waits for its record.
    pub(crate) fn is_in_force(&self, hold: &Hold, since: Duration) -> bool {
        const GIVE_UP_AFTER: Duration = Duration::from_secs(10);
        let state = self.journal.state();
        let recorded = match hold {
            Hold::Zone(zone) => state.tree.get(&crate::state::zone_path(zone), setting::STATE) == "out",
            Hold::Key(key) => state.keys.ensure_not_withdrawn(key).is_err(),
        };
        let fresh = self.journal.replica().current_as_of().unwrap_or_default();
        !recorded && fresh < since + GIVE_UP_AFTER
    }

    /// Ends a job and tells everyone who waits for it.
    pub(crate) fn finish(&mut self, now: Now, id: JobId, outcome: Outcome) {
        let Some(held) = self.jobs.get_mut(&id) else {
            return;
        };
        if matches!(held.phase, Phase::Ended(_)) {
            return;
        }
        let outcome = held.truth(outcome);
        let (team, class, deadline) = (held.job.team.clone(), held.job.class, held.job.deadline_ms);
        held.phase = Phase::Ended(outcome.clone());
        held.job.payload = Bytes::new();
        let callers = std::mem::take(&mut held.waiting_requests);
        let origins = held.report_to.clone();
        self.deadlines.remove(&(deadline, id));
        self.queues.remove(&team, class, id);
        self.count(&outcome);
        self.events.push(
            now,
            Kind::Finished {
                job: id,
                team,
                outcome: outcome.describe(),
            },
        );
        for request_id in callers {
            let status = Some(Status::Ended(outcome.clone()));
            self.actions.push(Action::Reply { request_id, status });
        }
        for origin in origins {
            let report = Message::Report {
                job: id,
                status: Status::Ended(outcome.clone()),
            };
            self.send(&origin, report);
        }
    }

    fn count(&mut self, outcome: &Outcome) {
        match outcome {
            Outcome::Done(_) => self.counters.done += 1,
            Outcome::NotRun(_) => self.counters.not_run += 1,
            Outcome::Unknown(_) => self.counters.unknown += 1,
        }
    }

    fn on_dropped(&mut self, request_id: RequestId) {
        for held in self.jobs.values_mut() {
            held.waiting_requests.retain(|it| *it != request_id);
        }
        for find in self.searches.values_mut() {
            find.waiting_requests.retain(|it| *it != request_id);
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

    /// An outcome that does not claim more than is known.
    fn truth(&self, outcome: Outcome) -> Outcome {
        match outcome {
            Outcome::NotRun(NotRunReason::Deadline) if self.may_have_run => Outcome::Unknown(UnknownReason::Deadline),
            Outcome::NotRun(NotRunReason::Cancelled) if self.may_have_run => Outcome::Unknown(UnknownReason::Cancelled),
            Outcome::NotRun(_) if self.may_have_run => Outcome::Unknown(UnknownReason::WorkerLost),
            outcome => outcome,
        }
    }

    pub(crate) fn is_once(&self) -> bool {
        self.job.repeat == Repeat::Forbidden
    }
}

impl Phase {
    pub(crate) fn is_over(&self) -> bool {
        matches!(self, Phase::Ended(_))
    }
}

impl Outcome {
    /// One line for the time line.
    pub fn describe(&self) -> String {
        match self {
            Outcome::Done(Completion { success: true, .. }) => "done".to_owned(),
            Outcome::Done(Completion { success: false, .. }) => "failed".to_owned(),
            Outcome::NotRun(reason) => format!("not run: {reason}"),
            Outcome::Unknown(doubt) => format!("unknown: {doubt}"),
        }
    }
}
