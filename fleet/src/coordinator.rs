//! Duties of one instance for the whole fleet: dividing teams' caps, moving
//! instances between pools, and their upkeep in waves. The owner of one
//! partition has them.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use oriole_platform::log::{AppendPosition, DUTIES, Entry, Error, ReadResult};
use oriole_platform::machine::{Answer, Machine, MachineClient, State};
use oriolewall::balance::{Instance, Move, Planner, PoolLoad};
use oriolewall::id::{InstanceId, PoolId};
use oriolewall::quota::QuotaAllocator;
use oriolewall::rpc::{Call, PartitionId, Reply, UsageReport};
use serde_json::json;
use tokio::task::JoinSet;

use crate::maintenance::MaintenanceWaves;
use crate::node::Node;
use crate::{clock, peer, watch};

/// Partition whose owner has the duties.
pub(crate) const COORDINATOR_PART: PartitionId = 0;
/// Time between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);
/// Time added to the platform's bound between orders of two holders.
const HANDOVER_MARGIN: Duration = Duration::from_millis(500);
/// Tries to write a record under the right number.
const APPEND_ATTEMPTS: usize = 2;
/// Key of the record of instances ordered lately.
const RECENT_ORDERS_KEY: &str = "recent";
/// Time for a call.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time after workers were found empty in which orders may be sent.
pub(crate) const ORDER_WINDOW: Duration = Duration::from_millis(1200);
/// Age of a report after which a pool's instances stay where they are.
const MAX_REPORT_AGE: Duration = Duration::from_secs(1);

/// What the holder of the duties knows.
#[derive(Debug, Default)]
pub(crate) struct CoordinatorState {
    ledger: Option<(u64, QuotaAllocator)>,
    loads: BTreeMap<PoolId, (PoolLoad, Duration)>,
}

/// Takes a report on teams' caps and on pools in.
pub(crate) fn handle_report(node: &Node, report: UsageReport) -> Reply {
    let Some(owned) = node.owned_partition(COORDINATOR_PART) else {
        return Reply::NotOwner;
    };
    let now = clock::now().mono;
    let catalog = node.catalog.load();
    let mut parts: Vec<PartitionId> = catalog.pools.keys().map(|it| node.partition_of(it)).collect();
    parts.sort_unstable();
    parts.dedup();
    let Ok(mut state) = node.coordinator_state.lock() else {
        return Reply::Unavailable;
    };
    if state.ledger.as_ref().is_none_or(|(epoch, _)| *epoch != owned.epoch) {
        state.ledger = Some((owned.epoch, QuotaAllocator::new(now)));
    }
    for (pool, load) in &report.loads {
        state.loads.insert(pool.clone(), (load.clone(), now));
    }
    let Some((_, ledger)) = state.ledger.as_mut() else {
        return Reply::Unavailable;
    };
    Reply::Grants(ledger.handle_report(now, &catalog, &parts, report))
}

/// The right to give orders to instances, under one epoch.
///
/// Orders of two holders for one instance must lie apart. So a holder records
/// which instances it is about to order, and the next one leaves these alone
/// for a while; once its epoch stands in the log, no earlier holder can record more.
#[derive(Debug)]
pub(crate) struct Coordinator {
    /// The epoch, and the token of the orders.
    pub(crate) fencing_token: u64,
    writer: AppendPosition,
    /// Instances that an earlier holder may still order.
    predecessor_orders: HashMap<Arc<str>, Duration>,
    /// Instances ordered lately.
    recent_orders: HashMap<Arc<str>, Duration>,
}

impl Coordinator {
    /// Sets the epoch and reads what earlier holders recorded.
    async fn acquire(node: &Node, fencing_token: u64) -> Result<(Coordinator, ReadResult), Error> {
        let mut writer = AppendPosition {
            epoch: fencing_token,
            sequence: 0,
        };
        match node.log.append(DUTIES, Some(writer), &[], CALL_TIMEOUT).await {
            Ok(()) => {}
            Err(Error::OutOfSequence { expected }) => writer.sequence = expected,
            Err(err) => return Err(err),
        }
        let tail = node.log.read_newest(DUTIES, CALL_TIMEOUT).await?;
        let recent = tail
            .entries
            .iter()
            .find(|it| it.key == RECENT_ORDERS_KEY)
            .and_then(|it| it.value.as_deref());
        let names: Vec<Arc<str>> = recent.and_then(|it| rmp_serde::from_slice(it).ok()).unwrap_or_default();
        let until = clock::now().mono + node.bounds.load().coordinator_lease + HANDOVER_MARGIN;
        let coordinator = Coordinator {
            fencing_token,
            writer,
            predecessor_orders: names.into_iter().map(|it| (it, until)).collect(),
            recent_orders: HashMap::new(),
        };
        Ok((coordinator, tail))
    }

