//! Processes, links and the order of events, on one virtual clock.

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

/// Wall clock at the start of every run.
const EPOCH: Duration = Duration::from_secs(1_800_000_000);
const TICK: Duration = Duration::from_millis(20);
const MAINTAIN_TICK: Duration = Duration::from_millis(200);
const SAMPLE: Duration = Duration::from_millis(250);
const LIST_LAG: Duration = Duration::from_millis(1_500);
/// Time after which a call without an answer counts as lost.
const LOG_TIMEOUT: Duration = Duration::from_secs(8);
const WORKER_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest difference of an instance's clock from true time.
const SKEW_MS: u64 = 100;
const LOG_KEPT: usize = 2_000;
const APPENDS_PER_SECOND: u32 = 400;

/// Sizes of a run.
#[derive(Clone, Debug)]
pub struct SimulationConfig {
    /// Number of zones.
    pub zone_count: usize,
    /// Entries in each zone.
    pub entries_per_zone: usize,
    /// Pools with the number of workers that each has in each zone.
    pub pools: Vec<(String, usize)>,
    /// Slots of each worker.
    pub slots_per_worker: usize,
    /// Workers in a rack.
    pub workers_per_rack: usize,
    /// Ways of deciding.
    pub policy: Policy,
    /// Part of each pool that may be disrupted.
    pub disruption_budget: String,
}

impl SimulationConfig {
    /// Three zones with two entries and six workers each.
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

/// A process slot: successive incarnations of one entry.
struct Slot {
    zone: usize,
    generation: u64,
    entry: Option<Entry>,
    paused_until: Duration,
    skew_ms: u64,
    stopping: bool,
}

struct Keeper {
    zone: usize,
    maintainer: Maintainer,
}

/// Something due at an instant.
enum Due {
    Tick(usize, u64),
    Entry(usize, u64, Event),
    KeeperTick(usize),
    Keeper(usize, maintain::Event),
    LogRead {
        client: Client,
        from: Offset,
        until: Duration,
        sent: Duration,
    },
    LogAppend {
        client: Client,
        entry: Bytes,
    },
    List {
        client: Client,
    },
    Worker {
        client: Client,
        id: u64,
        instance: InstanceId,
        request: WorkerRequest,
        sent: Duration,
        until: Duration,
    },
    Start(usize),
    Fault(Fault),
    EndFault(Fault),
    Sample,
    Caller(callers::Step),
    Operator(operators::Step),
}

/// Who called the platform or a worker.
#[derive(Clone, Debug)]
enum Client {
    Entry(usize, u64),
    Keeper(usize),
}

struct Scheduled {
    at: Duration,
    seq: u64,
    due: Due,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Scheduled) -> bool {
        (self.at, self.seq) == (other.at, other.seq)
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Scheduled) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Scheduled) -> std::cmp::Ordering {
        (self.at, self.seq).cmp(&(other.at, other.seq))
    }
}

/// A run.
pub struct Simulation {
    /// What happened.
    pub history: History,
    /// Operators' actions.
    pub operators: Operators,
    pub(crate) load: Load,
    pub(crate) rng: StdRng,
    pub(crate) now: Duration,
    shape: SimulationConfig,
    log: InMemoryLog,
    list: DelayedInstanceList,
    workers: BTreeMap<InstanceId, (usize, Worker)>,
    worker_names: Vec<InstanceId>,
    slots: Vec<Slot>,
    keepers: Vec<Keeper>,
    members: BTreeMap<MemberId, (usize, u64)>,
    cuts: Vec<(Location, Location)>,
    delay_starts: Option<Duration>,
    committed_state: State,
    callers: Callers,
    queue: BinaryHeap<Reverse<Scheduled>>,
    seq: u64,
    seed: u64,
    past_events: Vec<oriolewall::event::Event>,
    /// Appends that the log took.
    pub append_count: u64,
    /// Messages between entries, and their bytes.
    pub message_count: u64,
    /// Bytes of messages between entries; counted only if asked for.
    pub message_bytes: Option<u64>,
}

