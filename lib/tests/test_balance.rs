//! Planning of moves between pools: which instances move, when, and which must stay.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use oriolewall::balance::{Instance, Planner, PoolLoad};
use oriolewall::id::{InstanceId, PoolId};

fn instance(number: usize, pool: &str) -> Instance {
    Instance {
        name: Arc::from(format!("m{number}")),
        pool: Arc::from(pool),
        zone: Arc::from(["za", "zb", "zc"][number % 3]),
        worker: Some(Arc::from(format!("w{number}"))),
        cpu: 1000,
        in_service: true,
        movable: true,
    }
}

fn load(used: u64, waiting: u64, arriving: u64, idle: &[usize]) -> PoolLoad {
    PoolLoad {
        used,
        waiting,
        arriving,
        breadth: 0,
        idle: idle.iter().map(|it| InstanceId::from(format!("w{it}"))).collect(),
        late: 0,
    }
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn standby_instances_fill_a_shortage_first() {
    let instances = [
        instance(0, "busy"),
        instance(1, "idle"),
        instance(2, "idle"),
        instance(3, "standby"),
    ];
    let loads = BTreeMap::from([
        (PoolId::from("busy"), load(1000, 3000, 0, &[])),
        (PoolId::from("idle"), load(0, 0, 0, &[1, 2])),
    ]);
    let moves = Planner::default().plan(at(0), &loads, &[Arc::from("standby")], &instances);
    let moved: Vec<&str> = moves.iter().map(|it| &*it.name).collect();
    assert_eq!(moved, ["m3"], "the idle pool keeps its minimum of three");
}

#[test]
fn idle_instances_of_other_pools_move_before_those_in_standby() {
    // Guards against two moves by way of the standby pool where one does.
    let mut instances: Vec<Instance> = (0..5).map(|it| instance(it, "idle")).collect();
    instances.push(instance(5, "busy"));
    instances.push(instance(6, "standby"));
    let loads = BTreeMap::from([
        (PoolId::from("busy"), load(1000, 3000, 0, &[])),
        (PoolId::from("idle"), load(0, 0, 0, &[0, 1, 2, 3, 4])),
    ]);
    let moves = Planner::default().plan(at(0), &loads, &[Arc::from("standby")], &instances);
    let from: Vec<&str> = moves.iter().map(|it| &*it.from).collect();
    assert_eq!(from, ["idle", "idle", "standby"], "the idle pool keeps its minimum of three");
}

#[test]
fn a_later_coordinator_keeps_idle_instances_until_the_demand_is_known() {
    // Replays apmas-cellyard-large, trouble-3: after a power-off the next coordinator moved the idle
    // instances to standby at once, and 629 jobs of the backlog found none in their pools.
    let instances: Vec<Instance> = (0..5).map(|it| instance(it, "pool")).collect();
    let standby = [PoolId::from("standby")];
    let idle = BTreeMap::from([(PoolId::from("pool"), load(0, 0, 1, &[0, 1, 2, 3, 4]))]);
    let mut planner = Planner::default();
    for ms in (20_000..24_900).step_by(200) {
        assert!(planner.plan(at(ms), &idle, &standby, &instances).is_empty());
    }
    assert_eq!(planner.plan(at(25_100), &idle, &standby, &instances).len(), 2);
}

#[test]
fn idle_instances_move_until_the_minimum_pool_size() {
    let mut instances: Vec<Instance> = (0..6).map(|it| instance(it, "idle")).collect();
    instances.push(instance(6, "busy"));
    let loads = BTreeMap::from([
        (PoolId::from("busy"), load(1000, 9000, 0, &[])),
        (PoolId::from("idle"), load(0, 0, 0, &[0, 1, 2, 3, 4, 5])),
    ]);
    let moves = Planner::default().plan(at(0), &loads, &[], &instances);
    assert_eq!(moves.len(), 3);
    assert!(moves.iter().all(|it| &*it.to == "busy"));
}

#[test]
fn ordered_instance_counts_in_its_new_pool() {
    let mut instances: Vec<Instance> = (0..6).map(|it| instance(it, "idle")).collect();
    instances.push(instance(6, "busy"));
    let loads = BTreeMap::from([
        (PoolId::from("busy"), load(1000, 2500, 0, &[])),
        (PoolId::from("idle"), load(0, 0, 0, &[0, 1, 2, 3, 4, 5])),
    ]);
    let mut planner = Planner::default();
    for order in planner.plan(at(0), &loads, &[], &instances) {
        planner.move_ordered(at(0), &order);
    }
    assert!(planner.plan(at(200), &loads, &[], &instances).is_empty());
}

#[test]
fn idle_instances_go_to_standby_only_after_both_delays() {
    let instances: Vec<Instance> = (0..5).map(|it| instance(it, "pool")).collect();
    let standby = [PoolId::from("standby")];
    let idle = BTreeMap::from([(PoolId::from("pool"), load(0, 0, 1, &[0, 1, 2, 3, 4]))]);
    let mut planner = Planner::default();
    assert!(planner.plan(at(0), &idle, &standby, &instances).is_empty());
    assert!(planner.plan(at(4900), &idle, &standby, &instances).is_empty());
    assert_eq!(planner.plan(at(5100), &idle, &standby, &instances).len(), 2);
}

#[test]
fn instances_out_of_service_do_not_count() {
    // Regression (bench cic-oriolewall quiet-1, LOST): instances that were being emptied
    // counted as members of their pool, so the pool got no replacement.
    let mut instances: Vec<Instance> = (0..4).map(|it| instance(it, "pool")).collect();
    instances.push(instance(4, "standby"));
    for it in &mut instances[..3] {
        it.in_service = false;
        it.movable = false;
    }
    let loads = BTreeMap::from([(PoolId::from("pool"), load(0, 0, 0, &[]))]);
    let moves = Planner::default().plan(at(0), &loads, &[Arc::from("standby")], &instances);
    assert_eq!(moves.len(), 1, "the pool gets a replacement");
}

#[test]
fn refused_instance_is_planned_again_after_a_delay() {
    let instances = [instance(0, "pool"), instance(1, "standby")];
    let loads = BTreeMap::from([(PoolId::from("pool"), load(5000, 0, 0, &[]))]);
    let standby = [PoolId::from("standby")];
    let mut planner = Planner::default();
    let moves = planner.plan(at(0), &loads, &standby, &instances);
    planner.move_refused(at(0), &moves[0]);
    assert!(planner.plan(at(1000), &loads, &standby, &instances).is_empty());
    assert_eq!(planner.plan(at(31_000), &loads, &standby, &instances).len(), 1);
}

#[test]
fn instance_of_a_withdrawn_order_is_planned_again() {
    let instances = [instance(0, "busy"), instance(1, "standby")];
    let loads = BTreeMap::from([(PoolId::from("busy"), load(1000, 3000, 0, &[]))]);
    let mut planner = Planner::default();
    let moves = planner.plan(at(0), &loads, &[Arc::from("standby")], &instances);
    planner.move_ordered(at(0), &moves[0]);
    assert!(planner.plan(at(200), &loads, &[Arc::from("standby")], &instances).is_empty());
    planner.move_withdrawn(&moves[0]);
    assert_eq!(planner.plan(at(400), &loads, &[Arc::from("standby")], &instances), moves);
}

#[test]
fn a_backlog_that_can_be_in_time_is_served_before_a_larger_late_one() {
    // After a power-off the pool with the largest backlog got all instances, although most of it was
    // late already, and the work of the others became late as well.
    let mut instances: Vec<Instance> = (0..3).map(|it| instance(it, "late")).collect();
    instances.extend((3..6).map(|it| instance(it, "urgent")));
    instances.extend((6..9).map(|it| instance(it, "standby")));
    let mut late = load(3000, 20_000, 0, &[]);
    let urgent = load(3000, 5000, 0, &[]);
    for (late_cpu, served) in [(0, "late"), (16_000, "urgent"), (20_000, "urgent")] {
        late.late = late_cpu;
        let loads = BTreeMap::from([(PoolId::from("late"), late.clone()), (PoolId::from("urgent"), urgent.clone())]);
        let moves = Planner::default().plan(at(0), &loads, &[Arc::from("standby")], &instances);
        assert_eq!(moves.len(), 3);
        assert!(moves.iter().all(|it| &*it.to == served), "{late_cpu}: {moves:?}");
    }
}

#[test]
fn a_report_is_readable_for_earlier_builds() {
    // MessagePack arrays with more elements than a struct has fields are an error, so with another
    // field an earlier build as coordinator would grant no caps.
    type EarlierPoolLoad = (u64, u64, u64, usize, Vec<InstanceId>);
    let mut load = load(1, 2, 3, &[4]);
    load.late = 2;
    let bytes = rmp_serde::to_vec(&load).unwrap();
    let earlier: EarlierPoolLoad = rmp_serde::from_slice(&bytes).unwrap();
    assert_eq!(earlier, (1, 2, 3, 0, vec![InstanceId::from("w4")]));
}
