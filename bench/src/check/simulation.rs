//! Simulation of a whole cluster: processes, network, platform, callers and operators.
//!
//! Everything runs on one virtual clock. A queue holds what is to happen, ordered
//! by time; events of the same time occur in the order in which they were
//! scheduled. All random choices derive from the seed, so a run is reproduced by its
//! configuration, load, fault schedule and seed.

mod callers;
mod operators;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use oriolewall::clock::Now;
use oriolewall::entry::{Action, Entry, Event, Lifecycle, Policy, Settings};
use oriolewall::id::{InstanceId, MemberId, Offset};
use oriolewall::log_sync::LogRequest;
use oriolewall::maintain::{self, Maintainer};
use oriolewall::platform::{Error, ListedInstance, LogRead, WorkerRequest, WorkerResponse};
use oriolewall::record::{Change, Payload, Record};
use oriolewall::replica::Replica;
use oriolewall::state::State;
use oriolewall::wire::Frame;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use uuid::Uuid;

use crate::check::fault::{Fault, FaultSchedule, Location};
use crate::check::load::Load;
use crate::history::{EventKind, History};
use crate::standin::list::DelayedInstanceList;
use crate::standin::log::{InMemoryLog, Mode};
use crate::standin::worker::Worker;
use callers::Callers;
pub use operators::Operators;

/// Wall-clock time, since the Unix epoch, at which every simulation starts.
const START_WALL_TIME: Duration = Duration::from_secs(1_800_000_000);
/// Interval between two ticks of an entry instance.
const ENTRY_TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between two ticks of a maintenance process.
const MAINTENANCE_TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which the history records how far entry instances have applied the log.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
/// Time by which the instance list lags behind the instances.
const LIST_LAG: Duration = Duration::from_millis(1_500);
/// Time after which a request to the log or the instance list without a response is lost.
const LOG_TIMEOUT: Duration = Duration::from_secs(8);
/// Time after which a call to a worker is lost, in addition to the time that it may wait.
const WORKER_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest deviation of a wall clock from the true time, in either direction.
const MAX_CLOCK_SKEW_MS: u64 = 100;
/// Number of latest entries that the log retains.
const LOG_RETENTION: usize = 2_000;
const MAX_APPENDS_PER_SECOND: u32 = 400;

/// Size and configuration of the simulated cluster.
#[derive(Clone, Debug)]
pub struct SimulationConfig {
    /// Number of availability zones.
    pub zone_count: usize,
    /// Number of entry instances in each zone.
    pub entries_per_zone: usize,
    /// Pools, each with its number of workers per zone.
    pub pools: Vec<(String, usize)>,
    /// Number of tasks that each worker runs at once.
    pub slots_per_worker: usize,
    /// Number of workers in each rack.
    pub workers_per_rack: usize,
    /// Scheduling policy of the entry instances.
    pub policy: Policy,
    /// Availability budget of each pool, as a value of the setting `budget`.
    pub disruption_budget: String,
}

impl SimulationConfig {
    /// Three zones with two entry instances and six workers each.
    pub fn small() -> SimulationConfig {
        let pool = |name: &str| (name.to_owned(), 2);
        SimulationConfig {
            zone_count: 3,
            entries_per_zone: 2,
            pools: vec![pool("cells"), pool("index"), pool("shared")],
            slots_per_worker: 2,
            workers_per_rack: 1,
            policy: Policy::default(),
            disruption_budget: "34%".to_owned(),
        }
    }
}

/// An entry instance, of which at most one incarnation runs at a time.
struct EntryProcess {
    zone: usize,
    /// Number of the current incarnation; events for earlier ones are dropped.
    incarnation: u64,
    /// State machine of the incarnation; `None` while the process is down.
    entry: Option<Entry>,
    paused_until: Duration,
    /// Deviation of the wall clock plus `MAX_CLOCK_SKEW_MS`, so that it is not negative.
    biased_skew_ms: u64,
    /// Whether a graceful stop was requested.
    stopping: bool,
}

/// A maintenance process; faults do not stop it.
struct MaintenanceProcess {
    zone: usize,
    maintainer: Maintainer,
}

