//! State machine of the maintenance process: health of instances, drains,
//! maintenance waves and snapshots.
//!
//! Any number of maintenance processes may run, because every change goes
//! through the log, whose order decides races. The progress of a drain is
//! recorded there too, so that another process continues it if one fails.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;

use crate::clock::Now;
use crate::event::{self, Kind};
use crate::fleet::{Health, Instance, Phase, Purpose};
use crate::id::{InstanceId, MemberId, Offset, ZoneId};
use crate::log_sync::{LogRequest, LogSync};
use crate::platform::{self, ListedInstance, LogRead, WorkerRequest, WorkerResponse};
use crate::record::{Change, Payload};
use crate::replica::Replica;
use crate::setting;
use crate::snapshot;
use crate::state::State;

/// Interval between two passes over the drains, the wave and the snapshot.
const PASS_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between two reads of the instance list.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum time in the draining phase. Entry instances whose view of the log is
/// older than the permit may still start tasks on the instance.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(3_000);
/// Time after which a disruption that has not ended is reported.
const STUCK_AFTER: Duration = Duration::from_secs(600);

/// Settings of a maintenance process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this incarnation of the process; author of its records.
    pub id: MemberId,
    /// Zone whose instances it observes and drains.
    pub zone: ZoneId,
    /// Number of log entries between two snapshots.
    pub snapshot_every: Offset,
    /// Seed from which the operation ids of its records are generated.
    pub seed: u64,
}

/// Input of the state machine.
#[derive(Debug)]
pub enum Event {
    /// Triggers work that is due; sent at regular intervals.
    Tick,
    /// A read of the log returned.
    Read {
        /// Monotonic time before the read was sent.
        sent: Duration,
        /// Entries read, or the error.
        result: Result<LogRead, platform::Error>,
    },
    /// An append to the log returned.
    Appended(Result<Offset, platform::Error>),
    /// A read of the instance list returned.
    Listed(Result<Vec<ListedInstance>, platform::Error>),
    /// A call to a worker returned.
    Called {
        /// Worker that was called.
        instance: InstanceId,
        /// Its response, or the error.
        result: Result<WorkerResponse, platform::Error>,
    },
}

/// Output of the state machine: a call for the caller to make.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a request to the log.
    Log(LogRequest),
    /// Read the instance list.
    List,
    /// Call a worker.
    Call {
        /// Worker to call.
        instance: InstanceId,
        /// Address of the worker.
        addr: std::net::SocketAddr,
        /// Request to send.
        request: WorkerRequest,
    },
}

/// State machine of a maintenance process.
#[derive(Debug)]
pub struct Maintainer {
    settings: Settings,
    log: LogSync,
    /// Local state of the disruptions in progress in this zone.
    drains: BTreeMap<InstanceId, DrainState>,
    /// When each instance that is missing from the list was first found missing.
    absent_since: BTreeMap<InstanceId, Duration>,
    list_in_flight: bool,
    next_list_at: Duration,
    next_pass_at: Duration,
    /// Offset of the last snapshot, or at which this process began.
    last_snapshot_at: Offset,
    events: event::EventBuffer,
    actions: Vec<Action>,
}

/// State of a disruption that only this process holds, in addition to the recorded permit.
#[derive(Debug)]
struct DrainState {
    /// Recorded phase when it was last read.
    phase: Phase,
    /// When this process first saw the current phase.
    phase_since: Duration,
    /// When this process first saw the disruption.
    first_seen_at: Duration,
    /// The worker has accepted the reboot request.
    reboot_accepted: bool,
    /// The worker's last list in this phase contained no running task.
    is_idle: bool,
    /// The disruption has been reported as stuck.
    stuck_reported: bool,
}

impl Maintainer {
    /// Creates a maintenance process that continues from a replica.
    pub fn new(settings: Settings, replica: Replica, now: Now) -> Maintainer {
        let mut events = event::EventBuffer::new(settings.id.clone());
        events.push(
            now,
            Kind::Began {
                zone: settings.zone.clone(),
            },
        );
        let next = replica.state().next_offset();
        Maintainer {
            log: LogSync::new(&settings.id, replica, settings.seed),
            drains: BTreeMap::new(),
            absent_since: BTreeMap::new(),
            list_in_flight: false,
            next_list_at: Duration::ZERO,
            next_pass_at: Duration::ZERO,
            last_snapshot_at: next,
            events,
            actions: Vec::new(),
            settings,
        }
    }

