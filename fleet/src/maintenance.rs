//! Upkeep of instances in waves.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use bytes::Bytes;
use oriole_platform::log::{Entry, ReadResult, STATUS};
use oriole_platform::machine::{Answer, Machine, MachineClient, State};
use oriolewall::catalog::Wave;
use oriolewall::id::{InstanceId, PoolId};
use oriolewall::rpc::{Call, PartitionId, Reply};
use serde_json::json;
use tokio::task::JoinSet;

use crate::coordinator::{self, CALL_TIMEOUT, Coordinator, ORDER_WINDOW};
use crate::node::Node;
use crate::{clock, peer, watch};

/// Part of a wave's time in which it is to be done.
/// The rest is for workers that are slow to empty and for changes of the holder.
const TARGET_DURATION_FRACTION: f64 = 0.6;
/// How far each wave is.
#[derive(Debug, Default)]
pub(crate) struct MaintenanceWaves {
    waves: BTreeMap<u64, WaveProgress>,
    vacating: HashSet<Arc<str>>,
}

#[derive(Debug, Default)]
struct WaveProgress {
    /// When the wave was first seen, milliseconds since the epoch.
    first_seen_ms: u64,
    /// Instances whose upkeep has begun.
    started: HashSet<Arc<str>>,
    /// The state that operators read.
    reported_state: Option<&'static str>,
}

impl MaintenanceWaves {
    /// What earlier holders of the duties recorded.
    pub(crate) fn load(tail: ReadResult) -> MaintenanceWaves {
        let mut waves = MaintenanceWaves::default();
        for entry in tail.entries {
            let stored: Option<(u64, Vec<Arc<str>>)> = entry.value.as_deref().and_then(|it| rmp_serde::from_slice(it).ok());
            // Other records of the duties have keys that are no numbers.
            if let (Ok(number), Some((first_seen_ms, names))) = (entry.key.parse(), stored) {
                let progress = waves.waves.entry(number).or_default();
                progress.first_seen_ms = first_seen_ms;
                progress.started.extend(names);
            }
        }
        waves
    }

    /// Instances that are being emptied.
    pub(crate) fn vacating(&self) -> &HashSet<Arc<str>> {
        &self.vacating
    }

    /// Takes all waves on that are not completed.
    pub(crate) async fn advance(
        &mut self,
        node: &Arc<Node>,
        machines: &Arc<MachineClient>,
        listed: &[Machine],
        coordinator: &mut Coordinator,
    ) {
        let catalog = node.catalog.load_full();
        let mut vacating = HashSet::new();
        for (number, wave) in &catalog.waves {
            let progress = self.waves.entry(*number).or_default();
            if progress.reported_state == Some("completed") {
                continue;
            }
            let step = WaveRound {
                node,
                machines,
                listed,
                number: *number,
                previously_vacating: &self.vacating,
            };
            vacating.extend(step.advance(wave, progress, coordinator).await);
        }
        self.vacating = vacating;
    }
}

/// One round of one wave.
struct WaveRound<'a> {
    node: &'a Arc<Node>,
    machines: &'a Arc<MachineClient>,
    listed: &'a [Machine],
    number: u64,
    previously_vacating: &'a HashSet<Arc<str>>,
}