    /// Whether no earlier holder can order an instance any more.
    pub(crate) fn may_order(&self, name: &str) -> bool {
        self.predecessor_orders.get(name).is_none_or(|until| *until < clock::now().mono)
    }

    /// Records that instances are about to be ordered; returns whether they may be.
    pub(crate) async fn record_intent(&mut self, node: &Node, names: &[Arc<str>]) -> bool {
        let now = clock::now().mono;
        let retention = node.bounds.load().coordinator_lease + HANDOVER_MARGIN + CALL_TIMEOUT;
        self.recent_orders.retain(|_, at| now < *at + retention);
        self.predecessor_orders.retain(|_, until| now < *until);
        self.recent_orders.extend(names.iter().map(|it| (it.clone(), now)));
        let recent: Vec<&Arc<str>> = self.recent_orders.keys().chain(self.predecessor_orders.keys()).collect();
        let value = rmp_serde::to_vec(&recent).expect("names can be encoded");
        self.append_record(node, RECENT_ORDERS_KEY, value).await
            && node.is_member()
            && node
                .owned_partition(COORDINATOR_PART)
                .is_some_and(|it| it.epoch == self.fencing_token)
    }

    /// Writes a record that the next holder reads; returns whether it is in the log.
    pub(crate) async fn append_record(&mut self, node: &Node, key: &str, value: Vec<u8>) -> bool {
        let entry = Entry {
            key: key.to_owned(),
            value: Some(Bytes::from(value)),
        };
        for _ in 0..APPEND_ATTEMPTS {
            match node
                .log
                .append(DUTIES, Some(self.writer), std::slice::from_ref(&entry), CALL_TIMEOUT)
                .await
            {
                Ok(()) => {
                    self.writer.sequence += 1;
                    return true;
                }
                Err(Error::OutOfSequence { expected }) => self.writer.sequence = expected,
                Err(err) => {
                    watch::report_log_error(node, "duties", &err);
                    return false;
                }
            }
        }
        false
    }
}

/// Has the duties whenever this instance owns their partition.
pub(crate) async fn run(node: Arc<Node>) {
    let Some(addr) = node.settings.machines_addr else {
        return;
    };
    let machines = Arc::new(MachineClient::new(addr, node.settings.name.clone()));
    let mut active: Option<(Coordinator, MaintenanceWaves, Planner)> = None;
    loop {
        tokio::time::sleep(ROUND_INTERVAL).await;
        let Some(owned) = node.owned_partition(COORDINATOR_PART) else {
            active = None;
            continue;
        };
        if !node.is_member() {
            continue;
        }
        if active
            .as_ref()
            .is_none_or(|(coordinator, _, _)| coordinator.fencing_token != owned.epoch)
        {
            active = match Coordinator::acquire(&node, owned.epoch).await {
                Ok((coordinator, tail)) => Some((coordinator, MaintenanceWaves::load(tail), Planner::default())),
                Err(err) => {
                    watch::report_log_error(&node, "duties", &err);
                    None
                }
            };
        }
        let Some((coordinator, waves, planner)) = active.as_mut() else {
            continue;
        };
        let listed = match machines.list(CALL_TIMEOUT).await {
            Ok(listed) => listed,
            Err(err) => {
                node.decision_log.write(
                    "dependency",
                    json!({ "name": "machines", "state": "failing", "error": err.to_string() }),
                );
                continue;
            }
        };
        waves.advance(&node, &machines, &listed, coordinator).await;
        rebalance(&node, &machines, planner, waves, &listed, coordinator).await;
    }
}

/// Has workers kept empty, side by side; returns those on which nothing runs, and the others.
pub(crate) async fn vacate_workers<T, I>(node: &Arc<Node>, wait: bool, requested: I) -> (Vec<T>, Vec<T>)
where
    T: Send + 'static,
    I: IntoIterator<Item = (PoolId, Option<InstanceId>, T)>,
{
    let mut checks = JoinSet::new();
    for (pool, worker, item) in requested {
        let node = node.clone();
        checks.spawn(async move { (vacate_worker(&node, &pool, worker, wait).await, item) });
    }
    let (vacant, busy): (Vec<_>, Vec<_>) = checks.join_all().await.into_iter().partition(|(vacant, _)| *vacant);
    let items = |it: Vec<(bool, T)>| it.into_iter().map(|(_, item)| item).collect();
    (items(vacant), items(busy))
}