    /// Handles one event and returns the calls to make.
    pub fn step(&mut self, now: Now, event: Event) -> Vec<Action> {
        match event {
            Event::Tick => self.tick(now),
            Event::Read { sent, result } => {
                self.log.on_read(now, sent, result);
                self.log.take_resolved();
            }
            Event::Appended(result) => self.log.on_appended(now, result),
            Event::Listed(result) => self.on_listed(now, result),
            Event::Called { instance, result } => self.on_called(now, instance, result),
        }
        let requests = self.log.take_due_requests(now);
        self.actions.extend(requests.into_iter().map(Action::Log));
        std::mem::take(&mut self.actions)
    }

    /// The shared state as far as this process has read it.
    pub fn state(&self) -> &State {
        self.log.state()
    }

    /// Recent events of this process, for the timeline.
    pub fn events(&self) -> &event::EventBuffer {
        &self.events
    }

    fn tick(&mut self, now: Now) {
        if !self.list_in_flight && self.next_list_at <= now.mono {
            self.next_list_at = now.mono + LIST_INTERVAL;
            self.list_in_flight = true;
            self.actions.push(Action::List);
        }
        if now.mono < self.next_pass_at || !self.has_recent_view(now) {
            return;
        }
        self.next_pass_at = now.mono + PASS_INTERVAL;
        self.advance_drains(now);
        self.request_wave_permits(now);
        self.write_due_snapshot(now);
    }

    /// Whether the view of the log is recent enough to act on. While the log cannot be
    /// read, no drain, wave or snapshot makes progress.
    fn has_recent_view(&self, now: Now) -> bool {
        const MAX_VIEW_AGE: Duration = Duration::from_secs(2);
        self.log.replica().age(now.mono).is_some_and(|age| age < MAX_VIEW_AGE)
    }

    /// Records instances of this zone as down once they have been missing from the list
    /// for some time, and as up when they are listed again.
    fn on_listed(&mut self, now: Now, result: Result<Vec<ListedInstance>, platform::Error>) {
        // The list lags, so a short absence does not count.
        const ABSENT_BEFORE_DOWN: Duration = Duration::from_secs(3);
        self.list_in_flight = false;
        let Ok(list) = result else {
            return;
        };
        let listed: BTreeSet<InstanceId> = list.into_iter().map(|it| it.id).collect();
        let mut changes = Vec::new();
        for (id, instance) in self.log.state().fleet.iter().filter(|(_, it)| it.zone == self.settings.zone) {
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
            if instance.health == Health::Up && since + ABSENT_BEFORE_DOWN <= now.mono {
                changes.push(Change::Observe {
                    id: id.clone(),
                    health: Health::Down,
                });
            }
        }
        for change in changes {
            self.append_once(now, change);
        }
    }

    /// Appends a change unless an equal one is unresolved.
    fn append_once(&mut self, now: Now, change: Change) {
        if self.log.unresolved_changes().all(|it| *it != change) {
            self.log.append(now, change);
        }
    }

    /// Advances every disruption in this zone.
    ///
    /// Several processes of the zone may do so at the same time: the steps are
    /// idempotent, and a phase change is refused unless the permit is still in the
    /// phase that the author had read.
    fn advance_drains(&mut self, now: Now) {
        let state = self.log.state();
        let under_permit = state
            .fleet
            .iter()
            .filter(|(_, it)| it.zone == self.settings.zone && it.permit.is_some());
        let found: Vec<(InstanceId, Instance)> = under_permit.map(|(id, it)| (id.clone(), it.clone())).collect();
        self.drains.retain(|id, _| found.iter().any(|(it, _)| it == id));
        for (id, instance) in found {
            self.advance_drain(now, id, &instance);
        }
    }

    /// Takes the next step that the phase and the purpose of a permit require.
    fn advance_drain(&mut self, now: Now, id: InstanceId, instance: &Instance) {
        let Some(permit) = &instance.permit else {
            return;
        };
        let first_seen_at = self.drains.get(&id).map_or(now.mono, |it| it.first_seen_at);
        let phase_known = self.drains.get(&id).is_some_and(|it| it.phase == permit.phase);
        if !phase_known {
            let phase = format!("{:?}", permit.phase).to_lowercase();
            self.events.push(
                now,
                Kind::Drain {
                    instance: id.clone(),
                    pool: instance.pool.clone(),
                    phase,
                },
            );
            let drain = DrainState {
                phase: permit.phase,
                phase_since: now.mono,
                first_seen_at,
                reboot_accepted: false,
                is_idle: false,
                stuck_reported: false,
            };
            self.drains.insert(id.clone(), drain);
        }
        self.report_stuck(now, &id);
        let Some(drain) = self.drains.get(&id) else {
            return;
        };
        let drained_long_enough = drain.phase_since + MIN_DRAIN_TIME <= now.mono;
        match (permit.phase, &permit.purpose) {
            (Phase::Draining, _) if drain.is_idle && drained_long_enough => {
                self.append_once(
                    now,
                    Change::Advance {
                        id,
                        from: Phase::Draining,
                        to: Phase::Drained,
                    },
                );
            }
            (Phase::Draining, _) => self.list_tasks(id, instance),
            (Phase::Drained, Purpose::Hold) => {}
            (Phase::Drained, Purpose::Move { .. }) => self.append_once(now, Change::Release { id }),
            (Phase::Drained, Purpose::Maintain) => {
                self.append_once(
                    now,
                    Change::Advance {
                        id,
                        from: Phase::Drained,
                        to: Phase::Rebooting,
                    },
                );
            }
            (Phase::Rebooting, _) => self.reboot(id, instance),
            (Phase::Probing, _) if drain.is_idle => self.append_once(now, Change::Release { id }),
            (Phase::Probing, _) => self.list_tasks(id, instance),
        }
    }

