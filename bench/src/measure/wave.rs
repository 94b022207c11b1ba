//! Maintenance waves over fleets of several sizes, with the real planner and
//! the real permits, in steps of virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use oriolewall::fleet::{Health, Purpose};
use oriolewall::id::InstanceId;
use oriolewall::record::{Change, Payload, Record};
use oriolewall::setting;
use oriolewall::state::{RecordOutcome, State};
use oriolewall::tree::Edit;
use oriolewall::wave::{Mode, Wave};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use uuid::Uuid;

use crate::measure::ScenarioResult;

/// Sizes of fleets.
const SIZES: [usize; 4] = [10, 100, 1_000, 18_000];
/// Steps of virtual time.
const STEP: Duration = Duration::from_secs(600);
/// Time by which every instance is to be maintained.
const WINDOW: Duration = Duration::from_secs(56 * 86_400);
const PER_RACK: usize = 4;
const PER_POOL: usize = 450;
const BUDGET: &str = "10%";
/// Longest drain, in steps: long jobs are waited for.
const LONGEST_DRAIN_STEPS: u64 = 6;

/// Who decides what is drained next.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Planner {
    /// The wave planner.
    Wave,
    /// One instance at a time in each pool.
    OneAtATime,
}

struct Fleet {
    state: State,
    zones: Vec<String>,
    ops: u128,
}

/// Runs all sizes.
pub fn run(seed: u64) -> ScenarioResult {
    let with = |planner| {
        let sizes = SIZES.iter().map(|size| (size.to_string(), wave(*size, planner, seed)));
        Value::Object(sizes.collect())
    };
    let product = with(Planner::Wave);
    let broken = SIZES.iter().filter(|it| product[it.to_string()]["overdrawn"] != json!(0)).count();
    ScenarioResult {
        scenario: "wave",
        seed,
        broken,
        product,
        baselines: json!({ "one at a time per pool": with(Planner::OneAtATime) }),
    }
}

fn wave(size: usize, planner: Planner, seed: u64) -> Value {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut fleet = Fleet::new(size);
    let order = Wave {
        name: "wave".to_owned(),
        mode: Mode::Running,
        start_ms: 1,
        window: WINDOW,
    };
    let mut ends: BTreeMap<InstanceId, u64> = BTreeMap::new();
    let (mut step, mut out_steps, mut overdrawn, mut moves) = (0u64, 0u64, 0usize, 0usize);
    let mut done_at = None;
    while (STEP * step as u32) < WINDOW * 2 && done_at.is_none() {
        step += 1;
        let now_ms = (STEP * step as u32).as_millis() as u64;
        if step == 20 {
            fleet.lose_rack();
        }
        let finished: Vec<InstanceId> = ends.iter().filter(|(_, end)| **end <= step).map(|(id, _)| id.clone()).collect();
        for id in finished {
            ends.remove(&id);
            fleet.apply(now_ms, Change::Release { id });
            moves += 1;
        }
        for id in fleet.next(&order, planner) {
            let epoch = fleet.state.fleet.get(&id).map_or(0, |it| it.epoch);
            let change = Change::Permit {
                id: id.clone(),
                epoch,
                purpose: Purpose::Maintain,
            };
            if matches!(fleet.apply(now_ms, change), RecordOutcome::Accepted(_)) {
                overdrawn += fleet.overdrawn(&id);
                ends.insert(id, step + rng.random_range(1..=LONGEST_DRAIN_STEPS));
            }
        }
        if step == 60 {
            fleet.restore();
        }
        out_steps += ends.len() as u64;
        if order.progress(&fleet.state.fleet).done == size {
            done_at = Some(step);
        }
    }
    let hours = |steps: u64| (STEP * steps as u32).as_secs_f64() / 3_600.0;
    json!({
        "roll_out_hours": done_at.map(hours),
        "within_8_weeks": done_at.is_some_and(|it| STEP * it as u32 <= WINDOW),
        "buffer_instances_mean": (out_steps as f64 / step as f64 * 100.0).round() / 100.0,
        "instance_drains": moves,
        "overdrawn": overdrawn,
    })
}

impl Fleet {
    fn new(size: usize) -> Fleet {
        let zone_count = if size < 1_000 { 3 } else { 21 };
        let pools = size.div_ceil(PER_POOL);
        let mut fleet = Fleet {
            state: State::default(),
            zones: (0..zone_count).map(|it| format!("z{it}")).collect(),
            ops: 0,
        };
        let budget = Edit {
            path: String::new(),
            name: setting::BUDGET.to_owned(),
            value: Some(BUDGET.to_owned()),
            expected: None,
        };
        fleet.apply(0, Change::Edit(budget));
        for index in 0..size {
            let rack = index / PER_RACK;
            let zone = fleet.zones[rack % zone_count].clone();
            let change = Change::InstanceAdd {
                id: format!("w{index:05}").into(),
                zone: zone.into(),
                rack: format!("r{rack}").into(),
                pool: format!("p{}", rack % pools).into(),
                addr: std::net::SocketAddr::from(([10, 0, 0, 1], 1)),
                slots: 8,
            };
            fleet.apply(0, change);
        }
        fleet
    }

    fn apply(&mut self, wall_ms: u64, change: Change) -> RecordOutcome {
        self.ops += 1;
        let op = Uuid::from_u128(self.ops);
        let record = Record {
            op,
            author: "measure".to_owned(),
            wall_ms,
            change,
        };
        self.state.apply(&Payload::Records(vec![record]));
        self.state.outcome(&op).cloned().expect("a record just applied has a verdict")
    }

    fn next(&self, order: &Wave, planner: Planner) -> Vec<InstanceId> {
        if planner == Planner::OneAtATime {
            return self.one_per_pool(order);
        }
        let per_zone = self
            .zones
            .iter()
            .map(|zone| order.next_instances(&self.state.fleet, zone, |pool| self.state.budget(pool)));
        per_zone.flatten().collect()
    }

    /// The first instance that waits, in every pool without a disruption.
    fn one_per_pool(&self, order: &Wave) -> Vec<InstanceId> {
        let fleet = &self.state.fleet;
        let idle = fleet.pools().filter(|pool| fleet.disrupted_count(pool) == 0);
        let first = |pool: &oriolewall::id::PoolId| {
            fleet
                .in_pool(pool)
                .find(|(_, it)| it.maintained_ms < order.start_ms)
                .map(|(id, _)| id.clone())
        };
        idle.filter_map(first).collect()
    }

    /// One when the latest grant overdrew its pool's budget.
    fn overdrawn(&self, id: &str) -> usize {
        let pool = self.state.fleet.get(id).map(|it| it.pool.clone()).unwrap_or_default();
        let budget = self.state.budget(&pool).limit(self.state.fleet.pool_size(&pool));
        usize::from(budget < self.state.fleet.disrupted_count(&pool))
    }

    fn lose_rack(&mut self) {
        self.observe_rack(Health::Down);
    }

    fn restore(&mut self) {
        self.observe_rack(Health::Up);
    }

    fn observe_rack(&mut self, health: Health) {
        for index in 0..PER_RACK {
            self.apply(
                0,
                Change::Observe {
                    id: format!("w{index:05}").into(),
                    health,
                },
            );
        }
    }
}