/// Something that happens at one time. Processes are given by index, entry instances
/// also by incarnation.
enum SimEvent {
    /// Periodic tick of an entry instance.
    EntryTick(usize, u64),
    /// An event reaches the state machine of an entry instance.
    EntryInput(usize, u64, Event),
    /// Periodic tick of a maintenance process.
    MaintainerTick(usize),
    /// An event reaches the state machine of a maintenance process.
    MaintainerInput(usize, maintain::Event),
    /// A read reaches the log, or is tried again because there were no entries.
    LogRead {
        client: Client,
        from: Offset,
        /// Time until which the log waits for an entry.
        wait_until: Duration,
        /// Monotonic time of the client when it sent the read.
        sent: Duration,
    },
    /// An append reaches the log.
    LogAppend { client: Client, entry: Bytes },
    /// A read reaches the instance list.
    ListRead { client: Client },
    /// A request reaches a worker, or is tried again because the task still runs.
    WorkerCall {
        client: Client,
        /// Id that an entry instance gave the call; zero for a maintenance process.
        id: u64,
        instance: InstanceId,
        request: WorkerRequest,
        /// Monotonic time of the client when it sent the request.
        sent: Duration,
        /// Time until which the worker waits for the end of the task.
        wait_until: Duration,
    },
    /// The next incarnation of an entry instance starts.
    StartEntry(usize),
    /// A fault or an operator's action begins.
    BeginFault(Fault),
    /// A fault ends.
    EndFault(Fault),
    /// The history records how far entry instances have applied the log.
    Sample,
    /// A caller acts.
    Caller(callers::CallerAction),
    /// An operator acts.
    Operator(operators::OperatorAction),
}

/// Process that called the platform or a worker.
#[derive(Clone, Debug)]
enum Client {
    /// Index and incarnation of an entry instance.
    Entry(usize, u64),
    /// Index of a maintenance process.
    Maintenance(usize),
}

/// An event in the queue, ordered by time and then by sequence number.
struct ScheduledEvent {
    at: Duration,
    seq: u64,
    event: SimEvent,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &ScheduledEvent) -> bool {
        (self.at, self.seq) == (other.at, other.seq)
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &ScheduledEvent) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &ScheduledEvent) -> std::cmp::Ordering {
        (self.at, self.seq).cmp(&(other.at, other.seq))
    }
}

/// A simulated cluster and the state of its run.
pub struct Simulation {
    /// History of the run, for checks and reports.
    pub history: History,
    /// Teams and keys that the operators have set up.
    pub operators: Operators,
    pub(crate) load: Load,
    pub(crate) rng: StdRng,
    pub(crate) now: Duration,
    config: SimulationConfig,
    log: InMemoryLog,
    list: DelayedInstanceList,
    /// Workers, each with the index of its zone.
    workers: BTreeMap<InstanceId, (usize, Worker)>,
    /// Ids of the workers, by the index that faults use.
    worker_ids: Vec<InstanceId>,
    entry_processes: Vec<EntryProcess>,
    maintenance_processes: Vec<MaintenanceProcess>,
    /// Index and incarnation of every member that has existed.
    members: BTreeMap<MemberId, (usize, u64)>,
    /// Links that lose messages, from sender to receiver; one item for each fault.
    cut_links: Vec<(Location, Location)>,
    /// Delay of some start requests, while such a fault lasts.
    start_delay: Option<Duration>,
    /// State that results from all entries of the log, without delay.
    committed_state: State,
    callers: Callers,
    queue: BinaryHeap<Reverse<ScheduledEvent>>,
    seq: u64,
    seed: u64,
    /// Timeline events of incarnations that have ended.
    saved_events: Vec<oriolewall::event::Event>,
    /// Number of entries appended to the log, including those of the set-up.
    pub append_count: u64,
    /// Number of frames sent between entry instances, including lost ones.
    pub message_count: u64,
    /// Encoded size of these frames in bytes; `None` if they are not counted.
    pub message_bytes: Option<u64>,
}

impl Simulation {
    /// Sets up a simulation at time zero, with its initial changes already in the log.
    pub fn new(config: SimulationConfig, load: Load, schedule: FaultSchedule, seed: u64) -> Simulation {
        let history = History::default();
        let mut simulation = Simulation {
            operators: Operators::default(),
            callers: Callers::default(),
            rng: StdRng::seed_from_u64(seed ^ 0x5eed),
            now: Duration::ZERO,
            log: InMemoryLog::new(LOG_RETENTION, MAX_APPENDS_PER_SECOND),
            list: DelayedInstanceList::new(LIST_LAG),
            workers: BTreeMap::new(),
            worker_ids: Vec::new(),
            entry_processes: Vec::new(),
            maintenance_processes: Vec::new(),
            members: BTreeMap::new(),
            cut_links: Vec::new(),
            start_delay: None,
            committed_state: State::default(),
            queue: BinaryHeap::new(),
            seq: 0,
            seed,
            saved_events: Vec::new(),
            append_count: 0,
            message_count: 0,
            message_bytes: None,
            history,
            config,
            load,
        };
        simulation.build();
        for (at, fault) in schedule.faults {
            simulation.schedule(at, SimEvent::BeginFault(fault));
        }
        simulation
    }

