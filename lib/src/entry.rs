//! The state machine of an entry instance.
//!
//! [`Entry::step`] takes one event and the clock and returns the actions to
//! perform. It does no I/O and reads no clock itself, so the daemon and the
//! virtual-time tests run the same code and differ only in what performs the
//! actions.
//!
//! This module holds the state machine and its tick. `entry_event` has its inputs and
//! actions, `entry_state` what it keeps of jobs, workers and members. Its other parts
//! are in `admission` (submissions and queries), `dispatch` (starts of tasks),
//! `running_task` (tasks in progress), `peer` (messages to other entries), `allotment`
//! (slots of caps) and `adopt` (fenced members and shutdown).

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;

use crate::adopt::Adoption;
use crate::clock::Now;
use crate::event::{self, Kind};
use crate::health::WorkerHealth;
use crate::id::{InstanceId, JobId, MemberId, OpId, TeamId};
use crate::job::{Outcome, Status};
use crate::log_sync::{self, LogSync};
use crate::platform::{self, ListedInstance, LogRead, Presence, TaskAttempt, WorkerRequest};
use crate::queue::TeamQueues;
use crate::record::Change;
use crate::replica::Replica;
use crate::setting;
use crate::state::State;
use crate::wire::{Hold, Message};

pub use crate::config::{CapDivision, CatchUpSource, Policy, SchedulingPolicy, Settings, SettingsBuilder};
pub use crate::entry_event::{Action, Event, Wait};
pub(crate) use crate::entry_state::{CallPurpose, Delegation, JobSearch, LocalJob, PeerState, Phase, RunningTask, Timers, WorkerState};

/// Identifies a caller's pending request; its [`Action::Reply`] carries the same id.
pub type RequestId = u64;
/// Identifies a call to a worker until it returns.
pub type CallId = u64;

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
