//! Duties of one instance for the whole fleet: dividing teams' caps, moving
//! instances between pools, and their upkeep in waves. The owner of one
//! partition has them.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use oriole_platform::machine::{Answer, Machine, Machines, State};
use oriolewall::balance::{Instance, Load, Move, Planner};
use oriolewall::exchange::{Call, PartId, Reply, Report};
use oriolewall::id::{InstanceId, PoolId};
use oriolewall::quota::Ledger;
use serde_json::json;
use tokio::task::JoinSet;

use crate::node::Node;
use crate::upkeep::Waves;
use crate::{clock, peer};

/// Partition whose owner has the duties.
pub(crate) const PART: PartId = 0;
/// Time between two rounds.
const INTERVAL: Duration = Duration::from_millis(200);
/// Time added to the platform's bound between orders of two holders.
const HANDOVER_SLACK: Duration = Duration::from_millis(500);
/// Time for a call.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Age of a report after which a pool's instances stay where they are.
const REPORT_AGE: Duration = Duration::from_secs(1);

/// What the holder of the duties knows.
#[derive(Debug, Default)]
pub(crate) struct Duties {
    ledger: Option<(u64, Ledger)>,
    loads: BTreeMap<PoolId, (Load, Duration)>,
}

/// Takes a report on teams' caps and on pools in.
pub(crate) fn report(node: &Node, report: Report) -> Reply {
    let Some(owned) = node.owned(PART) else {
        return Reply::NotOwner;
    };
    let now = clock::now().mono;
    let catalog = node.catalog.load();
    let mut parts: Vec<PartId> = catalog.pools.keys().map(|it| node.part_of(it)).collect();
    parts.sort_unstable();
    parts.dedup();
    let Ok(mut duties) = node.duties.lock() else {
        return Reply::Unavailable;
    };
    if duties.ledger.as_ref().is_none_or(|(epoch, _)| *epoch != owned.epoch) {
        duties.ledger = Some((owned.epoch, Ledger::new(now)));
    }
    for (pool, load) in &report.loads {
        duties.loads.insert(pool.clone(), (load.clone(), now));
    }
    let Some((_, ledger)) = duties.ledger.as_mut() else {
        return Reply::Unavailable;
    };
    Reply::Grants(ledger.report(now, &catalog, &parts, report))
}

/// Has the duties whenever this instance owns their partition.
pub(crate) async fn run(node: Arc<Node>) {
    let Some(addr) = node.settings.machines else {
        return;
    };
    let machines = Arc::new(Machines::new(addr, node.settings.name.clone()));
    let mut held: Option<(u64, Duration)> = None;
    let mut waves = Waves::default();
    let mut planner = Planner::default();
    loop {
        tokio::time::sleep(INTERVAL).await;
        let Some(owned) = node.owned(PART) else {
            held = None;
            continue;
        };
        let now = clock::now().mono;
        if held.is_none_or(|(epoch, _)| epoch != owned.epoch) {
            held = Some((owned.epoch, now));
            waves = Waves::load(&node).await;
            planner = Planner::default();
        }
        // Orders of two holders must lie this far apart.
        let since = held.map_or(now, |it| it.1);
        if now < since + node.bounds.load().duty_lease + HANDOVER_SLACK || !node.is_member() {
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
        waves.advance(&node, &machines, &listed, owned.epoch).await;
        balance(&node, &machines, &mut planner, &waves, &listed, owned.epoch).await;
    }
}

/// Whether this instance may give orders under a token.
pub(crate) fn may_order(node: &Node, token: u64) -> bool {
    node.is_member() && node.owned(PART).is_some_and(|it| it.epoch == token)
}

/// Has a worker emptied; returns whether nothing runs there.
pub(crate) async fn is_vacant(node: &Arc<Node>, pool: &PoolId, worker: Option<InstanceId>) -> bool {
    let Some(worker) = worker else {
        return true;
    };
    let part = node.part_of(pool);
    peer::call(node, part, Call::Vacate { part, worker }).await == Reply::Vacant(true)
}

/// Moves instances to where they are needed.
async fn balance(node: &Arc<Node>, machines: &Arc<Machines>, planner: &mut Planner, waves: &Waves, listed: &[Machine], token: u64) {
    let now = clock::now().mono;
    let catalog = node.catalog.load_full();
    let loads = match node.duties.lock() {
        Ok(duties) => duties.loads.clone(),
        Err(_) => return,
    };
    let standby: Vec<PoolId> = catalog
        .pools
        .iter()
        .filter(|(_, it)| it.standby)
        .map(|(name, _)| name.clone())
        .collect();
    // Pools without a fresh report keep what they have.
    let fresh = |pool: &PoolId, at: Duration| catalog.pools.get(pool).is_some_and(|it| !it.standby) && now < at + REPORT_AGE;
    let loads: BTreeMap<PoolId, Load> = loads
        .into_iter()
        .filter(|(pool, (_, at))| fresh(pool, *at))
        .map(|(pool, (load, _))| (pool, load))
        .collect();
    let workers = node.workers.load();
    let held_back: &HashSet<Arc<str>> = waves.vacating();
    let instance = |it: &Machine| {
        let listed = it.worker.as_ref().and_then(|id| workers.get(id));
        Instance {
            name: it.name.clone(),
            pool: it.pool.clone(),
            zone: it.zone.clone().unwrap_or_else(|| Arc::from("")),
            worker: it.worker.clone(),
            cpu: listed.map_or(it.capacity.cpu, |it| it.capacity.cpu),
            serves: matches!(it.state, State::Up | State::Moving) && !held_back.contains(&it.name),
            movable: it.state == State::Up && !held_back.contains(&it.name),
        }
    };
    let out = |it: &Instance| catalog.zones_out.contains(&it.zone);
    let instances: Vec<Instance> = listed.iter().map(instance).filter(|it| !out(it)).collect();
    let moves = planner.plan(now, &loads, &standby, &instances);
    if !moves.is_empty() {
        let demand: BTreeMap<&PoolId, (u64, u64, u64)> =
            loads.iter().map(|(pool, it)| (pool, (it.used, it.waiting, it.arriving))).collect();
        node.decisions.line(
            "balance",
            json!({ "pools": planner.standings(), "used_waiting_arriving": demand, "moves": moves.len() }),
        );
    }
    let mut orders = JoinSet::new();
    for order in moves {
        planner.ordered(now, &order);
        orders.spawn(carry_out(node.clone(), machines.clone(), order, token));
    }
    while let Some(done) = orders.join_next().await {
        if let Ok((order, Some(Answer::Unknown))) = done {
            planner.refused(now, &order);
        }
    }
}

async fn carry_out(node: Arc<Node>, machines: Arc<Machines>, order: Move, token: u64) -> (Move, Option<Answer>) {
    let vacant = is_vacant(&node, &order.from, order.worker.clone()).await;
    if !vacant || !may_order(&node, token) {
        return (order, None);
    }
    let answer = machines.relocate(&order.name, &order.to, token, CALL_TIMEOUT).await;
    node.decisions.line(
        "move",
        json!({ "instance": order.name, "from": order.from, "to": order.to, "token": token, "outcome": format!("{answer:?}") }),
    );
    (order, Some(answer))
}