    /// Creates workers, initial state and processes, and schedules the first events.
    fn build(&mut self) {
        let config = self.config.clone();
        let mut changes = Vec::new();
        for zone in 0..config.zone_count {
            let mut worker_count_in_zone = 0;
            for (pool, count) in &config.pools {
                for index in 1..=*count {
                    let id: InstanceId = format!("{}-{pool}-{index}", zone_name(zone)).into();
                    let worker = Worker::new(&id, &zone_name(zone), config.slots_per_worker, self.history.clone());
                    self.workers.insert(id.clone(), (zone, worker));
                    self.worker_ids.push(id.clone());
                    self.list
                        .set_presence(Duration::ZERO, &id, Some(oriolewall::platform::Presence::Live));
                    changes.push(Change::InstanceAdd {
                        id,
                        zone: zone_name(zone).into(),
                        rack: format!("r{}", worker_count_in_zone / config.workers_per_rack).into(),
                        pool: pool.as_str().into(),
                        addr: fake_addr(zone, 1_000 + worker_count_in_zone),
                        slots: config.slots_per_worker as u32,
                    });
                    worker_count_in_zone += 1;
                }
            }
        }
        self.operators.add_initial_changes(&mut changes, &self.load, &config);
        for change in changes {
            self.append_initial_change(change);
        }
        for zone in 0..config.zone_count {
            for _ in 0..config.entries_per_zone {
                let biased_skew_ms = self.rng.random_range(0..=2 * MAX_CLOCK_SKEW_MS);
                self.entry_processes.push(EntryProcess {
                    zone,
                    incarnation: 0,
                    entry: None,
                    paused_until: Duration::ZERO,
                    biased_skew_ms,
                    stopping: false,
                });
                self.schedule(Duration::ZERO, SimEvent::StartEntry(self.entry_processes.len() - 1));
            }
            let settings = maintain::Settings {
                id: format!("m{zone}").into(),
                zone: zone_name(zone).into(),
                snapshot_every: LOG_RETENTION as u64 / 4,
                seed: self.seed,
            };
            let maintainer = Maintainer::new(settings, Replica::default(), self.clock(0));
            self.maintenance_processes.push(MaintenanceProcess { zone, maintainer });
            self.schedule(Duration::ZERO, SimEvent::MaintainerTick(zone));
        }
        self.schedule(SAMPLE_INTERVAL, SimEvent::Sample);
        for team in 0..self.load.teams.len() {
            self.schedule(Duration::from_secs(2), SimEvent::Caller(callers::CallerAction::GenerateJob(team)));
        }
    }

    /// Handles all events up to a time, then ends the tasks that are due on the workers.
    /// The first event after that time is dropped, so the run cannot be continued.
    pub fn run_until(&mut self, until: Duration) {
        while let Some(Reverse(next)) = self.queue.pop() {
            if until < next.at {
                break;
            }
            self.now = next.at;
            self.handle_event(next.event);
        }
        for (_, worker) in self.workers.values_mut() {
            worker.advance(self.now.as_millis() as u64);
        }
    }

    fn schedule(&mut self, at: Duration, event: SimEvent) {
        self.seq += 1;
        self.queue.push(Reverse(ScheduledEvent { at, seq: self.seq, event }));
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.now.as_millis() as u64
    }

    /// Clock of a process; see [`EntryProcess::biased_skew_ms`]. The monotonic clock reads
    /// 1000 s at the start of the simulation.
    fn clock(&self, biased_skew_ms: u64) -> Now {
        let wall = START_WALL_TIME + self.now + Duration::from_millis(biased_skew_ms) - Duration::from_millis(MAX_CLOCK_SKEW_MS);
        Now {
            mono: Duration::from_secs(1_000) + self.now,
            wall,
        }
    }

    /// Wall-clock time without deviation, milliseconds since the Unix epoch.
    fn true_wall_ms(&self) -> u64 {
        (START_WALL_TIME + self.now).as_millis() as u64
    }

