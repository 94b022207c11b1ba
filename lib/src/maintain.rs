//! The state machine of the maintenance process: drains, waves, snapshots.
//!
//! Any number of them may run; each asks for permits, and the log's order
//! decides. A maintainer that dies leaves every drain where another finds it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;

use crate::clock::Now;
use crate::event::{self, Kind};
use crate::fleet::{Health, Instance, Phase, Purpose};
use crate::id::{InstanceId, MemberId, Offset, ZoneId};
use crate::log_client::{LogClient, LogRequest};
use crate::platform::{self, ListedInstance, LogRead, WorkerRequest, WorkerResponse};
use crate::record::{Change, Payload};
use crate::replica::Replica;
use crate::setting;
use crate::snapshot;
use crate::state::State;

/// Time between two rounds over the drains of the zone.
const ROUND: Duration = Duration::from_millis(500);
/// Time between two reads of the instance list.
const LIST_EVERY: Duration = Duration::from_secs(1);
/// Time a drained instance must have been without new work before it is rebooted.
const QUIET: Duration = Duration::from_millis(3_000);
/// Time after which a drain that has not ended is reported.
const STUCK: Duration = Duration::from_secs(600);

/// Settings of one maintenance process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its incarnation.
    pub id: MemberId,
    /// Zone whose instances it drains.
    pub zone: ZoneId,
    /// Offsets between two snapshots.
    pub snapshot_every: Offset,
    /// Seed of the operation ids.
    pub seed: u64,
}

/// What a maintenance process is told.
#[derive(Debug)]
pub enum Event {
    /// Time has passed.
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
    Called {
        /// The worker.
        instance: InstanceId,
        /// What it returned.
        result: Result<WorkerResponse, platform::Error>,
    },
}

/// What a maintenance process wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Ask the log.
    Log(LogRequest),
    /// Read the instance list.
    List,
    /// Call a worker.
    Call {
        /// The worker.
        instance: InstanceId,
        /// Its address.
        addr: std::net::SocketAddr,
        /// The request.
        request: WorkerRequest,
    },
}

/// One maintenance process.
#[derive(Debug)]
pub struct Maintainer {
    cfg: Settings,
    journal: LogClient,
    drains: BTreeMap<InstanceId, Drain>,
    absent_since: BTreeMap<InstanceId, Duration>,
    listing: bool,
    list_at: Duration,
    round_at: Duration,
    snapshot_at: Offset,
    events: event::EventBuffer,
    actions: Vec<Action>,
}

/// What this process knows of a drain beyond its record.
#[derive(Debug)]
struct Drain {
    phase: Phase,
    since: Duration,
    began: Duration,
    asked: bool,
    idle: bool,
    reported: bool,
}

impl Maintainer {
    /// Starts from a replica.
    pub fn new(cfg: Settings, replica: Replica, now: Now) -> Maintainer {
        let mut events = event::EventBuffer::new(cfg.id.clone());
        events.push(now, Kind::Began { zone: cfg.zone.clone() });
        let next = replica.state().next_offset();
        Maintainer {
            journal: LogClient::new(&cfg.id, replica, cfg.seed),
            drains: BTreeMap::new(),
            absent_since: BTreeMap::new(),
            listing: false,
            list_at: Duration::ZERO,
            round_at: Duration::ZERO,
            snapshot_at: next,
            events,
            actions: Vec::new(),
            cfg,
        }
    }

    /// Takes one event in and returns what is to be done.
    pub fn step(&mut self, now: Now, event: Event) -> Vec<Action> {
        match event {
            Event::Tick => self.tick(now),
            Event::Read { sent, result } => {
                self.journal.on_read(now, sent, result);
                self.journal.take_resolved();
            }
            Event::Appended(result) => self.journal.on_appended(now, result),
            Event::Listed(result) => self.on_listed(now, result),
            Event::Called { instance, result } => self.on_called(now, instance, result),
        }
        let requests = self.journal.take_due_requests(now);
        self.actions.extend(requests.into_iter().map(Action::Log));
        std::mem::take(&mut self.actions)
    }

    /// The shared state as this process knows it.
    pub fn state(&self) -> &State {
        self.journal.state()
    }

    /// The latest events.
    pub fn events(&self) -> &event::EventBuffer {
        &self.events
    }