impl Simulation {
    /// Prepares a run.
    pub fn new(shape: SimulationConfig, load: Load, schedule: FaultSchedule, seed: u64) -> Simulation {
        let history = History::default();
        let mut world = Simulation {
            operators: Operators::default(),
            callers: Callers::default(),
            rng: StdRng::seed_from_u64(seed ^ 0x5eed),
            now: Duration::ZERO,
            log: InMemoryLog::new(LOG_KEPT, APPENDS_PER_SECOND),
            list: DelayedInstanceList::new(LIST_LAG),
            workers: BTreeMap::new(),
            worker_names: Vec::new(),
            slots: Vec::new(),
            keepers: Vec::new(),
            members: BTreeMap::new(),
            cuts: Vec::new(),
            delay_starts: None,
            committed_state: State::default(),
            queue: BinaryHeap::new(),
            seq: 0,
            seed,
            past_events: Vec::new(),
            append_count: 0,
            message_count: 0,
            message_bytes: None,
            history,
            shape,
            load,
        };
        world.build();
        for (at, fault) in schedule.faults {
            world.push(at, Due::Fault(fault));
        }
        world
    }

    fn build(&mut self) {
        let shape = self.shape.clone();
        let mut changes = Vec::new();
        for zone in 0..shape.zone_count {
            let mut number = 0;
            for (pool, count) in &shape.pools {
                for index in 1..=*count {
                    let id: InstanceId = format!("{}-{pool}-{index}", zone_name(zone)).into();
                    let worker = Worker::new(&id, &zone_name(zone), shape.slots_per_worker, self.history.clone());
                    self.workers.insert(id.clone(), (zone, worker));
                    self.worker_names.push(id.clone());
                    self.list
                        .set_presence(Duration::ZERO, &id, Some(oriolewall::platform::Presence::Live));
                    changes.push(Change::InstanceAdd {
                        id,
                        zone: zone_name(zone).into(),
                        rack: format!("r{}", number / shape.workers_per_rack).into(),
                        pool: pool.as_str().into(),
                        addr: fake_addr(zone, 1_000 + number),
                        slots: shape.slots_per_worker as u32,
                    });
                    number += 1;
                }
            }
        }
        self.operators.set_up(&mut changes, &self.load, &shape);
        for change in changes {
            self.accept_now(change);
        }
        for zone in 0..shape.zone_count {
            for _ in 0..shape.entries_per_zone {
                let skew_ms = self.rng.random_range(0..=2 * SKEW_MS);
                self.slots.push(Slot {
                    zone,
                    generation: 0,
                    entry: None,
                    paused_until: Duration::ZERO,
                    skew_ms,
                    stopping: false,
                });
                self.push(Duration::ZERO, Due::Start(self.slots.len() - 1));
            }
            let settings = maintain::Settings {
                id: format!("m{zone}").into(),
                zone: zone_name(zone).into(),
                snapshot_every: LOG_KEPT as u64 / 4,
                seed: self.seed,
            };
            let maintainer = Maintainer::new(settings, Replica::default(), self.clock(0));
            self.keepers.push(Keeper { zone, maintainer });
            self.push(Duration::ZERO, Due::KeeperTick(zone));
        }
        self.push(SAMPLE, Due::Sample);
        for team in 0..self.load.teams.len() {
            self.push(Duration::from_secs(2), Due::Caller(callers::Step::Draft(team)));
        }
    }

    /// Runs until a time.
    pub fn run_until(&mut self, until: Duration) {
        while let Some(Reverse(next)) = self.queue.pop() {
            if until < next.at {
                break;
            }
            self.now = next.at;
            self.execute(next.due);
        }
        for (_, worker) in self.workers.values_mut() {
            worker.advance(self.now.as_millis() as u64);
        }
    }

    fn push(&mut self, at: Duration, due: Due) {
        self.seq += 1;
        self.queue.push(Reverse(Scheduled { at, seq: self.seq, due }));
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.now.as_millis() as u64
    }