    fn handle_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::EntryTick(process, incarnation) => {
                if self.entry_processes[process].incarnation == incarnation && self.entry_processes[process].entry.is_some() {
                    self.schedule(self.now + ENTRY_TICK_INTERVAL, SimEvent::EntryTick(process, incarnation));
                    if self.entry_processes[process].paused_until <= self.now {
                        self.step_entry(process, incarnation, Event::Tick);
                    }
                }
            }
            SimEvent::EntryInput(process, incarnation, event) => self.step_entry(process, incarnation, event),
            SimEvent::MaintainerTick(index) => {
                self.schedule(self.now + MAINTENANCE_TICK_INTERVAL, SimEvent::MaintainerTick(index));
                self.step_maintenance(index, maintain::Event::Tick);
            }
            SimEvent::MaintainerInput(index, event) => self.step_maintenance(index, event),
            SimEvent::LogRead {
                client,
                from,
                wait_until,
                sent,
            } => self.handle_log_read(client, from, wait_until, sent),
            SimEvent::LogAppend { client, entry } => self.handle_log_append(client, entry),
            SimEvent::ListRead { client } => self.handle_list_read(client),
            SimEvent::WorkerCall {
                client,
                id,
                instance,
                request,
                sent,
                wait_until,
            } => self.handle_worker_call(client, id, instance, request, sent, wait_until),
            SimEvent::StartEntry(process) => self.start_entry(process),
            SimEvent::BeginFault(fault) => self.begin_fault(fault),
            SimEvent::EndFault(fault) => self.end_fault(fault),
            SimEvent::Sample => self.record_applied_offsets(),
            SimEvent::Caller(action) => self.run_caller_action(action),
            SimEvent::Operator(action) => self.run_operator_action(action),
        }
    }

    /// Starts the next incarnation of an entry instance, with an empty replica.
    fn start_entry(&mut self, index: usize) {
        let seed = self.rng.random();
        let process = &mut self.entry_processes[index];
        process.incarnation += 1;
        process.stopping = false;
        process.paused_until = Duration::ZERO;
        let (zone, incarnation, biased_skew_ms) = (process.zone, process.incarnation, process.biased_skew_ms);
        let id = format!("e{index}@{incarnation}");
        let settings = Settings::builder(&id, &zone_name(zone), fake_addr(zone, index))
            .seed(seed)
            .policy(self.config.policy)
            .build();
        let now = self.clock(biased_skew_ms);
        self.members.insert(id.as_str().into(), (index, incarnation));
        self.entry_processes[index].entry = Some(Entry::new(settings, Replica::default(), now));
        self.schedule(self.now, SimEvent::EntryTick(index, incarnation));
    }

    /// Passes an event to an entry instance and executes the resulting actions. Events
    /// for an earlier incarnation are dropped; those for a paused process are postponed.
    fn step_entry(&mut self, index: usize, incarnation: u64, event: Event) {
        let process = &self.entry_processes[index];
        if process.incarnation != incarnation {
            return;
        }
        if self.now < process.paused_until {
            let at = process.paused_until;
            self.schedule(at, SimEvent::EntryInput(index, incarnation, event));
            return;
        }
        let now = self.clock(process.biased_skew_ms);
        let Some(entry) = self.entry_processes[index].entry.as_mut() else {
            return;
        };
        let actions = entry.step(now, event);
        let finished = entry.lifecycle() == Lifecycle::Finished;
        for action in actions {
            self.execute_action(index, incarnation, action);
        }
        if finished {
            self.end_entry(index);
            self.schedule(self.now + Duration::from_millis(100), SimEvent::StartEntry(index));
        }
    }

    /// Ends an incarnation that has finished, and breaks its remaining connections.
    fn end_entry(&mut self, index: usize) {
        let planned = self.entry_processes[index].stopping;
        self.save_events(index);
        self.entry_processes[index].entry = None;
        self.break_connections(index, planned);
    }

    fn execute_action(&mut self, index: usize, incarnation: u64, action: Action) {
        let client = Client::Entry(index, incarnation);
        match action {
            Action::Log(request) => self.send_log_request(client, request),
            Action::List => self.send_list_request(client),
            Action::Call { id, instance, request, .. } => self.send_worker_request(client, id, instance, request),
            Action::Send { to, frame, .. } => self.send_frame(index, to, frame),
            Action::Reply { request_id, status } => self.receive_reply(index, incarnation, request_id, status),
        }
    }

    fn step_maintenance(&mut self, index: usize, event: maintain::Event) {
        let now = self.clock(MAX_CLOCK_SKEW_MS);
        let actions = self.maintenance_processes[index].maintainer.step(now, event);
        for action in actions {
            let client = Client::Maintenance(index);
            match action {
                maintain::Action::Log(request) => self.send_log_request(client, request),
                maintain::Action::List => self.send_list_request(client),
                maintain::Action::Call { instance, request, .. } => self.send_worker_request(client, 0, instance, request),
            }
        }
    }

    fn location(&self, client: &Client) -> Location {
        match client {
            Client::Entry(index, _) => Location::Zone(self.entry_processes[*index].zone),
            Client::Maintenance(index) => Location::Zone(self.maintenance_processes[*index].zone),
        }
    }

    fn is_cut(&self, from: Location, to: Location) -> bool {
        self.cut_links.contains(&(from, to))
    }

    /// Random latency of a message: 0.1 to 0.4 ms within a location, 1.3 to 1.8 ms between two.
    fn latency(&mut self, from: Location, to: Location) -> Duration {
        let micros = if from == to {
            self.rng.random_range(100..400)
        } else {
            self.rng.random_range(1_300..1_800)
        };
        Duration::from_micros(micros)
    }

    /// Sends a request to the log. A cut link loses it, a slow log delays it.
    fn send_log_request(&mut self, client: Client, request: LogRequest) {
        let location = self.location(&client);
        let sent = Duration::from_secs(1_000) + self.now;
        if self.is_cut(location, Location::Platform) {
            self.fail_log_request(client, request, sent);
            return;
        }
        let mut at = self.now + self.latency(location, Location::Platform);
        if let Mode::Slow { ms } = self.log.mode {
            at += Duration::from_millis(ms);
        }
        match request {
            LogRequest::Read { from, wait } => self.schedule(
                at,
                SimEvent::LogRead {
                    client,
                    from,
                    wait_until: at + wait,
                    sent,
                },
            ),
            LogRequest::Append(entry) => self.schedule(at, SimEvent::LogAppend { client, entry }),
        }
    }

    fn fail_log_request(&mut self, client: Client, request: LogRequest, sent: Duration) {
        let at = self.now + LOG_TIMEOUT;
        match request {
            LogRequest::Read { .. } => self.deliver_read(at, client, sent, Err(Error::Lost)),
            LogRequest::Append(_) => self.deliver_append(at, client, Err(Error::Lost)),
        }
    }

    fn deliver_read(&mut self, at: Duration, client: Client, sent: Duration, result: Result<LogRead, Error>) {
        match client {
            Client::Entry(index, incarnation) => self.schedule(at, SimEvent::EntryInput(index, incarnation, Event::Read { sent, result })),
            Client::Maintenance(index) => self.schedule(at, SimEvent::MaintainerInput(index, maintain::Event::Read { sent, result })),
        }
    }

    fn deliver_append(&mut self, at: Duration, client: Client, result: Result<Offset, Error>) {
        match client {
            Client::Entry(index, incarnation) => self.schedule(at, SimEvent::EntryInput(index, incarnation, Event::Appended(result))),
            Client::Maintenance(index) => self.schedule(at, SimEvent::MaintainerInput(index, maintain::Event::Appended(result))),
        }
    }

    fn handle_log_read(&mut self, client: Client, from: Offset, wait_until: Duration, sent: Duration) {
        const POLL_INTERVAL: Duration = Duration::from_millis(4);
        if self.log.tail() <= from && self.now < wait_until && self.log.mode != Mode::Down {
            let retry = SimEvent::LogRead {
                client,
                from,
                wait_until,
                sent,
            };
            self.schedule(self.now + POLL_INTERVAL, retry);
            return;
        }
        let result = self.log.read(from);
        let location = self.location(&client);
        let lost = self.is_cut(Location::Platform, location);
        let at = self.now
            + if lost {
                LOG_TIMEOUT
            } else {
                self.latency(Location::Platform, location)
            };
        self.deliver_read(at, client, sent, if lost { Err(Error::Lost) } else { result });
    }

    fn handle_log_append(&mut self, client: Client, entry: Bytes) {
        let result = self.append(entry);
        let location = self.location(&client);
        let lost = self.is_cut(Location::Platform, location) || result == Err(Error::Lost);
        let at = self.now
            + if lost {
                LOG_TIMEOUT
            } else {
                self.latency(Location::Platform, location)
            };
        self.deliver_append(at, client, if lost { Err(Error::Lost) } else { result });
    }

    /// Appends an entry to the log. If it was stored, also when the response is lost,
    /// applies it to the committed state and records the changes in the history.
    fn append(&mut self, entry: Bytes) -> Result<Offset, Error> {
        let offset = self.log.tail();
        let result = self.log.append(self.now, entry.clone());
        if self.log.tail() == offset {
            return result;
        }
        self.append_count += 1;
        if let Ok(payload) = Payload::decode(&entry) {
            self.committed_state.apply(&payload);
            self.record_payload(offset, &payload);
        }
        result
    }

    /// Records in the history what the accepted records of a log entry changed.
    fn record_payload(&mut self, offset: Offset, payload: &Payload) {
        let at_ms = self.now_ms();
        self.history.record(at_ms, EventKind::Accepted { offset });
        let Payload::Records(records) = payload else {
            return;
        };
        let accepted = |it: &&Record| self.committed_state.outcome(&it.op) == Some(&oriolewall::state::RecordOutcome::Accepted(offset));
        let records: Vec<&Record> = records.iter().filter(accepted).collect();
        let changes_fleet = records.iter().any(|it| is_fleet_change(&it.change));
        let granted = records.iter().any(|it| matches!(it.change, Change::Permit { .. }));
        if changes_fleet {
            crate::history::record_fleet(&self.history, at_ms, &self.committed_state, granted);
        }
        for record in records {
            for kind in operators::events_of_change(&record.change, &self.committed_state) {
                self.history.record(at_ms, kind);
            }
        }
    }

    /// Appends a change of the set-up, dated an hour before the start.
    fn append_initial_change(&mut self, change: Change) {
        let mut bytes = [0u8; 10];
        self.rng.fill(&mut bytes);
        let wall_ms = self.true_wall_ms() - 3_600_000;
        let op = uuid::Builder::from_unix_timestamp_millis(wall_ms, &bytes).into_uuid();
        let record = Record {
            op,
            author: "operator".to_owned(),
            wall_ms,
            change,
        };
        let entry = Payload::Records(vec![record]).encode();
        // The rate limit of the log does not apply to the set-up.
        self.log.reset_rate_limit();
        let _ = self.append(entry);
    }

    fn send_list_request(&mut self, client: Client) {
        let location = self.location(&client);
        let lost = self.is_cut(location, Location::Platform) || self.is_cut(Location::Platform, location);
        if lost {
            self.deliver_list(self.now + LOG_TIMEOUT, client, Err(Error::Lost));
            return;
        }
        let at = self.now + self.latency(location, Location::Platform);
        self.schedule(at, SimEvent::ListRead { client });
    }

    fn handle_list_read(&mut self, client: Client) {
        let location = self.location(&client);
        let list = self.list.read(self.now);
        let at = self.now + self.latency(Location::Platform, location);
        self.deliver_list(at, client, Ok(list));
    }

    fn deliver_list(&mut self, at: Duration, client: Client, result: Result<Vec<ListedInstance>, Error>) {
        match client {
            Client::Entry(index, incarnation) => self.schedule(at, SimEvent::EntryInput(index, incarnation, Event::Listed(result))),
            Client::Maintenance(index) => self.schedule(at, SimEvent::MaintainerInput(index, maintain::Event::Listed(result))),
        }
    }

    /// Sends a request to a worker, over a link within the zone that is never cut.
    fn send_worker_request(&mut self, client: Client, id: u64, instance: InstanceId, request: WorkerRequest) {
        let sent = Duration::from_secs(1_000) + self.now;
        let wait = match &request {
            WorkerRequest::Wait { wait_ms, .. } => Duration::from_millis(*wait_ms),
            _ => Duration::ZERO,
        };
        let location = self.location(&client);
        let mut at = self.now + self.latency(location, location);
        if let (WorkerRequest::Start(_), Some(by)) = (&request, self.start_delay)
            && self.rng.random_bool(0.2)
        {
            at += by;
        }
        self.schedule(
            at,
            SimEvent::WorkerCall {
                client,
                id,
                instance,
                request,
                sent,
                wait_until: at + wait,
            },
        );
    }

    fn handle_worker_call(
        &mut self,
        client: Client,
        id: u64,
        instance: InstanceId,
        request: WorkerRequest,
        sent: Duration,
        wait_until: Duration,
    ) {
        const POLL_INTERVAL: Duration = Duration::from_millis(10);
        let now_ms = self.true_wall_ms();
        let start_wall_ms = START_WALL_TIME.as_millis() as u64;
        let Some((_, worker)) = self.workers.get_mut(&instance) else {
            let at = sent - Duration::from_secs(1_000) + WORKER_TIMEOUT;
            self.deliver_worker_response(at.max(self.now), client, id, instance, sent, Err(Error::Lost));
            return;
        };
        let request = request.into_simulation_time(start_wall_ms);
        let response = worker.handle(now_ms - start_wall_ms, &request);
        if response == Some(WorkerResponse::Pending) && self.now < wait_until {
            self.schedule(
                self.now + POLL_INTERVAL,
                SimEvent::WorkerCall {
                    client,
                    id,
                    instance,
                    request: request.into_wall_time(start_wall_ms),
                    sent,
                    wait_until,
                },
            );
            return;
        }
        let timeout_at = sent - Duration::from_secs(1_000) + WORKER_TIMEOUT + (wait_until - self.now.min(wait_until));
        let location = self.location(&client);
        let reply_at = self.now + self.latency(location, location);
        match response {
            // A response after the timeout of the client is lost.
            Some(response) if reply_at <= timeout_at.max(wait_until + WORKER_TIMEOUT) => {
                self.deliver_worker_response(reply_at, client, id, instance, sent, Ok(response));
            }
            _ => self.deliver_worker_response(timeout_at.max(self.now), client, id, instance, sent, Err(Error::Lost)),
        }
    }

    fn deliver_worker_response(
        &mut self,
        at: Duration,
        client: Client,
        id: u64,
        instance: InstanceId,
        sent: Duration,
        result: Result<WorkerResponse, Error>,
    ) {
        match client {
            Client::Entry(index, incarnation) => self.schedule(
                at,
                SimEvent::EntryInput(index, incarnation, Event::CallReturned { id, sent, result }),
            ),
            Client::Maintenance(index) => self.schedule(at, SimEvent::MaintainerInput(index, maintain::Event::Called { instance, result })),
        }
    }

    /// Sends a frame to a member, which may have ended since; a cut link loses the frame.
    fn send_frame(&mut self, from: usize, to: MemberId, frame: Frame) {
        let Some((index, incarnation)) = self.members.get(&to).copied() else {
            return;
        };
        self.message_count += 1;
        if let Some(bytes) = &mut self.message_bytes {
            *bytes += frame.encode().len() as u64;
        }
        let (from_zone, to_zone) = (
            Location::Zone(self.entry_processes[from].zone),
            Location::Zone(self.entry_processes[index].zone),
        );
        if self.is_cut(from_zone, to_zone) {
            return;
        }
        let at = self.now + self.latency(from_zone, to_zone);
        self.schedule(at, SimEvent::EntryInput(index, incarnation, Event::FrameReceived(frame)));
    }

    /// Records in the history how far every entry instance has applied the log.
    fn record_applied_offsets(&mut self) {
        self.schedule(self.now + SAMPLE_INTERVAL, SimEvent::Sample);
        let at_ms = self.now_ms();
        for process in &self.entry_processes {
            let Some(entry) = &process.entry else {
                continue;
            };
            let zone = Location::Zone(process.zone);
            let is_linked = !self.is_cut(zone, Location::Platform) && !self.is_cut(Location::Platform, zone);
            let is_log_up = matches!(self.log.mode, Mode::Up | Mode::LoseAnswers);
            let reachable = is_linked && is_log_up && process.paused_until <= self.now && entry.lifecycle() == Lifecycle::Active;
            let seen = EventKind::Seen {
                process: entry.settings().id().to_string(),
                offset: entry.state().next_offset(),
                reachable,
            };
            self.history.record(at_ms, seen);
        }
    }

    fn begin_fault(&mut self, fault: Fault) {
        match fault.clone() {
            Fault::Kill { entry, back } => {
                self.save_events(entry);
                self.entry_processes[entry].entry = None;
                self.entry_processes[entry].incarnation += 1;
                self.break_connections(entry, false);
                self.schedule(self.now + back, SimEvent::StartEntry(entry));
            }
            Fault::Stop { entry } => {
                self.entry_processes[entry].stopping = true;
                let incarnation = self.entry_processes[entry].incarnation;
                self.step_entry(entry, incarnation, Event::Stop);
            }
            Fault::Pause { entry, time } => self.entry_processes[entry].paused_until = self.now + time,
            Fault::Cut { from, to, both, time } => {
                self.cut_links.push((from, to));
                if both {
                    self.cut_links.push((to, from));
                }
                self.schedule(self.now + time, SimEvent::EndFault(fault));
            }
            Fault::Log { mode, time } => {
                self.log.mode = mode;
                self.schedule(self.now + time, SimEvent::EndFault(fault));
            }
            Fault::Worker { worker, faults, time } => {
                self.worker_mut(worker).faults = faults;
                self.schedule(self.now + time, SimEvent::EndFault(fault));
            }
            Fault::Crash { worker, time } => {
                let now_ms = self.now_ms();
                let back_ms = (self.now + time).as_millis() as u64;
                self.worker_mut(worker).crash(now_ms, back_ms);
            }
            Fault::DelayStarts { by, time } => {
                self.start_delay = Some(by);
                self.schedule(self.now + time, SimEvent::EndFault(fault));
            }
            Fault::Depart { worker, time } => self.begin_departure(worker, time, fault),
            Fault::ZoneOut { .. }
            | Fault::Restrict { .. }
            | Fault::Withdraw { .. }
            | Fault::Cap { .. }
            | Fault::Drain { .. }
            | Fault::Move { .. } => {
                self.begin_operator_action(&fault);
            }
        }
    }

    fn begin_departure(&mut self, worker: usize, time: Duration, fault: Fault) {
        let id = self.worker_ids[worker].clone();
        self.worker_mut(worker).faults.leaving = true;
        self.list.set_presence(self.now, &id, Some(oriolewall::platform::Presence::Leaving));
        self.history.record(self.now_ms(), EventKind::Depart { worker: id.to_string() });
        self.schedule(self.now + time.max(Duration::from_secs(6)), SimEvent::EndFault(fault));
    }

    fn end_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Cut { from, to, both, .. } => {
                self.end_cut(from, to);
                if both {
                    self.end_cut(to, from);
                }
            }
            Fault::Log { .. } => self.log.mode = Mode::Up,
            Fault::Worker { worker, .. } => {
                let leaving = self.worker_mut(worker).faults.leaving;
                self.worker_mut(worker).faults = crate::standin::worker::Faults {
                    leaving,
                    ..Default::default()
                };
            }
            Fault::DelayStarts { .. } => self.start_delay = None,
            Fault::Depart { worker, .. } => {
                let id = self.worker_ids[worker].clone();
                self.worker_mut(worker).faults.leaving = false;
                self.list.set_presence(self.now, &id, Some(oriolewall::platform::Presence::Live));
                self.history.record(self.now_ms(), EventKind::Return { worker: id.to_string() });
            }
            _ => {}
        }
    }

    /// Ends one cut of a link; other faults may still cut it.
    fn end_cut(&mut self, from: Location, to: Location) {
        if let Some(index) = self.cut_links.iter().position(|it| *it == (from, to)) {
            self.cut_links.remove(index);
        }
    }

    fn worker_mut(&mut self, index: usize) -> &mut Worker {
        let id = &self.worker_ids[index];
        &mut self.workers.get_mut(id).expect("workers are never removed").1
    }

    /// Indices of the entry instances to which a load balancer sends callers.
    fn accepting_entries(&self) -> Vec<usize> {
        let is_accepting =
            |process: &EntryProcess| process.entry.as_ref().is_some_and(|it| it.lifecycle() == Lifecycle::Active) && !process.stopping;
        (0..self.entry_processes.len())
            .filter(|it| is_accepting(&self.entry_processes[*it]))
            .collect()
    }

    pub(crate) fn random_uuid(&mut self, wall_ms: u64) -> Uuid {
        let mut bytes = [0u8; 10];
        self.rng.fill(&mut bytes);
        uuid::Builder::from_unix_timestamp_millis(wall_ms, &bytes).into_uuid()
    }

    /// State that results from all entries of the log, without the delay of a replica.
    pub fn committed_state(&self) -> &State {
        &self.committed_state
    }

    /// Saves the timeline events of an incarnation before it is dropped.
    fn save_events(&mut self, index: usize) {
        if let Some(entry) = &self.entry_processes[index].entry {
            self.saved_events.extend(entry.events().page_after(0).events);
        }
    }

    /// Timeline events of all incarnations of entry instances, in timeline order.
    pub fn events(&self) -> Vec<oriolewall::event::Event> {
        let mut events = self.saved_events.clone();
        events.extend(self.entries().flat_map(|it| it.events().page_after(0).events));
        oriolewall::event::sort(events)
    }

    /// State machines of the entry instances that run.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entry_processes.iter().filter_map(|it| it.entry.as_ref())
    }
}