    fn tick(&mut self, now: Now) {
        if !self.listing && self.list_at <= now.mono {
            self.list_at = now.mono + LIST_EVERY;
            self.listing = true;
            self.actions.push(Action::List);
        }
        if now.mono < self.round_at || !self.is_fresh(now) {
            return;
        }
        self.round_at = now.mono + ROUND;
        self.mind_drains(now);
        self.mind_wave(now);
        self.mind_snapshot(now);
    }

    /// Decisions are taken on a recent view only; without the log none are due.
    fn is_fresh(&self, now: Now) -> bool {
        const LONGEST_AGE: Duration = Duration::from_secs(2);
        self.journal.replica().age(now.mono).is_some_and(|age| age < LONGEST_AGE)
    }

    /// Instances of this zone that vanish from the list are down; ones that return are up.
    fn on_listed(&mut self, now: Now, result: Result<Vec<ListedInstance>, platform::Error>) {
        const CONFIRM: Duration = Duration::from_secs(3);
        self.listing = false;
        let Ok(list) = result else {
            return;
        };
        let listed: BTreeSet<InstanceId> = list.into_iter().map(|it| it.id).collect();
        let mut changes = Vec::new();
        for (id, instance) in self.journal.state().fleet.iter().filter(|(_, it)| it.zone == self.cfg.zone) {
            if listed.contains(id) {
                self.absent_since.remove(id);
                if instance.health == Health::Down {
                    changes.push(Change::Observe {
                        id: id.clone(),
                        health: Health::Up,
                    });
                }
                continue;
            }
            let since = *self.absent_since.entry(id.clone()).or_insert(now.mono);
            if instance.health == Health::Up && since + CONFIRM <= now.mono {
                changes.push(Change::Observe {
                    id: id.clone(),
                    health: Health::Down,
                });
            }
        }
        for change in changes {
            self.propose(now, change);
        }
    }

    /// Appends a change unless the same one is under way.
    fn propose(&mut self, now: Now, change: Change) {
        if self.journal.unresolved_changes().all(|it| *it != change) {
            self.journal.append(now, change);
        }
    }

    /// Whether this process is the one of its zone that drives drains: the
    /// work is idempotent, so two that believe so do no harm.
    fn mind_drains(&mut self, now: Now) {
        let state = self.journal.state();
        let under_permit = state.fleet.iter().filter(|(_, it)| it.zone == self.cfg.zone && it.permit.is_some());
        let found: Vec<(InstanceId, Instance)> = under_permit.map(|(id, it)| (id.clone(), it.clone())).collect();
        self.drains.retain(|id, _| found.iter().any(|(it, _)| it == id));
        for (id, instance) in found {
            self.mind_drain(now, id, &instance);
        }
    }

    fn mind_drain(&mut self, now: Now, id: InstanceId, instance: &Instance) {
        let Some(permit) = &instance.permit else {
            return;
        };
        let began = self.drains.get(&id).map_or(now.mono, |it| it.began);
        let known = self.drains.get(&id).is_some_and(|it| it.phase == permit.phase);
        if !known {
            let phase = format!("{:?}", permit.phase).to_lowercase();
            self.events.push(
                now,
                Kind::Drain {
                    instance: id.clone(),
                    pool: instance.pool.clone(),
                    phase,
                },
            );
            let drain = Drain {
                phase: permit.phase,
                since: now.mono,
                began,
                asked: false,
                idle: false,
                reported: false,
            };
            self.drains.insert(id.clone(), drain);
        }
        self.report_stuck(now, &id);
        let Some(drain) = self.drains.get(&id) else {
            return;
        };
        let settled = drain.since + QUIET <= now.mono;
        match (permit.phase, &permit.purpose) {
            (Phase::Draining, _) if drain.idle && settled => {
                self.propose(
                    now,
                    Change::Advance {
                        id,
                        from: Phase::Draining,
                        to: Phase::Drained,
                    },
                );
            }
            (Phase::Draining, _) => self.look(id, instance),
            (Phase::Drained, Purpose::Hold) => {}
            (Phase::Drained, Purpose::Move { .. }) => self.propose(now, Change::Release { id }),
            (Phase::Drained, Purpose::Maintain) => {
                self.propose(
                    now,
                    Change::Advance {
                        id,
                        from: Phase::Drained,
                        to: Phase::Rebooting,
                    },
                );
            }
            (Phase::Rebooting, _) => self.reboot(id, instance),
            (Phase::Probing, _) if drain.idle => self.propose(now, Change::Release { id }),
            (Phase::Probing, _) => self.look(id, instance),
        }
    }

