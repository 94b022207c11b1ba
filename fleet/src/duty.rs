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
use oriolewall::exchange::{Call, PartId, Reply, Report};
use oriolewall::id::{InstanceId, PoolId};
use oriolewall::quota::QuotaAllocator;
use serde_json::json;
use tokio::task::JoinSet;

use crate::node::Node;
use crate::upkeep::Waves;
use crate::{clock, peer, watch};

/// Partition whose owner has the duties.
pub(crate) const PART: PartId = 0;
/// Time between two rounds.
const INTERVAL: Duration = Duration::from_millis(200);
/// Time added to the platform's bound between orders of two holders.
const HANDOVER_SLACK: Duration = Duration::from_millis(500);
/// Tries to write a record under the right number.
const TRIES: usize = 2;
/// Key of the record of instances ordered lately.
const RECENT: &str = "recent";
/// Time for a call.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time after workers were found empty in which orders may be sent.
pub(crate) const ORDER_WITHIN: Duration = Duration::from_millis(1200);
/// Age of a report after which a pool's instances stay where they are.
const REPORT_AGE: Duration = Duration::from_secs(1);

/// What the holder of the duties knows.
#[derive(Debug, Default)]
pub(crate) struct Duties {
    ledger: Option<(u64, QuotaAllocator)>,
    loads: BTreeMap<PoolId, (PoolLoad, Duration)>,
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
        duties.ledger = Some((owned.epoch, QuotaAllocator::new(now)));
    }
    for (pool, load) in &report.loads {
        duties.loads.insert(pool.clone(), (load.clone(), now));
    }
    let Some((_, ledger)) = duties.ledger.as_mut() else {
        return Reply::Unavailable;
    };
    Reply::Grants(ledger.report(now, &catalog, &parts, report))
}

/// The right to give orders to instances, under one epoch.
///
/// Orders of two holders for one instance must lie apart. So a holder records
/// which instances it is about to order, and the next one leaves these alone
/// for a while; once its epoch stands in the log, no earlier holder can record more.
#[derive(Debug)]
pub(crate) struct Holder {
    /// The epoch, and the token of the orders.
    pub(crate) token: u64,
    writer: AppendPosition,
    /// Instances that an earlier holder may still order.
    theirs: HashMap<Arc<str>, Duration>,
    /// Instances ordered lately.
    ours: HashMap<Arc<str>, Duration>,
}

impl Holder {
    /// Sets the epoch and reads what earlier holders recorded.
    async fn take(node: &Node, token: u64) -> Result<(Holder, ReadResult), Error> {
        let mut writer = AppendPosition { epoch: token, sequence: 0 };
        match node.log.append(DUTIES, Some(writer), &[], CALL_TIMEOUT).await {
            Ok(()) => {}
            Err(Error::Sequence { expected }) => writer.sequence = expected,
            Err(err) => return Err(err),
        }
        let tail = node.log.newest(DUTIES, CALL_TIMEOUT).await?;
        let recent = tail.entries.iter().find(|it| it.key == RECENT).and_then(|it| it.value.as_deref());
        let names: Vec<Arc<str>> = recent.and_then(|it| rmp_serde::from_slice(it).ok()).unwrap_or_default();
        let until = clock::now().mono + node.bounds.load().duty_lease + HANDOVER_SLACK;
        let holder = Holder {
            token,
            writer,
            theirs: names.into_iter().map(|it| (it, until)).collect(),
            ours: HashMap::new(),
        };
        Ok((holder, tail))
    }

    /// Whether no earlier holder can order an instance any more.
    pub(crate) fn is_free(&self, name: &str) -> bool {
        self.theirs.get(name).is_none_or(|until| *until < clock::now().mono)
    }

    /// Records that instances are about to be ordered; returns whether they may be.
    pub(crate) async fn announce(&mut self, node: &Node, names: &[Arc<str>]) -> bool {
        let now = clock::now().mono;
        let keep = node.bounds.load().duty_lease + HANDOVER_SLACK + CALL_TIMEOUT;
        self.ours.retain(|_, at| now < *at + keep);
        self.theirs.retain(|_, until| now < *until);
        self.ours.extend(names.iter().map(|it| (it.clone(), now)));
        let recent: Vec<&Arc<str>> = self.ours.keys().chain(self.theirs.keys()).collect();
        let value = rmp_serde::to_vec(&recent).expect("names can be encoded");
        self.record(node, RECENT, value).await && node.is_member() && node.owned(PART).is_some_and(|it| it.epoch == self.token)
    }

