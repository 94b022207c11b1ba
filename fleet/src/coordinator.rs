//! Fleet coordinator: divides teams' caps among partition owners, moves instances
//! between pools, and runs maintenance waves.
//!
//! The owner of [`COORDINATOR_PART`] is the coordinator. The generation of the group since
//! which it has held that partition is its epoch and the fencing token of its orders.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use oriole_platform::log::{AppendPosition, COORDINATOR, Entry, Error, ReadResult};
use oriole_platform::machine::{Answer, Machine, MachineClient, State};
use oriolewall::balance::{Instance, Move, Planner, PoolLoad};
use oriolewall::id::{InstanceId, PoolId};
use oriolewall::order_history::OrderHistory;
use oriolewall::quota::QuotaAllocator;
use oriolewall::rpc::{Call, PartitionId, Reply, UsageReport};
use serde_json::json;
use tokio::task::JoinSet;

use crate::maintenance::MaintenanceWaves;
use crate::node::Node;
use crate::peaks::Peaks;
use crate::{clock, peer, watch};

/// Partition whose owner is the fleet coordinator.
pub(crate) const COORDINATOR_PART: PartitionId = 0;
/// Time between two rounds of planning and orders.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);
/// Margin added to the platform's bound on the time between orders of successive
/// coordinators to the same instance.
const HANDOVER_MARGIN: Duration = Duration::from_millis(500);
/// Attempts to append a record. The second one uses the sequence number that the
/// log expects.
const APPEND_ATTEMPTS: usize = 2;
/// Key of the record that names the instances with recent orders.
const RECENT_ORDERS_KEY: &str = "recent";
/// Time limit of a call to the log or to the service that manages instances.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time after a request to vacate workers during which orders to their instances may
/// be sent.
pub(crate) const ORDER_WINDOW: Duration = Duration::from_millis(1200);
/// Age of an owner's report beyond which no instances of its pools are moved.
const MAX_REPORT_AGE: Duration = Duration::from_secs(1);

/// What partition owners have reported to the coordinator.
#[derive(Debug, Default)]
pub(crate) struct CoordinatorState {
    /// Allocator of teams' caps, with the epoch of the coordinator that it belongs to.
    pub(crate) allocator: Option<(u64, QuotaAllocator)>,
    /// Last report of each pool.
    pool_reports: BTreeMap<PoolId, PoolReport>,
    /// Waiting work of each pool that can no longer meet its objective, millicores, with the
    /// monotonic time at which it was reported.
    late_work: BTreeMap<PoolId, (u64, Duration)>,
    /// Monotonic time at which shortages of caps were last logged.
    pub(crate) shortages_logged_at: Duration,
}

impl CoordinatorState {
    /// Stores the loads of an owner's pools.
    pub(crate) fn store_loads(&mut self, now: Duration, report: &UsageReport) {
        for (pool, load) in &report.loads {
            let pool_report = PoolReport {
                load: load.clone(),
                at: now,
                owner_epoch: report.epoch,
            };
            self.pool_reports.insert(pool.clone(), pool_report);
        }
    }
}

/// What the owner of a pool has reported of it.
#[derive(Clone, Debug)]
struct PoolReport {
    load: PoolLoad,
    /// Monotonic time of the report.
    at: Duration,
    /// Epoch of the owner.
    owner_epoch: u64,
}

/// Processes a partition owner's report on waiting work that can no longer meet its objective.
pub(crate) fn handle_late_work(node: &Node, loads: BTreeMap<PoolId, u64>) -> Reply {
    if node.owned_partition(COORDINATOR_PART).is_none() {
        return Reply::NotOwner;
    }
    let now = clock::now().mono;
    let catalog = node.catalog();
    let mut state = node.lock_coordinator_state();
    let known = loads.into_iter().filter(|(pool, _)| catalog.pools.contains_key(pool));
    state.late_work.extend(known.map(|(pool, cpu)| (pool, (cpu, now))));
    Reply::Done
}

