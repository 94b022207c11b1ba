//! Duties of one instance for the whole fleet: dividing teams' caps, and
//! upkeep of instances in waves. The owner of one partition has them.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use oriole_platform::log::{DUTIES, Entry, STATUS};
use oriole_platform::machine::{Answer, Machine, Machines, State};
use oriolewall::catalog::Wave;
use oriolewall::exchange::{Call, PartId, Reply, Report};
use oriolewall::id::InstanceId;
use oriolewall::quota::Ledger;
use serde_json::json;

use crate::node::Node;
use crate::{clock, peer, watch};

/// Partition whose owner has the duties.
pub(crate) const PART: PartId = 0;
/// Time between two rounds.
const INTERVAL: Duration = Duration::from_millis(300);
/// Time added to the platform's bound between orders of two holders.
const HANDOVER_SLACK: Duration = Duration::from_millis(500);
/// Time for a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

static LEDGER: Mutex<Option<(u64, Ledger)>> = Mutex::new(None);

/// Takes a report on teams' caps in.
pub(crate) fn report(node: &Node, report: Report) -> Reply {
    let Some(owned) = node.owned(PART) else {
        return Reply::NotOwner;
    };
    let now = clock::now().mono;
    let catalog = node.catalog.load();
    let mut parts: Vec<PartId> = catalog.pools.keys().map(|it| node.part_of(it)).collect();
    parts.sort_unstable();
    parts.dedup();
    let Ok(mut ledger) = LEDGER.lock() else {
        return Reply::Unavailable;
    };
    if ledger.as_ref().is_none_or(|(epoch, _)| *epoch != owned.epoch) {
        *ledger = Some((owned.epoch, Ledger::new(now)));
    }
    let Some((_, ledger)) = ledger.as_mut() else {
        return Reply::Unavailable;
    };
    Reply::Grants(ledger.report(now, &catalog, &parts, report))
}

/// How far a wave is.
#[derive(Debug, Default)]
struct Progress {
    /// Instances whose upkeep has begun.
    begun: HashSet<Arc<str>>,
    /// Instances that are being emptied.
    vacating: HashSet<Arc<str>>,
    /// The state that operators read.
    shown: Option<&'static str>,
}

/// Has the duties whenever this instance owns their partition.
pub(crate) async fn run(node: Arc<Node>) {
    let Some(addr) = node.settings.machines else {
        return;
    };
    let machines = Machines::new(addr, node.settings.name.clone());
    let mut held: Option<(u64, Duration)> = None;
    let mut waves: BTreeMap<u64, Progress> = BTreeMap::new();
    loop {
        tokio::time::sleep(INTERVAL).await;
        let Some(owned) = node.owned(PART) else {
            held = None;
            continue;
        };
        let now = clock::now().mono;
        if held.is_none_or(|(epoch, _)| epoch != owned.epoch) {
            held = Some((owned.epoch, now));
            waves = begun_before(&node).await;
        }
        // Orders of two holders must lie this far apart.
        let since = held.map_or(now, |it| it.1);
        if now < since + node.settings.duty_lease + HANDOVER_SLACK || !node.is_member() {
            continue;
        }
        let catalog = node.catalog.load_full();
        if catalog
            .waves
            .keys()
            .all(|it| waves.get(it).is_some_and(|it| it.shown == Some("completed")))
        {
            continue;
        }
        let listed = match machines.list(CALL_TIMEOUT).await {
            Ok(listed) => listed,
            Err(err) => {
                node.decisions.line(
                    "dependency",
                    json!({ "name": "machines", "state": "failing", "error": err.to_string() }),
                );
                continue;
            }
        };
        for (number, wave) in &catalog.waves {
            let progress = waves.entry(*number).or_default();
            advance(&node, &machines, *number, wave, progress, &listed, owned.epoch).await;
        }
    }
}

/// What earlier holders recorded of waves.
async fn begun_before(node: &Node) -> BTreeMap<u64, Progress> {
    let mut waves: BTreeMap<u64, Progress> = BTreeMap::new();
    let Ok(tail) = node.log.newest(DUTIES, CALL_TIMEOUT).await else {
        return waves;
    };
    for entry in tail.entries {
        let names: Option<Vec<Arc<str>>> = entry.value.as_deref().and_then(|it| rmp_serde::from_slice(it).ok());
        if let (Ok(number), Some(names)) = (entry.key.parse(), names) {
            waves.entry(number).or_default().begun.extend(names);
        }
    }
    waves
}

