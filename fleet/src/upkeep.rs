//! Upkeep of instances in waves.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use bytes::Bytes;
use oriole_platform::log::{Entry, ReadResult, STATUS};
use oriole_platform::machine::{Answer, Machine, MachineClient, State};
use oriolewall::catalog::Wave;
use oriolewall::exchange::{Call, PartId, Reply};
use oriolewall::id::{InstanceId, PoolId};
use serde_json::json;
use tokio::task::JoinSet;

use crate::duty::{self, CALL_TIMEOUT, Holder, ORDER_WITHIN};
use crate::node::Node;
use crate::{clock, peer, watch};

/// Part of a wave's time in which it is to be done.
/// The rest is for workers that are slow to empty and for changes of the holder.
const PACE: f64 = 0.6;
/// How far each wave is.
#[derive(Debug, Default)]
pub(crate) struct Waves {
    waves: BTreeMap<u64, Progress>,
    vacating: HashSet<Arc<str>>,
}

#[derive(Debug, Default)]
struct Progress {
    /// When the wave was first seen, milliseconds since the epoch.
    since_ms: u64,
    /// Instances whose upkeep has begun.
    begun: HashSet<Arc<str>>,
    /// The state that operators read.
    shown: Option<&'static str>,
}

impl Waves {
    /// What earlier holders of the duties recorded.
    pub(crate) fn load(tail: ReadResult) -> Waves {
        let mut waves = Waves::default();
        for entry in tail.entries {
            let known: Option<(u64, Vec<Arc<str>>)> = entry.value.as_deref().and_then(|it| rmp_serde::from_slice(it).ok());
            // Other records of the duties have keys that are no numbers.
            if let (Ok(number), Some((since_ms, names))) = (entry.key.parse(), known) {
                let progress = waves.waves.entry(number).or_default();
                progress.since_ms = since_ms;
                progress.begun.extend(names);
            }
        }
        waves
    }

    /// Instances that are being emptied.
    pub(crate) fn vacating(&self) -> &HashSet<Arc<str>> {
        &self.vacating
    }

    /// Takes all waves on that are not completed.
    pub(crate) async fn advance(&mut self, node: &Arc<Node>, machines: &Arc<MachineClient>, listed: &[Machine], holder: &mut Holder) {
        let catalog = node.catalog.load_full();
        let mut vacating = HashSet::new();
        for (number, wave) in &catalog.waves {
            let progress = self.waves.entry(*number).or_default();
            if progress.shown == Some("completed") {
                continue;
            }
            let step = Step {
                node,
                machines,
                listed,
                number: *number,
                earlier: &self.vacating,
            };
            vacating.extend(step.advance(wave, progress, holder).await);
        }
        self.vacating = vacating;
    }
}

/// One round of one wave.
struct Step<'a> {
    node: &'a Arc<Node>,
    machines: &'a Arc<MachineClient>,
    listed: &'a [Machine],
    number: u64,
    earlier: &'a HashSet<Arc<str>>,
}

