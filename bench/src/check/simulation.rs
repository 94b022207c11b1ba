//! Simulation of a whole cluster: processes, network, platform, callers and operators.
//!
//! Everything runs on one virtual clock. A queue holds what is to happen, ordered
//! by time; events of the same time occur in the order in which they were
//! scheduled. All random choices derive from the seed, so a run is reproduced by its
//! configuration, load, fault schedule and seed.

mod callers;
mod event;
mod faults;
mod log;
mod operators;
mod workers;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::time::Duration;

use oriolewall::clock::Now;
use oriolewall::entry::{Action, Entry, Event, Lifecycle, Policy, Settings};
use oriolewall::id::{InstanceId, MemberId};
use oriolewall::maintain::{self, Maintainer};
use oriolewall::record::Change;
use oriolewall::replica::Replica;
use oriolewall::state::State;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use uuid::Uuid;

use crate::check::fault::{FaultSchedule, Location};
use crate::check::load::Load;
use crate::history::{EventKind, History};
use crate::standin::list::DelayedInstanceList;
use crate::standin::log::{InMemoryLog, Mode};
use crate::standin::worker::Worker;
use callers::Callers;
use event::{Client, ScheduledEvent, SimEvent};
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

/// Name of the zone with an index.
pub fn zone_name(zone: usize) -> String {
    format!("z{zone}")
}

/// Unique address to which nothing is sent.
fn fake_addr(zone: usize, index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, zone as u8, 1], 1_000 + index as u16))
}