    /// Clock of a process whose wall clock is off by up to the bound.
    fn clock(&self, skew_ms: u64) -> Now {
        let wall = EPOCH + self.now + Duration::from_millis(skew_ms) - Duration::from_millis(SKEW_MS);
        Now {
            mono: Duration::from_secs(1_000) + self.now,
            wall,
        }
    }

    /// Wall clock of true time, milliseconds.
    fn true_wall_ms(&self) -> u64 {
        (EPOCH + self.now).as_millis() as u64
    }

    fn execute(&mut self, due: Due) {
        match due {
            Due::Tick(slot, generation) => {
                if self.slots[slot].generation == generation && self.slots[slot].entry.is_some() {
                    self.push(self.now + TICK, Due::Tick(slot, generation));
                    if self.slots[slot].paused_until <= self.now {
                        self.step(slot, generation, Event::Tick);
                    }
                }
            }
            Due::Entry(slot, generation, event) => self.step(slot, generation, event),
            Due::KeeperTick(index) => {
                self.push(self.now + MAINTAIN_TICK, Due::KeeperTick(index));
                self.step_keeper(index, maintain::Event::Tick);
            }
            Due::Keeper(index, event) => self.step_keeper(index, event),
            Due::LogRead { client, from, until, sent } => self.log_read(client, from, until, sent),
            Due::LogAppend { client, entry } => self.log_append(client, entry),
            Due::List { client } => self.read_list(client),
            Due::Worker {
                client,
                id,
                instance,
                request,
                sent,
                until,
            } => self.worker_call(client, id, instance, request, sent, until),
            Due::Start(slot) => self.start_entry(slot),
            Due::Fault(fault) => self.begin_fault(fault),
            Due::EndFault(fault) => self.end_fault(fault),
            Due::Sample => self.sample(),
            Due::Caller(step) => self.caller_step(step),
            Due::Operator(step) => self.operator_step(step),
        }
    }

    fn start_entry(&mut self, index: usize) {
        let seed = self.rng.random();
        let slot = &mut self.slots[index];
        slot.generation += 1;
        slot.stopping = false;
        slot.paused_until = Duration::ZERO;
        let (zone, generation, skew) = (slot.zone, slot.generation, slot.skew_ms);
        let id = format!("e{index}@{generation}");
        let settings = Settings::builder(&id, &zone_name(zone), fake_addr(zone, index))
            .seed(seed)
            .policy(self.shape.policy)
            .build();
        let now = self.clock(skew);
        self.members.insert(id.as_str().into(), (index, generation));
        self.slots[index].entry = Some(Entry::new(settings, Replica::default(), now));
        self.push(self.now, Due::Tick(index, generation));
    }

    fn step(&mut self, index: usize, generation: u64, event: Event) {
        let slot = &self.slots[index];
        if slot.generation != generation {
            return;
        }
        if self.now < slot.paused_until {
            let at = slot.paused_until;
            self.push(at, Due::Entry(index, generation, event));
            return;
        }
        let now = self.clock(slot.skew_ms);
        let Some(entry) = self.slots[index].entry.as_mut() else {
            return;
        };
        let actions = entry.step(now, event);
        let finished = entry.lifecycle() == Lifecycle::Finished;
        for action in actions {
            self.carry_out(index, generation, action);
        }
        if finished {
            self.end_entry(index);
            self.push(self.now + Duration::from_millis(100), Due::Start(index));
        }
    }

    /// An incarnation ends; callers still connected to it are cut off.
    fn end_entry(&mut self, index: usize) {
        let planned = self.slots[index].stopping;
        self.keep_events(index);
        self.slots[index].entry = None;
        self.cut_callers(index, planned);
    }

    fn carry_out(&mut self, index: usize, generation: u64, action: Action) {
        let client = Client::Entry(index, generation);
        match action {
            Action::Log(request) => self.ask_log(client, request),
            Action::List => self.ask_list(client),
            Action::Call { id, instance, request, .. } => self.ask_worker(client, id, instance, request),
            Action::Send { to, frame, .. } => self.send_frame(index, to, frame),
            Action::Reply {
                request_id: ticket,
                status,
            } => self.reply(index, generation, ticket, status),
        }
    }