impl Step<'_> {
    /// Begins upkeep where workers are empty, as far as the ceiling allows.
    /// Returns the instances that are being emptied.
    async fn advance(&self, wave: &Wave, progress: &mut Progress, holder: &mut Holder) -> HashSet<Arc<str>> {
        let now_ms = clock::now().wall_ms();
        if progress.since_ms == 0 {
            progress.since_ms = now_ms;
        }
        if progress.shown.is_none() && self.show("running").await {
            progress.shown = Some("running");
        }
        let by_name: HashMap<&str, &Machine> = self.listed.iter().map(|it| (&*it.name, it)).collect();
        let members = wave.instances.iter().filter_map(|it| by_name.get(&**it));
        let down = members.filter(|it| it.state == State::Upkeep).count();
        let mut room = (wave.ceiling as usize).saturating_sub(down);
        let due = wave.instances.iter().filter(|it| !progress.begun.contains(*it));
        let due: Vec<(&Arc<str>, &Machine)> = due.filter_map(|it| Some((it, *by_name.get(&**it)?))).collect();
        let mut left = due.len();
        let mut ready: Vec<(&Arc<str>, &Machine)> = due
            .into_iter()
            .filter(|(_, it)| it.state == State::Up && holder.is_free(&it.name))
            .collect();
        let loads = self.loads(&ready).await;
        // Busy workers come last; many will be idle by then.
        ready.sort_by_key(|(name, machine)| {
            let load = machine.worker.as_ref().and_then(|it| loads.get(it)).copied().unwrap_or(0);
            (!self.earlier.contains(*name), load, (*name).clone())
        });
        // Instances that rest or have only lasting tasks, which move, cost little.
        // Others are emptied only as far as the time that is left asks for.
        let part = now_ms.saturating_sub(progress.since_ms) as f64 / (wave.duration_ms as f64 * PACE).max(1.0);
        let due_by_now = (wave.instances.len() as f64 * part).ceil() as usize;
        let mut behind = due_by_now.saturating_sub(progress.begun.len());
        let asked = clock::now().mono;
        let mut chosen = Vec::new();
        let mut by_pool: HashMap<&PoolId, usize> = HashMap::new();
        for (name, machine) in ready {
            if room == 0 {
                break;
            }
            let taken = by_pool.entry(&machine.pool).or_default();
            let load = machine.worker.as_ref().and_then(|it| loads.get(it)).copied().unwrap_or(0);
            if self.spared_by(&machine.pool) <= *taken || 0 < load && behind == 0 {
                continue;
            }
            behind = behind.saturating_sub(1);
            *taken += 1;
            room -= 1;
            chosen.push((machine.pool.clone(), machine.worker.clone(), name.clone()));
        }
        let (vacant, vacating) = duty::part_vacant(self.node, true, chosen).await;
        // After slow answers workers may be kept empty no longer. The next round asks again.
        if !vacant.is_empty() && holder.announce(self.node, &vacant).await && clock::now().mono <= asked + ORDER_WITHIN {
            let mut orders = JoinSet::new();
            for name in vacant {
                orders.spawn(begin(self.node.clone(), self.machines.clone(), self.number, name, holder.token));
            }
            for name in orders.join_all().await.into_iter().flatten() {
                progress.begun.insert(name);
                left -= 1;
            }
            // Without the record the next holder asks again; the platform answers that it is done.
            let names: Vec<&Arc<str>> = progress.begun.iter().collect();
            let value = rmp_serde::to_vec(&(progress.since_ms, names)).expect("names can be encoded");
            holder.record(self.node, &self.number.to_string(), value).await;
        }
        if left == 0 && self.show("completed").await {
            progress.shown = Some("completed");
        }
        vacating.into_iter().collect()
    }

    /// Instances that a pool can do without at once: a third of those in service.
    fn spared_by(&self, pool: &PoolId) -> usize {
        let up = self.listed.iter().filter(|it| it.pool == *pool && it.state == State::Up).count();
        up.div_ceil(3)
    }

    /// How busy workers are, as far as the owners of their pools answer.
    async fn loads(&self, machines: &[(&Arc<str>, &Machine)]) -> HashMap<InstanceId, u64> {
        let mut parts: Vec<PartId> = machines.iter().map(|(_, it)| self.node.part_of(&it.pool)).collect();
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
    async fn show(&self, state: &'static str) -> bool {
        let entry = Entry {
            key: format!("wave/{}", self.number),
            value: Some(Bytes::from(json!({ "state": state }).to_string())),
        };
        self.node.decisions.line("wave", json!({ "wave": self.number, "state": state }));
        match self.node.log.append(STATUS, None, &[entry], CALL_TIMEOUT).await {
            Ok(()) => true,
            Err(err) => {
                watch::failed(self.node, "wave", &err);
                false
            }
        }
    }
}

/// Takes an instance down; returns its name if its upkeep has begun.
async fn begin(node: Arc<Node>, machines: Arc<MachineClient>, wave: u64, name: Arc<str>, token: u64) -> Option<Arc<str>> {
    let answer = machines.upkeep(&name, wave, token, CALL_TIMEOUT).await;
    node.decisions.line(
        "upkeep",
        json!({ "instance": name, "wave": wave, "token": token, "outcome": format!("{answer:?}") }),
    );
    matches!(answer, Answer::Done | Answer::Wave).then_some(name)
}