/// Session of the fleet coordinator under one epoch, in which it may send orders to
/// instances.
///
/// Orders of successive coordinators to the same instance have to be separated by a
/// minimum time. A coordinator therefore records the instances in the log before it
/// sends orders to them, and its successor sends these no orders for that time.
/// Setting the epoch fences earlier coordinators, so none can add a record after its
/// successor has read them.
#[derive(Debug)]
pub(crate) struct CoordinatorSession {
    /// Epoch of the session, sent with each order.
    pub(crate) fencing_token: u64,
    /// Position of the next append to [`COORDINATOR`].
    position: AppendPosition,
    /// Recent orders of this coordinator and of earlier ones.
    orders: OrderHistory,
}

impl CoordinatorSession {
    /// Starts a session: sets the epoch and reads the records of earlier coordinators. Also
    /// returns these records.
    async fn start(node: &Node, fencing_token: u64) -> Result<(CoordinatorSession, ReadResult), Error> {
        let mut position = AppendPosition {
            epoch: fencing_token,
            sequence: 0,
        };
        match node.log.append(COORDINATOR, Some(position), &[], CALL_TIMEOUT).await {
            Ok(()) => {}
            Err(Error::OutOfSequence { expected }) => position.sequence = expected,
            Err(err) => return Err(err),
        }
        let newest = node.log.read_newest(COORDINATOR, CALL_TIMEOUT).await?;
        let recent = newest
            .entries
            .iter()
            .find(|it| it.key == RECENT_ORDERS_KEY)
            .and_then(|it| it.value.as_deref());
        let handover_wait = node.bounds.load().coordinator_lease + HANDOVER_MARGIN;
        let session = CoordinatorSession {
            fencing_token,
            position,
            orders: OrderHistory::restore(clock::now().mono, handover_wait, CALL_TIMEOUT, recent),
        };
        Ok((session, newest))
    }

    /// Returns whether enough time has passed since orders of earlier coordinators to an
    /// instance.
    pub(crate) fn may_order(&self, name: &str) -> bool {
        self.orders.may_order(clock::now().mono, name)
    }

    /// Records that orders are about to be sent to instances. Returns whether they may
    /// be sent: the record is in the log and this instance is still the coordinator.
    pub(crate) async fn record_intent(&mut self, node: &Node, names: &[Arc<str>]) -> bool {
        let value = self.orders.record(clock::now().mono, names);
        self.append_record(node, RECENT_ORDERS_KEY, value).await
            && node.is_member()
            && node
                .owned_partition(COORDINATOR_PART)
                .is_some_and(|it| it.tenure.since() == self.fencing_token)
    }

    /// Appends a record for the next coordinator. Returns whether it is in the log.
    pub(crate) async fn append_record(&mut self, node: &Node, key: &str, value: Vec<u8>) -> bool {
        let entry = Entry {
            key: key.to_owned(),
            value: Some(Bytes::from(value)),
        };
        for _ in 0..APPEND_ATTEMPTS {
            match node
                .log
                .append(COORDINATOR, Some(self.position), std::slice::from_ref(&entry), CALL_TIMEOUT)
                .await
            {
                Ok(()) => {
                    self.position.sequence += 1;
                    return true;
                }
                Err(Error::OutOfSequence { expected }) => self.position.sequence = expected,
                Err(err) => {
                    watch::report_log_error(node, "duties", &err);
                    return false;
                }
            }
        }
        false
    }
}

/// What a coordinator works with under one epoch.
struct Active {
    session: CoordinatorSession,
    waves: MaintenanceWaves,
    planner: Planner,
    /// Forecast of demand peaks; `None` if it is switched off.
    peaks: Option<Peaks>,
}