/// Takes a wave on: begins upkeep where workers are empty, as far as the ceiling allows.
async fn advance(node: &Arc<Node>, machines: &Machines, number: u64, wave: &Wave, progress: &mut Progress, listed: &[Machine], token: u64) {
    if progress.shown.is_none() && show(node, number, "running").await {
        progress.shown = Some("running");
    }
    let by_name: HashMap<&str, &Machine> = listed.iter().map(|it| (&*it.name, it)).collect();
    let down = wave.instances.iter().filter_map(|it| by_name.get(&**it));
    let mut room = (wave.ceiling as usize).saturating_sub(down.filter(|it| it.state == State::Upkeep).count());
    let due = wave.instances.iter().filter(|it| !progress.begun.contains(*it));
    let due: Vec<(&Arc<str>, &Machine)> = due.filter_map(|it| Some((it, *by_name.get(&**it)?))).collect();
    let mut left = due.len();
    let mut ready: Vec<(&Arc<str>, &Machine)> = due.into_iter().filter(|(_, it)| it.state == State::Up).collect();
    let loads = loads(node, &ready).await;
    // Busy workers come last; many will be idle by then.
    ready.sort_by_key(|(name, machine)| {
        let load = machine.worker.as_ref().and_then(|it| loads.get(it)).copied().unwrap_or(0);
        (!progress.vacating.contains(*name), load, (*name).clone())
    });
    progress.vacating.clear();
    for (name, machine) in ready {
        if room == 0 {
            break;
        }
        room -= 1;
        progress.vacating.insert(name.clone());
        if is_vacant(node, machine).await && begin(node, machines, number, name, token).await {
            progress.begun.insert(name.clone());
            record(node, number, progress).await;
            left -= 1;
        }
    }
    let is_new = progress.shown != Some("completed");
    if left == 0 && is_new && show(node, number, "completed").await {
        progress.shown = Some("completed");
    }
}

/// How busy workers are, as far as the owners of their pools answer.
async fn loads(node: &Arc<Node>, machines: &[(&Arc<str>, &Machine)]) -> HashMap<InstanceId, u64> {
    let mut parts: Vec<PartId> = machines.iter().map(|(_, it)| node.part_of(&it.pool)).collect();
    parts.sort_unstable();
    parts.dedup();
    let mut all = HashMap::new();
    for part in parts {
        if let Reply::Loads(loads) = peer::call(node, part, Call::Loads { part }).await {
            all.extend(loads);
        }
    }
    all
}

async fn is_vacant(node: &Arc<Node>, machine: &Machine) -> bool {
    let worker: Option<InstanceId> = machine.worker.clone();
    let Some(worker) = worker else {
        return true;
    };
    let part = node.part_of(&machine.pool);
    let reply = peer::call(node, part, Call::Vacate { part, worker }).await;
    reply == Reply::Vacant(true)
}

async fn begin(node: &Node, machines: &Machines, number: u64, name: &str, token: u64) -> bool {
    // Another holder may have come meanwhile, with a higher token.
    if !node.is_member() || node.owned(PART).is_none_or(|it| it.epoch != token) {
        return false;
    }
    let answer = machines.upkeep(name, number, token, CALL_TIMEOUT).await;
    node.decisions.line(
        "upkeep",
        json!({ "instance": name, "wave": number, "token": token, "outcome": format!("{answer:?}") }),
    );
    matches!(answer, Answer::Done | Answer::Wave)
}

async fn record(node: &Node, number: u64, progress: &Progress) {
    let names: Vec<&Arc<str>> = progress.begun.iter().collect();
    let value = rmp_serde::to_vec(&names).expect("names can be encoded");
    let entry = Entry {
        key: number.to_string(),
        value: Some(Bytes::from(value)),
    };
    // Without the record the next holder asks again; the platform answers that it is done.
    if let Err(err) = node.log.append(DUTIES, None, &[entry], CALL_TIMEOUT).await {
        watch::failed(node, "duties", &err);
    }
}

/// Shows operators how far a wave is; returns whether that stands in the log.
async fn show(node: &Node, number: u64, state: &'static str) -> bool {
    let entry = Entry {
        key: format!("wave/{number}"),
        value: Some(Bytes::from(json!({ "state": state }).to_string())),
    };
    node.decisions.line("wave", json!({ "wave": number, "state": state }));
    match node.log.append(STATUS, None, &[entry], CALL_TIMEOUT).await {
        Ok(()) => true,
        Err(err) => {
            watch::failed(node, "wave", &err);
            false
        }
    }
}