/// Has a worker kept empty; returns whether nothing runs there.
async fn vacate_worker(node: &Arc<Node>, pool: &PoolId, worker: Option<InstanceId>, wait: bool) -> bool {
    let Some(worker) = worker else {
        return true;
    };
    let part = node.partition_of(pool);
    peer::call(node, part, Call::Vacate { part, worker, wait }).await == Reply::Vacant(true)
}

/// Moves instances to where they are needed.
async fn rebalance(
    node: &Arc<Node>,
    machines: &Arc<MachineClient>,
    planner: &mut Planner,
    waves: &MaintenanceWaves,
    listed: &[Machine],
    coordinator: &mut Coordinator,
) {
    let now = clock::now().mono;
    let catalog = node.catalog.load_full();
    let loads = match node.coordinator_state.lock() {
        Ok(state) => state.loads.clone(),
        Err(_) => return,
    };
    let standby_pools: Vec<PoolId> = catalog
        .pools
        .iter()
        .filter(|(_, it)| it.standby)
        .map(|(name, _)| name.clone())
        .collect();
    // Pools without a fresh report keep what they have.
    let has_fresh_report = |pool: &PoolId, at: Duration| catalog.pools.get(pool).is_some_and(|it| !it.standby) && now < at + MAX_REPORT_AGE;
    let loads: BTreeMap<PoolId, PoolLoad> = loads
        .into_iter()
        .filter(|(pool, (_, at))| has_fresh_report(pool, *at))
        .map(|(pool, (load, _))| (pool, load))
        .collect();
    let workers = node.workers.load();
    let vacating: &HashSet<Arc<str>> = waves.vacating();
    let instance = |it: &Machine| {
        let listed = it.worker.as_ref().and_then(|id| workers.get(id));
        Instance {
            name: it.name.clone(),
            pool: it.pool.clone(),
            zone: it.zone.clone().unwrap_or_else(|| Arc::from("")),
            worker: it.worker.clone(),
            cpu: listed.map_or(it.capacity.cpu, |it| it.capacity.cpu),
            in_service: matches!(it.state, State::Up | State::Moving) && !vacating.contains(&it.name),
            movable: it.state == State::Up && !vacating.contains(&it.name) && coordinator.may_order(&it.name),
        }
    };
    let in_evacuated_zone = |it: &Instance| catalog.evacuated_zones.contains(&it.zone);
    let instances: Vec<Instance> = listed.iter().map(instance).filter(|it| !in_evacuated_zone(it)).collect();
    let moves = planner.plan(now, &loads, &standby_pools, &instances);
    if !moves.is_empty() {
        let demand: BTreeMap<&PoolId, (u64, u64, u64)> =
            loads.iter().map(|(pool, it)| (pool, (it.used, it.waiting, it.arriving))).collect();
        node.decision_log.write(
            "balance",
            json!({ "pools": planner.pool_balances(), "used_waiting_arriving": demand, "moves": moves.len() }),
        );
    }
    moves.iter().for_each(|planned_move| planner.move_ordered(now, planned_move));
    let requested = moves.into_iter().map(|it| (it.from.clone(), it.worker.clone(), it));
    let (vacant, busy): (Vec<Move>, Vec<Move>) = vacate_workers(node, false, requested).await;
    busy.iter().for_each(|planned_move| planner.move_withdrawn(planned_move));
    let names: Vec<Arc<str>> = vacant.iter().map(|it| it.name.clone()).collect();
    // After slow answers workers may be kept empty no longer. The next round asks again.
    if names.is_empty() || !coordinator.record_intent(node, &names).await || now + ORDER_WINDOW < clock::now().mono {
        vacant.iter().for_each(|planned_move| planner.move_withdrawn(planned_move));
        return;
    }
    let mut orders = JoinSet::new();
    for planned_move in vacant {
        orders.spawn(relocate_instance(
            node.clone(),
            machines.clone(),
            planned_move,
            coordinator.fencing_token,
        ));
    }
    for (planned_move, answer) in orders.join_all().await {
        match answer {
            Answer::Unknown => planner.move_refused(now, &planned_move),
            Answer::Unavailable => planner.move_withdrawn(&planned_move),
            // Where it is now the next list shows.
            Answer::Done | Answer::Busy | Answer::Fenced | Answer::Wave | Answer::Lost => {}
        }
    }
}

async fn relocate_instance(node: Arc<Node>, machines: Arc<MachineClient>, planned_move: Move, fencing_token: u64) -> (Move, Answer) {
    let answer = machines
        .move_to_pool(&planned_move.name, &planned_move.to, fencing_token, CALL_TIMEOUT)
        .await;
    node.decision_log.write(
        "move",
        json!({ "instance": planned_move.name, "from": planned_move.from, "to": planned_move.to, "token": fencing_token, "outcome": format!("{answer:?}") }),
    );
    (planned_move, answer)
}