impl WaveRound<'_> {
    /// Begins upkeep where workers are empty, as far as the ceiling allows.
    /// Returns the instances that are being emptied.
    async fn advance(&self, wave: &Wave, progress: &mut WaveProgress, coordinator: &mut Coordinator) -> HashSet<Arc<str>> {
        let now_ms = clock::now().wall_ms();
        if progress.first_seen_ms == 0 {
            progress.first_seen_ms = now_ms;
        }
        if progress.reported_state.is_none() && self.report_state("running").await {
            progress.reported_state = Some("running");
        }
        let by_name: HashMap<&str, &Machine> = self.listed.iter().map(|it| (&*it.name, it)).collect();
        let members = wave.instances.iter().filter_map(|it| by_name.get(&**it));
        let down = members.filter(|it| it.state == State::Upkeep).count();
        let mut free_slots = (wave.max_down as usize).saturating_sub(down);
        let pending = wave.instances.iter().filter(|it| !progress.started.contains(*it));
        let pending: Vec<(&Arc<str>, &Machine)> = pending.filter_map(|it| Some((it, *by_name.get(&**it)?))).collect();
        let mut remaining = pending.len();
        let mut ready: Vec<(&Arc<str>, &Machine)> = pending
            .into_iter()
            .filter(|(_, it)| it.state == State::Up && coordinator.may_order(&it.name))
            .collect();
        let loads = self.loads(&ready).await;
        // Busy workers come last; many will be idle by then.
        ready.sort_by_key(|(name, machine)| {
            let load = machine.worker.as_ref().and_then(|it| loads.get(it)).copied().unwrap_or(0);
            (!self.previously_vacating.contains(*name), load, (*name).clone())
        });
        // Instances that rest or have only lasting tasks, which move, cost little.
        // Others are emptied only as far as the time that is left asks for.
        let part = now_ms.saturating_sub(progress.first_seen_ms) as f64 / (wave.duration_ms as f64 * TARGET_DURATION_FRACTION).max(1.0);
        let target_started = (wave.instances.len() as f64 * part).ceil() as usize;
        let mut behind = target_started.saturating_sub(progress.started.len());
        let requested_at = clock::now().mono;
        let mut chosen = Vec::new();
        let mut by_pool: HashMap<&PoolId, usize> = HashMap::new();
        for (name, machine) in ready {
            if free_slots == 0 {
                break;
            }
            let chosen_in_pool = by_pool.entry(&machine.pool).or_default();
            let load = machine.worker.as_ref().and_then(|it| loads.get(it)).copied().unwrap_or(0);
            if self.max_unavailable(&machine.pool) <= *chosen_in_pool || 0 < load && behind == 0 {
                continue;
            }
            behind = behind.saturating_sub(1);
            *chosen_in_pool += 1;
            free_slots -= 1;
            chosen.push((machine.pool.clone(), machine.worker.clone(), name.clone()));
        }
        let (vacant, vacating) = coordinator::vacate_workers(self.node, true, chosen).await;
        // After slow answers workers may be kept empty no longer. The next round asks again.
        if !vacant.is_empty() && coordinator.record_intent(self.node, &vacant).await && clock::now().mono <= requested_at + ORDER_WINDOW {
            let mut orders = JoinSet::new();
            for name in vacant {
                orders.spawn(start_maintenance(
                    self.node.clone(),
                    self.machines.clone(),
                    self.number,
                    name,
                    coordinator.fencing_token,
                ));
            }
            for name in orders.join_all().await.into_iter().flatten() {
                progress.started.insert(name);
                remaining -= 1;
            }
            // Without the record the next holder asks again; the platform answers that it is done.
            let names: Vec<&Arc<str>> = progress.started.iter().collect();
            let value = rmp_serde::to_vec(&(progress.first_seen_ms, names)).expect("names can be encoded");
            coordinator.append_record(self.node, &self.number.to_string(), value).await;
        }
        if remaining == 0 && self.report_state("completed").await {
            progress.reported_state = Some("completed");
        }
        vacating.into_iter().collect()
    }

    /// Instances that a pool can do without at once: a third of those in service.
    fn max_unavailable(&self, pool: &PoolId) -> usize {
        let up = self.listed.iter().filter(|it| it.pool == *pool && it.state == State::Up).count();
        up.div_ceil(3)
    }

    /// How busy workers are, as far as the owners of their pools answer.
    async fn loads(&self, machines: &[(&Arc<str>, &Machine)]) -> HashMap<InstanceId, u64> {
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

    /// Shows operators how far the wave is; returns whether that stands in the log.
    async fn report_state(&self, state: &'static str) -> bool {
        let entry = Entry {
            key: format!("wave/{}", self.number),
            value: Some(Bytes::from(json!({ "state": state }).to_string())),
        };
        self.node.decision_log.write("wave", json!({ "wave": self.number, "state": state }));
        match self.node.log.append(STATUS, None, &[entry], CALL_TIMEOUT).await {
            Ok(()) => true,
            Err(err) => {
                watch::report_log_error(self.node, "wave", &err);
                false
            }
        }
    }
}

/// Takes an instance down; returns its name if its upkeep has begun.
async fn start_maintenance(
    node: Arc<Node>,
    machines: Arc<MachineClient>,
    wave: u64,
    name: Arc<str>,
    fencing_token: u64,
) -> Option<Arc<str>> {
    let answer = machines.start_maintenance(&name, wave, fencing_token, CALL_TIMEOUT).await;
    node.decision_log.write(
        "upkeep",
        json!({ "instance": name, "wave": wave, "token": fencing_token, "outcome": format!("{answer:?}") }),
    );
    matches!(answer, Answer::Done | Answer::Wave).then_some(name)
}