/// Whether a change may affect the pool, health or permit of an instance.
fn is_fleet_change(change: &Change) -> bool {
    matches!(
        change,
        Change::InstanceAdd { .. }
            | Change::InstanceRemove { .. }
            | Change::Observe { .. }
            | Change::Permit { .. }
            | Change::Advance { .. }
            | Change::Release { .. }
            | Change::Abandon { .. }
    )
}

/// Name of the zone with an index.
pub fn zone_name(zone: usize) -> String {
    format!("z{zone}")
}

/// Unique address to which nothing is sent.
fn fake_addr(zone: usize, index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, zone as u8, 1], 1_000 + index as u16))
}

/// Converts the deadline in a start request between milliseconds since the Unix epoch,
/// which processes use, and milliseconds since the start of the simulation, which
/// workers use.
trait ConvertStartTime {
    fn into_simulation_time(self, start_wall_ms: u64) -> WorkerRequest;
    fn into_wall_time(self, start_wall_ms: u64) -> WorkerRequest;
}

impl ConvertStartTime for WorkerRequest {
    fn into_simulation_time(self, start_wall_ms: u64) -> WorkerRequest {
        match self {
            WorkerRequest::Start(mut start) => {
                start.start_by_ms = start.start_by_ms.saturating_sub(start_wall_ms);
                WorkerRequest::Start(start)
            }
            other => other,
        }
    }

    fn into_wall_time(self, start_wall_ms: u64) -> WorkerRequest {
        match self {
            WorkerRequest::Start(mut start) => {
                start.start_by_ms += start_wall_ms;
                WorkerRequest::Start(start)
            }
            other => other,
        }
    }
}