    /// A drain that does not end is reported, never forced.
    fn report_stuck(&mut self, now: Now, id: &InstanceId) {
        let Some(drain) = self.drains.get_mut(id) else {
            return;
        };
        if drain.reported || now.mono < drain.began + STUCK {
            return;
        }
        drain.reported = true;
        let text = format!(
            "drain of {id} has lasted more than {} s in phase {:?}",
            STUCK.as_secs(),
            drain.phase
        );
        self.events.push(now, Kind::Note { text });
    }

    /// Asks a worker what it runs.
    fn look(&mut self, id: InstanceId, instance: &Instance) {
        self.actions.push(Action::Call {
            instance: id,
            addr: instance.addr,
            request: WorkerRequest::List,
        });
    }

    fn reboot(&mut self, id: InstanceId, instance: &Instance) {
        let asked = self.drains.get(&id).is_some_and(|it| it.asked);
        // After the request the first answer says that it is back.
        let request = if asked { WorkerRequest::List } else { WorkerRequest::Reboot };
        self.actions.push(Action::Call {
            instance: id,
            addr: instance.addr,
            request,
        });
    }

    fn on_called(&mut self, now: Now, instance: InstanceId, result: Result<WorkerResponse, platform::Error>) {
        let Some(drain) = self.drains.get_mut(&instance) else {
            return;
        };
        match (drain.phase, result) {
            (Phase::Draining | Phase::Probing, Ok(WorkerResponse::Tasks(tasks))) => {
                let busy = tasks.iter().any(|it| !it.finished);
                drain.idle = !busy;
                let running: Vec<_> = tasks.into_iter().filter(|it| !it.finished).map(|it| it.task).collect();
                if busy && drain.phase == Phase::Draining {
                    self.clear(&instance, running);
                }
            }
            (Phase::Rebooting, Ok(WorkerResponse::Ok)) => drain.asked = true,
            (Phase::Rebooting, Ok(WorkerResponse::Tasks(_))) if drain.asked => {
                let change = Change::Advance {
                    id: instance,
                    from: Phase::Rebooting,
                    to: Phase::Probing,
                };
                self.propose(now, change);
            }
            _ => {}
        }
    }

    /// Does with running work what the tree says.
    fn clear(&mut self, id: &InstanceId, running: Vec<platform::TaskAttempt>) {
        let state = self.journal.state();
        let Some(instance) = state.fleet.get(id) else {
            return;
        };
        let path = crate::state::zone_pool_path(&instance.zone, &instance.pool);
        let checkpoint = match state.tree.get(&path, setting::ON_DRAIN) {
            "checkpoint" => true,
            "stop" => false,
            _ => return,
        };
        let addr = instance.addr;
        for task in running {
            self.actions.push(Action::Call {
                instance: id.clone(),
                addr,
                request: WorkerRequest::Stop { task, checkpoint },
            });
        }
    }

    /// Asks for permits for the next instances of the wave in this zone.
    fn mind_wave(&mut self, now: Now) {
        let state = self.journal.state();
        let Some(order) = &state.wave else {
            return;
        };
        let next = order.next_instances(&state.fleet, &self.cfg.zone, |pool| state.budget(pool));
        let mut changes = Vec::new();
        for id in next {
            let Some(instance) = state.fleet.get(&id).filter(|it| it.zone == self.cfg.zone) else {
                continue;
            };
            changes.push(Change::Permit {
                id,
                epoch: instance.epoch,
                purpose: Purpose::Maintain,
            });
        }
        for change in changes {
            self.propose(now, change);
        }
    }

    /// Writes a snapshot when enough offsets have passed since the last one.
    fn mind_snapshot(&mut self, now: Now) {
        let next = self.journal.state().next_offset();
        if next < self.snapshot_at + self.cfg.snapshot_every {
            return;
        }
        self.snapshot_at = next;
        let id = uuid::Builder::from_unix_timestamp_millis(now.wall_ms(), &seed_bytes(&self.cfg.id, next)).into_uuid();
        for chunk in snapshot::split(id, self.journal.state()) {
            let entry: Bytes = Payload::Chunk(chunk).encode();
            self.journal.queue_payload(entry);
        }
    }
}

fn seed_bytes(id: &str, next: Offset) -> [u8; 10] {
    use sha2::{Digest, Sha256};
    let digest = Sha256::new().chain_update(id).chain_update(next.to_be_bytes()).finalize();
    let mut bytes = [0; 10];
    bytes.copy_from_slice(&digest[..10]);
    bytes
}
