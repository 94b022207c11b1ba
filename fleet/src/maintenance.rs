//! Maintenance of instances in waves.
//!
//! In a wave, operators ask for the maintenance of a set of instances within a given
//! time, with a limit on how many are down at once. The fleet coordinator empties the
//! instances and then starts the maintenance of each.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use oriole_platform::log::{Entry, ReadResult, STATUS};
use oriole_platform::machine::{Answer, Machine, MachineClient, MachineList, State};
use oriolewall::catalog::Wave;
use oriolewall::id::{InstanceId, PoolId};
use oriolewall::rpc::{Call, PartitionId, Reply};
use serde_json::json;
use tokio::task::JoinSet;

use crate::coordinator::{self, CALL_TIMEOUT, CoordinatorSession, ORDER_WINDOW};
use crate::node::Node;
use crate::{clock, peer, watch};

/// Fraction of a wave's duration in which all its instances should be started. The
/// rest is reserve for workers that empty slowly and for changes of the coordinator.
const TARGET_DURATION_FRACTION: f64 = 0.6;
/// Time between two announcements of a wave's maintenance to the owners of its workers.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

/// Progress of all waves, as known to the current coordinator.
#[derive(Debug, Default)]
pub(crate) struct MaintenanceWaves {
    /// Progress of each wave, by number.
    waves: BTreeMap<u64, WaveProgress>,
    /// Instances that were being emptied at the end of the last round.
    vacating: HashSet<Arc<str>>,
}

/// Progress of one wave.
#[derive(Debug, Default)]
struct WaveProgress {
    /// Time at which a coordinator first saw the wave, in milliseconds since the Unix
    /// epoch; 0 until then.
    first_seen_ms: u64,
    /// Instances whose maintenance has started, or that the platform does not count among
    /// the wave.
    started: HashSet<Arc<str>>,
    /// State last reported to operators; `None` if this coordinator has not reported any.
    reported_state: Option<&'static str>,
    /// Monotonic time of the last announcement to the owners; zero before the first.
    announced_at: Duration,
}

impl MaintenanceWaves {
    /// Restores the progress that earlier coordinators recorded.
    pub(crate) fn restore(newest: ReadResult) -> MaintenanceWaves {
        let mut waves = MaintenanceWaves::default();
        for entry in newest.entries {
            let stored: Option<(u64, Vec<Arc<str>>)> = entry.value.as_deref().and_then(|it| rmp_serde::from_slice(it).ok());
            // The coordinator's other records have keys that are not numbers.
            if let (Ok(wave_number), Some((first_seen_ms, names))) = (entry.key.parse(), stored) {
                let progress = waves.waves.entry(wave_number).or_default();
                progress.first_seen_ms = first_seen_ms;
                progress.started.extend(names);
            }
        }
        waves
    }

    /// Returns the instances that are being emptied for maintenance.
    pub(crate) fn vacating(&self) -> &HashSet<Arc<str>> {
        &self.vacating
    }

    /// Runs one round of each wave that is not completed.
    pub(crate) async fn advance(
        &mut self,
        node: &Arc<Node>,
        machine_client: &Arc<MachineClient>,
        all_machines: &MachineList,
        session: &mut CoordinatorSession,
    ) {
        let catalog = node.catalog();
        let mut vacating = HashSet::new();
        for (wave_number, wave) in &catalog.waves {
            let progress = self.waves.entry(*wave_number).or_default();
            if progress.reported_state == Some("completed") {
                continue;
            }
            let round = WaveRound {
                node,
                machine_client,
                all_machines,
                wave_number: *wave_number,
                previously_vacating: &self.vacating,
            };
            vacating.extend(round.advance(wave, progress, session).await);
        }
        self.vacating = vacating;
    }
}

/// One round of one wave.
struct WaveRound<'a> {
    node: &'a Arc<Node>,
    machine_client: &'a Arc<MachineClient>,
    /// All instances, as the platform lists them.
    all_machines: &'a MachineList,
    wave_number: u64,
    /// Instances that were being emptied at the end of the last round.
    previously_vacating: &'a HashSet<Arc<str>>,
}