/// Moves instances and runs maintenance waves while this instance owns
/// [`COORDINATOR_PART`]. Returns at once if no service that manages instances is
/// configured.
pub(crate) async fn run(node: Arc<Node>) {
    let Some(addr) = node.settings.machines_addr else {
        return;
    };
    let machine_client = Arc::new(MachineClient::new(addr, node.settings.name.clone()));
    let mut active: Option<Active> = None;
    loop {
        tokio::time::sleep(ROUND_INTERVAL).await;
        let Some(owned) = node.owned_partition(COORDINATOR_PART) else {
            active = None;
            continue;
        };
        if !node.is_member() {
            continue;
        }
        let epoch = owned.tenure.since();
        if active.as_ref().is_none_or(|it| it.session.fencing_token != epoch) {
            active = match CoordinatorSession::start(&node, epoch).await {
                Ok((session, newest)) => Some(Active {
                    session,
                    planner: Planner::default(),
                    peaks: Peaks::restore(&node, &newest),
                    waves: MaintenanceWaves::restore(newest),
                }),
                Err(err) => {
                    watch::report_log_error(&node, "duties", &err);
                    None
                }
            };
        }
        let Some(active) = active.as_mut() else {
            continue;
        };
        let all_machines = match machine_client.list(CALL_TIMEOUT).await {
            Ok(all_machines) => all_machines,
            Err(err) => {
                node.decision_log.write(
                    "dependency",
                    json!({ "name": "machines", "state": "failing", "error": err.to_string() }),
                );
                continue;
            }
        };
        active
            .waves
            .advance(&node, &machine_client, &all_machines, &mut active.session)
            .await;
        rebalance(&node, &machine_client, active, &all_machines.machines).await;
        if let Some(peaks) = &mut active.peaks {
            peaks.record_changes(&node);
        }
    }
}

/// Asks the owners of workers, concurrently, to vacate them. Returns the items of the
/// workers on which nothing runs, then those of the others.
///
/// New work is kept away from a vacated worker for a limited time. With `wait` that
/// also applies to busy workers, so that they become empty; without it they stay in
/// service. An item without a worker counts as vacant.
pub(crate) async fn vacate_workers<T, I>(node: &Arc<Node>, wait: bool, requested: I) -> (Vec<T>, Vec<T>)
where
    T: Send + 'static,
    I: IntoIterator<Item = (PoolId, Option<InstanceId>, T)>,
{
    let (mut vacant, mut busy) = (Vec::new(), Vec::new());
    let mut by_part: BTreeMap<PartitionId, (Vec<InstanceId>, Vec<T>)> = BTreeMap::new();
    for (pool, worker, item) in requested {
        let Some(worker) = worker else {
            vacant.push(item);
            continue;
        };
        let (workers, items) = by_part.entry(node.partition_of(&pool)).or_default();
        workers.push(worker);
        items.push(item);
    }
    let mut calls = JoinSet::new();
    for (part, (workers, items)) in by_part {
        let node = node.clone();
        calls.spawn(async move {
            let reply = peer::call(&node, part, Call::Vacate { part, workers, wait }).await;
            (reply, items)
        });
    }
    for (reply, items) in calls.join_all().await {
        // Workers for which there is no answer count as busy.
        let is_vacant = match reply {
            Reply::Vacant(is_vacant) => is_vacant,
            _ => Vec::new(),
        };
        for (index, item) in items.into_iter().enumerate() {
            match is_vacant.get(index) {
                Some(true) => vacant.push(item),
                _ => busy.push(item),
            }
        }
    }
    (vacant, busy)
}