    /// Reports a disruption that lasts too long. It is only reported, never forced to end.
    fn report_stuck(&mut self, now: Now, id: &InstanceId) {
        let Some(drain) = self.drains.get_mut(id) else {
            return;
        };
        if drain.stuck_reported || now.mono < drain.first_seen_at + STUCK_AFTER {
            return;
        }
        drain.stuck_reported = true;
        let text = format!(
            "drain of {id} has lasted more than {} s in phase {:?}",
            STUCK_AFTER.as_secs(),
            drain.phase
        );
        self.events.push(now, Kind::Note { text });
    }

    /// Requests the list of a worker's tasks.
    fn list_tasks(&mut self, id: InstanceId, instance: &Instance) {
        self.actions.push(Action::Call {
            instance: id,
            addr: instance.addr,
            request: WorkerRequest::List,
        });
    }

    /// Requests a reboot, then polls the worker until it answers again.
    fn reboot(&mut self, id: InstanceId, instance: &Instance) {
        let reboot_accepted = self.drains.get(&id).is_some_and(|it| it.reboot_accepted);
        // A task list after the accepted reboot means that the worker is back.
        let request = if reboot_accepted {
            WorkerRequest::List
        } else {
            WorkerRequest::Reboot
        };
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
                let is_busy = tasks.iter().any(|it| !it.finished);
                drain.is_idle = !is_busy;
                let running: Vec<_> = tasks.into_iter().filter(|it| !it.finished).map(|it| it.task).collect();
                if is_busy && drain.phase == Phase::Draining {
                    self.apply_drain_policy(&instance, running);
                }
            }
            (Phase::Rebooting, Ok(WorkerResponse::Ok)) => drain.reboot_accepted = true,
            (Phase::Rebooting, Ok(WorkerResponse::Tasks(_))) if drain.reboot_accepted => {
                let change = Change::Advance {
                    id: instance,
                    from: Phase::Rebooting,
                    to: Phase::Probing,
                };
                self.append_once(now, change);
            }
            _ => {}
        }
    }

    /// Leaves, checkpoints or stops the running tasks, as the setting `on_drain` says.
    fn apply_drain_policy(&mut self, id: &InstanceId, running: Vec<platform::TaskAttempt>) {
        let state = self.log.state();
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

    /// Requests permits for the next instances of the current wave in this zone.
    fn request_wave_permits(&mut self, now: Now) {
        let state = self.log.state();
        let Some(wave) = &state.wave else {
            return;
        };
        let next = wave.next_instances(&state.fleet, &self.settings.zone, |pool| state.budget(pool));
        let mut changes = Vec::new();
        for id in next {
            let Some(instance) = state.fleet.get(&id).filter(|it| it.zone == self.settings.zone) else {
                continue;
            };
            changes.push(Change::Permit {
                id,
                epoch: instance.epoch,
                purpose: Purpose::Maintain,
            });
        }
        for change in changes {
            self.append_once(now, change);
        }
    }

    /// Queues a snapshot once enough entries have been applied since the last one.
    fn write_due_snapshot(&mut self, now: Now) {
        let next = self.log.state().next_offset();
        if next < self.last_snapshot_at + self.settings.snapshot_every {
            return;
        }
        self.last_snapshot_at = next;
        let id = uuid::Builder::from_unix_timestamp_millis(now.wall_ms(), &snapshot_id_bytes(&self.settings.id, next)).into_uuid();
        for chunk in snapshot::split(id, self.log.state()) {
            let entry: Bytes = Payload::Chunk(chunk).encode();
            self.log.queue_payload(entry);
        }
    }
}

/// Derives the variable bytes of a snapshot's id from the process and the offset.
fn snapshot_id_bytes(id: &str, next: Offset) -> [u8; 10] {
    use sha2::{Digest, Sha256};
    let digest = Sha256::new().chain_update(id).chain_update(next.to_be_bytes()).finalize();
    let mut bytes = [0; 10];
    bytes.copy_from_slice(&digest[..10]);
    bytes
}