    fn step_keeper(&mut self, index: usize, event: maintain::Event) {
        let now = self.clock(SKEW_MS);
        let actions = self.keepers[index].maintainer.step(now, event);
        for action in actions {
            let client = Client::Keeper(index);
            match action {
                maintain::Action::Log(request) => self.ask_log(client, request),
                maintain::Action::List => self.ask_list(client),
                maintain::Action::Call { instance, request, .. } => self.ask_worker(client, 0, instance, request),
            }
        }
    }

    fn place(&self, client: &Client) -> Location {
        match client {
            Client::Entry(index, _) => Location::Zone(self.slots[*index].zone),
            Client::Keeper(index) => Location::Zone(self.keepers[*index].zone),
        }
    }

    fn is_cut(&self, from: Location, to: Location) -> bool {
        self.cuts.contains(&(from, to))
    }

    /// Time for a message between two places.
    fn latency(&mut self, from: Location, to: Location) -> Duration {
        let micros = if from == to {
            self.rng.random_range(100..400)
        } else {
            self.rng.random_range(1_300..1_800)
        };
        Duration::from_micros(micros)
    }

    fn ask_log(&mut self, client: Client, request: LogRequest) {
        let place = self.place(&client);
        let sent = Duration::from_secs(1_000) + self.now;
        if self.is_cut(place, Location::Platform) {
            self.lose_log(client, request, sent);
            return;
        }
        let mut at = self.now + self.latency(place, Location::Platform);
        if let Mode::Slow { ms } = self.log.mode {
            at += Duration::from_millis(ms);
        }
        match request {
            LogRequest::Read { from, wait } => self.push(
                at,
                Due::LogRead {
                    client,
                    from,
                    until: at + wait,
                    sent,
                },
            ),
            LogRequest::Append(entry) => self.push(at, Due::LogAppend { client, entry }),
        }
    }

    fn lose_log(&mut self, client: Client, request: LogRequest, sent: Duration) {
        let at = self.now + LOG_TIMEOUT;
        match request {
            LogRequest::Read { .. } => self.deliver_read(at, client, sent, Err(Error::Lost)),
            LogRequest::Append(_) => self.deliver_appended(at, client, Err(Error::Lost)),
        }
    }

    fn deliver_read(&mut self, at: Duration, client: Client, sent: Duration, result: Result<LogRead, Error>) {
        match client {
            Client::Entry(index, generation) => self.push(at, Due::Entry(index, generation, Event::Read { sent, result })),
            Client::Keeper(index) => self.push(at, Due::Keeper(index, maintain::Event::Read { sent, result })),
        }
    }

    fn deliver_appended(&mut self, at: Duration, client: Client, result: Result<Offset, Error>) {
        match client {
            Client::Entry(index, generation) => self.push(at, Due::Entry(index, generation, Event::Appended(result))),
            Client::Keeper(index) => self.push(at, Due::Keeper(index, maintain::Event::Appended(result))),
        }
    }

    fn log_read(&mut self, client: Client, from: Offset, until: Duration, sent: Duration) {
        const LOOK: Duration = Duration::from_millis(4);
        if self.log.tail() <= from && self.now < until && self.log.mode != Mode::Down {
            let due = Due::LogRead { client, from, until, sent };
            self.push(self.now + LOOK, due);
            return;
        }
        let result = self.log.read(from);
        let place = self.place(&client);
        let lost = self.is_cut(Location::Platform, place);
        let at = self.now
            + if lost {
                LOG_TIMEOUT
            } else {
                self.latency(Location::Platform, place)
            };
        self.deliver_read(at, client, sent, if lost { Err(Error::Lost) } else { result });
    }

    fn log_append(&mut self, client: Client, entry: Bytes) {
        let result = self.append(entry);
        let place = self.place(&client);
        let lost = self.is_cut(Location::Platform, place) || result == Err(Error::Lost);
        let at = self.now
            + if lost {
                LOG_TIMEOUT
            } else {
                self.latency(Location::Platform, place)
            };
        self.deliver_appended(at, client, if lost { Err(Error::Lost) } else { result });
    }