impl WaveRound<'_> {
    /// Starts the maintenance of instances on which nothing runs, and empties further
    /// ones, up to the wave's limit on instances that are down. Returns the instances
    /// that are being emptied.
    async fn advance(&self, wave: &Wave, progress: &mut WaveProgress, session: &mut CoordinatorSession) -> HashSet<Arc<str>> {
        let now_ms = clock::now().wall_ms();
        if progress.first_seen_ms == 0 {
            progress.first_seen_ms = now_ms;
        }
        if progress.reported_state.is_none() && self.report_state("running").await {
            progress.reported_state = Some("running");
        }
        let machines_by_name: HashMap<&str, &Machine> = self.all_machines.machines.iter().map(|it| (&*it.name, it)).collect();
        let wave_machines = wave.instances.iter().filter_map(|it| machines_by_name.get(&**it));
        let in_maintenance = wave_machines.filter(|it| it.state == State::Upkeep).count();
        let mut allowed_down = (wave.max_down as usize).saturating_sub(in_maintenance);
        let pending = wave.instances.iter().filter(|it| !progress.started.contains(*it));
        let pending: Vec<(&Arc<str>, &Machine)> = pending.filter_map(|it| Some((it, *machines_by_name.get(&**it)?))).collect();
        let mut remaining = pending.len();
        // An instance of the wave that is not listed is gone, unless its entry cannot be read.
        let is_listed = |it: &Arc<str>| machines_by_name.contains_key(&**it);
        let all_known = self.all_machines.unreadable == 0 || wave.instances.iter().all(|it| progress.started.contains(it) || is_listed(it));
        self.announce(progress, &pending).await;
        let mut ready: Vec<(&Arc<str>, &Machine)> = pending
            .into_iter()
            .filter(|(_, it)| it.state == State::Up && session.may_order(&it.name))
            .collect();
        let loads = self.fetch_worker_loads(&ready).await;
        // Continue with instances that are being emptied already, then take the least
        // loaded. Busy workers come last, as many will be idle by then.
        ready.sort_by_key(|(name, machine)| {
            let load = machine.worker.as_ref().and_then(|it| loads.get(it)).copied().unwrap_or(0);
            (!self.previously_vacating.contains(*name), load, (*name).clone())
        });
        // Instances that are idle or run only long-running tasks, which are moved to other
        // workers, go down at little cost. Others are emptied only when the wave is behind
        // schedule.
        let elapsed_fraction =
            now_ms.saturating_sub(progress.first_seen_ms) as f64 / (wave.duration_ms as f64 * TARGET_DURATION_FRACTION).max(1.0);
        let target_started = (wave.instances.len() as f64 * elapsed_fraction).ceil() as usize;
        let mut shortfall = target_started.saturating_sub(progress.started.len());
        let requested_at = clock::now().mono;
        let mut chosen = Vec::new();
        let mut by_pool: HashMap<&PoolId, usize> = HashMap::new();
        let max_chosen = self.max_chosen_per_round();
        for (name, machine) in ready {
            if allowed_down == 0 {
                break;
            }
            let chosen_in_pool = by_pool.entry(&machine.pool).or_default();
            let load = machine.worker.as_ref().and_then(|it| loads.get(it)).copied().unwrap_or(0);
            if max_chosen.get(&machine.pool).copied().unwrap_or(0) <= *chosen_in_pool || 0 < load && shortfall == 0 {
                continue;
            }
            shortfall = shortfall.saturating_sub(1);
            *chosen_in_pool += 1;
            allowed_down -= 1;
            chosen.push((machine.pool.clone(), machine.worker.clone(), name.clone()));
        }
        let (vacant, vacating) = coordinator::vacate_workers(self.node, true, chosen).await;
        // If the answers took too long, the workers may get new work before the orders
        // arrive. The next round asks again.
        if !vacant.is_empty() && session.record_intent(self.node, &vacant).await && clock::now().mono <= requested_at + ORDER_WINDOW {
            let mut orders = JoinSet::new();
            for name in vacant {
                orders.spawn(order_maintenance(
                    self.node.clone(),
                    self.machine_client.clone(),
                    self.wave_number,
                    name,
                    session.fencing_token,
                ));
            }
            for name in orders.join_all().await.into_iter().flatten() {
                progress.started.insert(name);
                remaining -= 1;
            }
            // If this record fails, the next coordinator repeats the orders, and the platform
            // answers that they are done.
            let names: Vec<&Arc<str>> = progress.started.iter().collect();
            let value = rmp_serde::to_vec(&(progress.first_seen_ms, names)).expect("names can be encoded");
            session.append_record(self.node, &self.wave_number.to_string(), value).await;
        }
        if remaining == 0 && all_known && self.report_state("completed").await {
            progress.reported_state = Some("completed");
        }
        vacating.into_iter().collect()
    }

    /// Tells the owners of the workers whose maintenance has not started, so that they do not move
    /// long-running tasks to them. Writes how far the wave is, as an early sign of one that will
    /// be late.
    async fn announce(&self, progress: &mut WaveProgress, pending: &[(&Arc<str>, &Machine)]) {
        let now = clock::now();
        if pending.is_empty() || progress.announced_at != Duration::ZERO && now.mono < progress.announced_at + ANNOUNCE_INTERVAL {
            return;
        }
        progress.announced_at = now.mono;
        let mut by_part: HashMap<PartitionId, Vec<InstanceId>> = HashMap::new();
        for (_, machine) in pending {
            let workers = by_part.entry(self.node.partition_of(&machine.pool)).or_default();
            workers.extend(machine.worker.clone());
        }
        self.node.decision_log.write(
            "wave_progress",
            json!({
                "wave": self.wave_number,
                "started": progress.started.len(),
                "left": pending.len(),
                "emptying": self.previously_vacating.len(),
                "age_ms": now.wall_ms().saturating_sub(progress.first_seen_ms),
            }),
        );
        let mut calls = JoinSet::new();
        for (part, workers) in by_part {
            let node = self.node.clone();
            // An owner that does not answer moves tasks as it would without the announcement.
            calls.spawn(async move { peer::call(&node, part, Call::ExpectMaintenance { part, workers }).await });
        }
        calls.join_all().await;
    }

    /// Returns how many instances of each pool may be chosen in one round: a third of those
    /// in service, rounded up.
    fn max_chosen_per_round(&self) -> HashMap<&PoolId, usize> {
        let mut up_counts: HashMap<&PoolId, usize> = HashMap::new();
        for machine in self.all_machines.machines.iter().filter(|it| it.state == State::Up) {
            *up_counts.entry(&machine.pool).or_default() += 1;
        }
        up_counts.into_iter().map(|(pool, count)| (pool, count.div_ceil(3))).collect()
    }

    /// Returns the CPU, in millicores, that finite tasks use on each worker. Workers whose
    /// owner does not answer are missing.
    async fn fetch_worker_loads(&self, machines: &[(&Arc<str>, &Machine)]) -> HashMap<InstanceId, u64> {
        let mut parts: Vec<PartitionId> = machines.iter().map(|(_, it)| self.node.partition_of(&it.pool)).collect();
        parts.sort_unstable();
        parts.dedup();
        let mut all = HashMap::new();
        for part in parts {
            if let Reply::Loads(loads) = peer::call(self.node, part, Call::Loads { part }).await {
                all.extend(loads);
            }
        }
        all
    }

    /// Reports the state of the wave to operators. Returns whether the report is in the log.
    async fn report_state(&self, state: &'static str) -> bool {
        let entry = Entry {
            key: format!("wave/{}", self.wave_number),
            value: Some(Bytes::from(json!({ "state": state }).to_string())),
        };
        self.node
            .decision_log
            .write("wave", json!({ "wave": self.wave_number, "state": state }));
        match self.node.log.append(STATUS, None, &[entry], CALL_TIMEOUT).await {
            Ok(()) => true,
            Err(err) => {
                watch::report_log_error(self.node, "wave", &err);
                false
            }
        }
    }
}

/// Orders the maintenance of an instance. Returns its name if the order need not be
/// repeated: the maintenance has started, or the platform answers that the instance is
/// not part of the wave.
async fn order_maintenance(
    node: Arc<Node>,
    machine_client: Arc<MachineClient>,
    wave: u64,
    name: Arc<str>,
    fencing_token: u64,
) -> Option<Arc<str>> {
    let answer = machine_client.start_maintenance(&name, wave, fencing_token, CALL_TIMEOUT).await;
    node.decision_log.write(
        "upkeep",
        json!({ "instance": name, "wave": wave, "token": fencing_token, "outcome": format!("{answer:?}") }),
    );
    matches!(answer, Answer::Done | Answer::Wave).then_some(name)
}