/// Moves instances between pools as demand requires. Only instances on which nothing
/// runs are moved.
async fn rebalance(node: &Arc<Node>, machine_client: &Arc<MachineClient>, active: &mut Active, all_machines: &[Machine]) {
    let Active {
        session,
        waves,
        planner,
        peaks,
    } = active;
    let now = clock::now().mono;
    let catalog = node.catalog();
    let (reports, late_work) = {
        let state = node.lock_coordinator_state();
        (state.pool_reports.clone(), state.late_work.clone())
    };
    let standby_pools: Vec<PoolId> = catalog
        .pools
        .iter()
        .filter(|(_, it)| it.standby)
        .map(|(name, _)| name.clone())
        .collect();
    // Pools without a fresh report keep their instances.
    let has_fresh_report = |pool: &PoolId, at: Duration| catalog.pools.get(pool).is_some_and(|it| !it.standby) && now < at + MAX_REPORT_AGE;
    let reports = reports.into_iter().filter(|(pool, it)| has_fresh_report(pool, it.at));
    let (mut loads, mut owner_epochs) = (BTreeMap::new(), BTreeMap::new());
    for (pool, report) in reports {
        let fresh_late_work = late_work.get(&pool).filter(|(_, at)| now < *at + MAX_REPORT_AGE);
        let mut load = report.load;
        load.late = fresh_late_work.map_or(0, |(cpu, _)| load.waiting.min(*cpu));
        owner_epochs.insert(pool.clone(), report.owner_epoch);
        loads.insert(pool, load);
    }
    let workers = node.workers.load();
    let vacating: &HashSet<Arc<str>> = waves.vacating();
    let instance = |it: &Machine| {
        let listed_worker = it.worker.as_ref().and_then(|id| workers.get(id));
        Instance {
            name: it.name.clone(),
            pool: it.pool.clone(),
            zone: it.zone.clone().unwrap_or_else(|| Arc::from("")),
            worker: it.worker.clone(),
            cpu: listed_worker.map_or(it.capacity.cpu, |it| it.capacity.cpu),
            in_service: matches!(it.state, State::Up | State::Moving) && !vacating.contains(&it.name),
            movable: it.state == State::Up && !vacating.contains(&it.name) && session.may_order(&it.name),
        }
    };
    let in_evacuated_zone = |it: &Instance| catalog.evacuated_zones.contains(&it.zone);
    let instances: Vec<Instance> = all_machines.iter().map(instance).filter(|it| !in_evacuated_zone(it)).collect();
    if let Some(peaks) = peaks {
        peaks.update(node, &mut loads, &owner_epochs, &instances);
    }
    let moves = planner.plan(now, &loads, &standby_pools, &instances);
    if !moves.is_empty() {
        let demand: BTreeMap<&PoolId, (u64, u64, u64)> =
            loads.iter().map(|(pool, it)| (pool, (it.used, it.waiting, it.arriving))).collect();
        let late: BTreeMap<&PoolId, u64> = loads
            .iter()
            .filter(|(_, it)| 0 < it.late)
            .map(|(pool, it)| (pool, it.late))
            .collect();
        node.decision_log.write(
            "balance",
            json!({ "pools": planner.pool_balances(), "used_waiting_arriving": demand, "late": late, "moves": moves.len() }),
        );
    }
    moves.iter().for_each(|planned_move| planner.move_ordered(now, planned_move));
    let requested = moves.into_iter().map(|it| (it.from.clone(), it.worker.clone(), it));
    let (vacant, busy): (Vec<Move>, Vec<Move>) = vacate_workers(node, false, requested).await;
    busy.iter().for_each(|planned_move| planner.move_withdrawn(planned_move));
    let names: Vec<Arc<str>> = vacant.iter().map(|it| it.name.clone()).collect();
    // If the answers took too long, the workers may get new work before the orders
    // arrive. The next round asks again.
    if names.is_empty() || !session.record_intent(node, &names).await || now + ORDER_WINDOW < clock::now().mono {
        vacant.iter().for_each(|planned_move| planner.move_withdrawn(planned_move));
        return;
    }
    let mut orders = JoinSet::new();
    for planned_move in vacant {
        orders.spawn(relocate_instance(
            node.clone(),
            machine_client.clone(),
            planned_move,
            session.fencing_token,
        ));
    }
    for (planned_move, answer) in orders.join_all().await {
        match answer {
            Answer::Unknown => planner.move_refused(now, &planned_move),
            Answer::Unavailable => planner.move_withdrawn(&planned_move),
            // The next list of instances reports the pool that it is in.
            Answer::Done | Answer::Busy | Answer::Fenced | Answer::Wave | Answer::Lost => {}
        }
    }
}

/// Orders a move and logs its outcome.
async fn relocate_instance(node: Arc<Node>, machine_client: Arc<MachineClient>, planned_move: Move, fencing_token: u64) -> (Move, Answer) {
    let answer = machine_client
        .move_to_pool(&planned_move.name, &planned_move.to, fencing_token, CALL_TIMEOUT)
        .await;
    node.decision_log.write(
        "move",
        json!({ "instance": planned_move.name, "from": planned_move.from, "to": planned_move.to, "token": fencing_token, "outcome": format!("{answer:?}") }),
    );
    (planned_move, answer)
}