    /// Appends and notes in the history what became true with it.
    fn append(&mut self, entry: Bytes) -> Result<Offset, Error> {
        let before = self.log.tail();
        let result = self.log.append(self.now, entry.clone());
        if self.log.tail() == before {
            return result;
        }
        self.append_count += 1;
        if let Ok(payload) = Payload::decode(&entry) {
            self.committed_state.apply(&payload);
            self.note_payload(before, &payload);
        }
        result
    }

    fn note_payload(&mut self, offset: Offset, payload: &Payload) {
        let at_ms = self.now_ms();
        self.history.record(at_ms, EventKind::Accepted { offset });
        let Payload::Records(records) = payload else {
            return;
        };
        let accepted = |it: &&Record| self.committed_state.outcome(&it.op) == Some(&oriolewall::state::RecordOutcome::Accepted(offset));
        let records: Vec<&Record> = records.iter().filter(accepted).collect();
        let about_fleet = records.iter().any(|it| is_about_fleet(&it.change));
        let granted = records.iter().any(|it| matches!(it.change, Change::Permit { .. }));
        if about_fleet {
            crate::history::record_fleet(&self.history, at_ms, &self.committed_state, granted);
        }
        for record in records {
            for kind in operators::facts(&record.change, &self.committed_state) {
                self.history.record(at_ms, kind);
            }
        }
    }

    /// A change made before anything runs.
    fn accept_now(&mut self, change: Change) {
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
        // The set-up is not limited by the log's rate.
        self.log.reset_rate_limit();
        let _ = self.append(entry);
    }

    fn ask_list(&mut self, client: Client) {
        let place = self.place(&client);
        let lost = self.is_cut(place, Location::Platform) || self.is_cut(Location::Platform, place);
        if lost {
            self.deliver_list(self.now + LOG_TIMEOUT, client, Err(Error::Lost));
            return;
        }
        let at = self.now + self.latency(place, Location::Platform);
        self.push(at, Due::List { client });
    }

    fn read_list(&mut self, client: Client) {
        let place = self.place(&client);
        let list = self.list.read(self.now);
        let at = self.now + self.latency(Location::Platform, place);
        self.deliver_list(at, client, Ok(list));
    }

    fn deliver_list(&mut self, at: Duration, client: Client, result: Result<Vec<ListedInstance>, Error>) {
        match client {
            Client::Entry(index, generation) => self.push(at, Due::Entry(index, generation, Event::Listed(result))),
            Client::Keeper(index) => self.push(at, Due::Keeper(index, maintain::Event::Listed(result))),
        }
    }

    fn ask_worker(&mut self, client: Client, id: u64, instance: InstanceId, request: WorkerRequest) {
        let sent = Duration::from_secs(1_000) + self.now;
        let wait = match &request {
            WorkerRequest::Wait { wait_ms, .. } => Duration::from_millis(*wait_ms),
            _ => Duration::ZERO,
        };
        let place = self.place(&client);
        let mut at = self.now + self.latency(place, place);
        if let (WorkerRequest::Start(_), Some(by)) = (&request, self.delay_starts)
            && self.rng.random_bool(0.2)
        {
            at += by;
        }
        self.push(
            at,
            Due::Worker {
                client,
                id,
                instance,
                request,
                sent,
                until: at + wait,
            },
        );
    }

    fn worker_call(&mut self, client: Client, id: u64, instance: InstanceId, request: WorkerRequest, sent: Duration, until: Duration) {
        const LOOK: Duration = Duration::from_millis(10);
        let now_ms = self.true_wall_ms();
        let epoch_ms = EPOCH.as_millis() as u64;
        let Some((_, worker)) = self.workers.get_mut(&instance) else {
            let at = sent - Duration::from_secs(1_000) + WORKER_TIMEOUT;
            self.deliver_call(at.max(self.now), client, id, instance, sent, Err(Error::Lost));
            return;
        };
        let request = request.shifted(epoch_ms);
        let response = worker.handle(now_ms - epoch_ms, &request);
        if response == Some(WorkerResponse::Pending) && self.now < until {
            self.push(
                self.now + LOOK,
                Due::Worker {
                    client,
                    id,
                    instance,
                    request: request.unshifted(epoch_ms),
                    sent,
                    until,
                },
            );
            return;
        }
        let timeout = sent - Duration::from_secs(1_000) + WORKER_TIMEOUT + (until - self.now.min(until));
        let place = self.place(&client);
        let reply = self.now + self.latency(place, place);
        match response {
            // An answer after the caller's time-out is not heard.
            Some(response) if reply <= timeout.max(until + WORKER_TIMEOUT) => {
                self.deliver_call(reply, client, id, instance, sent, Ok(response));
            }
            _ => self.deliver_call(timeout.max(self.now), client, id, instance, sent, Err(Error::Lost)),
        }
    }