    /// Writes a record that the next holder reads; returns whether it is in the log.
    pub(crate) async fn record(&mut self, node: &Node, key: &str, value: Vec<u8>) -> bool {
        let entry = Entry {
            key: key.to_owned(),
            value: Some(Bytes::from(value)),
        };
        for _ in 0..TRIES {
            match node
                .log
                .append(DUTIES, Some(self.writer), std::slice::from_ref(&entry), CALL_TIMEOUT)
                .await
            {
                Ok(()) => {
                    self.writer.sequence += 1;
                    return true;
                }
                Err(Error::Sequence { expected }) => self.writer.sequence = expected,
                Err(err) => {
                    watch::failed(node, "duties", &err);
                    return false;
                }
            }
        }
        false
    }
}

/// Has the duties whenever this instance owns their partition.
pub(crate) async fn run(node: Arc<Node>) {
    let Some(addr) = node.settings.machines else {
        return;
    };
    let machines = Arc::new(MachineClient::new(addr, node.settings.name.clone()));
    let mut held: Option<(Holder, Waves, Planner)> = None;
    loop {
        tokio::time::sleep(INTERVAL).await;
        let Some(owned) = node.owned(PART) else {
            held = None;
            continue;
        };
        if !node.is_member() {
            continue;
        }
        if held.as_ref().is_none_or(|(holder, _, _)| holder.token != owned.epoch) {
            held = match Holder::take(&node, owned.epoch).await {
                Ok((holder, tail)) => Some((holder, Waves::load(tail), Planner::default())),
                Err(err) => {
                    watch::failed(&node, "duties", &err);
                    None
                }
            };
        }
        let Some((holder, waves, planner)) = held.as_mut() else {
            continue;
        };
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
        waves.advance(&node, &machines, &listed, holder).await;
        balance(&node, &machines, planner, waves, &listed, holder).await;
    }
}

/// Has workers kept empty, side by side; returns those on which nothing runs, and the others.
pub(crate) async fn part_vacant<T, I>(node: &Arc<Node>, wait: bool, asked: I) -> (Vec<T>, Vec<T>)
where
    T: Send + 'static,
    I: IntoIterator<Item = (PoolId, Option<InstanceId>, T)>,
{
    let mut checks = JoinSet::new();
    for (pool, worker, what) in asked {
        let node = node.clone();
        checks.spawn(async move { (is_vacant(&node, &pool, worker, wait).await, what) });
    }
    let (vacant, busy): (Vec<_>, Vec<_>) = checks.join_all().await.into_iter().partition(|(vacant, _)| *vacant);
    let strip = |it: Vec<(bool, T)>| it.into_iter().map(|(_, what)| what).collect();
    (strip(vacant), strip(busy))
}

/// Has a worker kept empty; returns whether nothing runs there.
async fn is_vacant(node: &Arc<Node>, pool: &PoolId, worker: Option<InstanceId>, wait: bool) -> bool {
    let Some(worker) = worker else {
        return true;
    };
    let part = node.part_of(pool);
    peer::call(node, part, Call::Vacate { part, worker, wait }).await == Reply::Vacant(true)
}

/// Moves instances to where they are needed.
async fn balance(
    node: &Arc<Node>,
    machines: &Arc<MachineClient>,
    planner: &mut Planner,
    waves: &Waves,
    listed: &[Machine],
    holder: &mut Holder,
) {
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
    let loads: BTreeMap<PoolId, PoolLoad> = loads
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
            movable: it.state == State::Up && !held_back.contains(&it.name) && holder.is_free(&it.name),
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
    moves.iter().for_each(|order| planner.ordered(now, order));
    let asked = moves.into_iter().map(|it| (it.from.clone(), it.worker.clone(), it));
    let (vacant, busy): (Vec<Move>, Vec<Move>) = part_vacant(node, false, asked).await;
    busy.iter().for_each(|order| planner.withdrawn(order));
    let names: Vec<Arc<str>> = vacant.iter().map(|it| it.name.clone()).collect();
    // After slow answers workers may be kept empty no longer. The next round asks again.
    if names.is_empty() || !holder.announce(node, &names).await || now + ORDER_WITHIN < clock::now().mono {
        vacant.iter().for_each(|order| planner.withdrawn(order));
        return;
    }
    let mut orders = JoinSet::new();
    for order in vacant {
        orders.spawn(carry_out(node.clone(), machines.clone(), order, holder.token));
    }
    for (order, answer) in orders.join_all().await {
        match answer {
            Answer::Unknown => planner.refused(now, &order),
            Answer::Unavailable => planner.withdrawn(&order),
            // Where it is now the next list shows.
            Answer::Done | Answer::Busy | Answer::Fenced | Answer::Wave | Answer::Lost => {}
        }
    }
}

async fn carry_out(node: Arc<Node>, machines: Arc<MachineClient>, order: Move, token: u64) -> (Move, Answer) {
    let answer = machines.relocate(&order.name, &order.to, token, CALL_TIMEOUT).await;
    node.decisions.line(
        "move",
        json!({ "instance": order.name, "from": order.from, "to": order.to, "token": token, "outcome": format!("{answer:?}") }),
    );
    (order, answer)
}