    fn deliver_call(
        &mut self,
        at: Duration,
        client: Client,
        id: u64,
        instance: InstanceId,
        sent: Duration,
        result: Result<WorkerResponse, Error>,
    ) {
        match client {
            Client::Entry(index, generation) => self.push(at, Due::Entry(index, generation, Event::CallReturned { id, sent, result })),
            Client::Keeper(index) => self.push(at, Due::Keeper(index, maintain::Event::Called { instance, result })),
        }
    }

    fn send_frame(&mut self, from: usize, to: MemberId, frame: Frame) {
        let Some((index, generation)) = self.members.get(&to).copied() else {
            return;
        };
        self.message_count += 1;
        if let Some(bytes) = &mut self.message_bytes {
            *bytes += frame.encode().len() as u64;
        }
        let (here, there) = (Location::Zone(self.slots[from].zone), Location::Zone(self.slots[index].zone));
        if self.is_cut(here, there) {
            return;
        }
        let at = self.now + self.latency(here, there);
        self.push(at, Due::Entry(index, generation, Event::FrameReceived(frame)));
    }

    /// Notes what every entry has in force.
    fn sample(&mut self) {
        self.push(self.now + SAMPLE, Due::Sample);
        let at_ms = self.now_ms();
        for slot in &self.slots {
            let Some(entry) = &slot.entry else {
                continue;
            };
            let zone = Location::Zone(slot.zone);
            let linked = !self.is_cut(zone, Location::Platform) && !self.is_cut(Location::Platform, zone);
            let up = matches!(self.log.mode, Mode::Up | Mode::LoseAnswers);
            let reachable = linked && up && slot.paused_until <= self.now && entry.lifecycle() == Lifecycle::Active;
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
                self.keep_events(entry);
                self.slots[entry].entry = None;
                self.slots[entry].generation += 1;
                self.cut_callers(entry, false);
                self.push(self.now + back, Due::Start(entry));
            }
            Fault::Stop { entry } => {
                self.slots[entry].stopping = true;
                let generation = self.slots[entry].generation;
                self.step(entry, generation, Event::Stop);
            }
            Fault::Pause { entry, time } => self.slots[entry].paused_until = self.now + time,
            Fault::Cut { from, to, both, time } => {
                self.cuts.push((from, to));
                if both {
                    self.cuts.push((to, from));
                }
                self.push(self.now + time, Due::EndFault(fault));
            }
            Fault::Log { mode, time } => {
                self.log.mode = mode;
                self.push(self.now + time, Due::EndFault(fault));
            }
            Fault::Worker { worker, faults, time } => {
                self.worker_mut(worker).faults = faults;
                self.push(self.now + time, Due::EndFault(fault));
            }
            Fault::Crash { worker, time } => {
                let now_ms = self.now_ms();
                let back_ms = (self.now + time).as_millis() as u64;
                self.worker_mut(worker).crash(now_ms, back_ms);
            }
            Fault::DelayStarts { by, time } => {
                self.delay_starts = Some(by);
                self.push(self.now + time, Due::EndFault(fault));
            }
            Fault::Depart { worker, time } => self.begin_departure(worker, time, fault),
            Fault::ZoneOut { .. }
            | Fault::Restrict { .. }
            | Fault::Withdraw { .. }
            | Fault::Cap { .. }
            | Fault::Drain { .. }
            | Fault::Move { .. } => {
                self.begin_operation(&fault);
            }
        }
    }

    fn begin_departure(&mut self, worker: usize, time: Duration, fault: Fault) {
        let id = self.worker_names[worker].clone();
        self.worker_mut(worker).faults.leaving = true;
        self.list.set_presence(self.now, &id, Some(oriolewall::platform::Presence::Leaving));
        self.history.record(self.now_ms(), EventKind::Depart { worker: id.to_string() });
        self.push(self.now + time.max(Duration::from_secs(6)), Due::EndFault(fault));
    }

    fn end_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Cut { from, to, both, .. } => {
                self.heal(from, to);
                if both {
                    self.heal(to, from);
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
            Fault::DelayStarts { .. } => self.delay_starts = None,
            Fault::Depart { worker, .. } => {
                let id = self.worker_names[worker].clone();
                self.worker_mut(worker).faults.leaving = false;
                self.list.set_presence(self.now, &id, Some(oriolewall::platform::Presence::Live));
                self.history.record(self.now_ms(), EventKind::Return { worker: id.to_string() });
            }
            _ => {}
        }
    }

    /// Ends one cut of a link; others of the same link stay.
    fn heal(&mut self, from: Location, to: Location) {
        if let Some(index) = self.cuts.iter().position(|it| *it == (from, to)) {
            self.cuts.remove(index);
        }
    }

    fn worker_mut(&mut self, index: usize) -> &mut Worker {
        let id = &self.worker_names[index];
        &mut self.workers.get_mut(id).expect("workers are never removed").1
    }

    /// Entries that a balancer sends callers to.
    fn open_entries(&self) -> Vec<usize> {
        let open = |slot: &Slot| slot.entry.as_ref().is_some_and(|it| it.lifecycle() == Lifecycle::Active) && !slot.stopping;
        (0..self.slots.len()).filter(|it| open(&self.slots[*it])).collect()
    }

    pub(crate) fn random_uuid(&mut self, wall_ms: u64) -> Uuid {
        let mut bytes = [0u8; 10];
        self.rng.fill(&mut bytes);
        uuid::Builder::from_unix_timestamp_millis(wall_ms, &bytes).into_uuid()
    }

    /// Sum of slots that workers of zones that take work have.
    pub fn committed_state(&self) -> &State {
        &self.committed_state
    }

    /// Keeps the events of an incarnation for traces.
    fn keep_events(&mut self, index: usize) {
        if let Some(entry) = &self.slots[index].entry {
            self.past_events.extend(entry.events().page_after(0).events);
        }
    }

    /// Events of all incarnations, in one order.
    pub fn events(&self) -> Vec<oriolewall::event::Event> {
        let mut events = self.past_events.clone();
        events.extend(self.entries().flat_map(|it| it.events().page_after(0).events));
        oriolewall::event::sort(events)
    }

    /// All entries that run.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.slots.iter().filter_map(|it| it.entry.as_ref())
    }
}

fn is_about_fleet(change: &Change) -> bool {
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

/// Name of a zone.
pub fn zone_name(zone: usize) -> String {
    format!("z{zone}")
}

fn fake_addr(zone: usize, index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, zone as u8, 1], 1_000 + index as u16))
}

/// Start requests carry a wall-clock time; the workers of a run count from its start.
trait Shifted {
    fn shifted(self, epoch_ms: u64) -> WorkerRequest;
    fn unshifted(self, epoch_ms: u64) -> WorkerRequest;
}

impl Shifted for WorkerRequest {
    fn shifted(self, epoch_ms: u64) -> WorkerRequest {
        match self {
            WorkerRequest::Start(mut start) => {
                start.start_by_ms = start.start_by_ms.saturating_sub(epoch_ms);
                WorkerRequest::Start(start)
            }
            other => other,
        }
    }

    fn unshifted(self, epoch_ms: u64) -> WorkerRequest {
        match self {
            WorkerRequest::Start(mut start) => {
                start.start_by_ms += epoch_ms;
                WorkerRequest::Start(start)
            }
            other => other,
        }
    }
}
