//! Maintenance waves over fleets of several sizes, in steps of virtual time.
//!
//! The fleet is a real replica of the state: permits are granted and released by
//! records, and the wave planner of the product chooses the instances. The time that
//! an instance takes and the failure of a rack are simulated.

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

/// Numbers of instances in the fleet.
const FLEET_SIZES: [usize; 4] = [10, 100, 1_000, 18_000];
/// Length of a step of virtual time.
const STEP: Duration = Duration::from_secs(600);
/// Time in which every instance is to be maintained: 8 weeks.
const WINDOW: Duration = Duration::from_secs(56 * 86_400);
/// Number of instances in a rack; all of them are in the same pool.
const RACK_SIZE: usize = 4;
/// Number of instances in a pool of a fleet with several pools.
const POOL_SIZE: usize = 450;
/// Part of each pool that may be disrupted at a time.
const BUDGET: &str = "10%";
/// Upper bound of the time from permit to release, in steps. A drain waits for long
/// jobs to finish.
const MAX_DRAIN_STEPS: u64 = 6;

/// Rule that chooses the instances to drain next.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Planner {
    /// The wave planner of the product.
    Wave,
    /// Baseline: one instance at a time in each pool.
    OneAtATime,
}

/// The state of a fleet, changed by records as in production.
struct SimulatedFleet {
    state: State,
    zones: Vec<String>,
    /// Number of records applied; also the id of the latest record.
    record_count: u128,
}

/// Runs a wave over fleets of all sizes, with the planner and with the baseline. A
/// size counts as a violation if the planner exceeded a pool's budget in it.
pub fn run(seed: u64) -> ScenarioResult {
    let run_all = |planner| {
        let sizes = FLEET_SIZES
            .iter()
            .map(|size| (size.to_string(), simulate_wave(*size, planner, seed)));
        Value::Object(sizes.collect())
    };
    let product = run_all(Planner::Wave);
    let broken = FLEET_SIZES
        .iter()
        .filter(|it| product[it.to_string()]["overdrawn"] != json!(0))
        .count();
    ScenarioResult {
        scenario: "wave",
        seed,
        broken,
        product,
        baselines: json!({ "one at a time per pool": run_all(Planner::OneAtATime) }),
    }
}

/// Simulates one wave until all instances are maintained, or for twice the window.
///
/// The health of the first rack is down from step 20 to step 60.
fn simulate_wave(size: usize, planner: Planner, seed: u64) -> Value {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut fleet = SimulatedFleet::new(size);
    let wave = Wave {
        name: "wave".to_owned(),
        mode: Mode::Running,
        start_ms: 1,
        window: WINDOW,
    };
    let mut release_steps: BTreeMap<InstanceId, u64> = BTreeMap::new();
    let (mut step, mut permit_steps, mut overdrawn, mut drains) = (0u64, 0u64, 0usize, 0usize);
    let mut done_step = None;
    while (STEP * step as u32) < WINDOW * 2 && done_step.is_none() {
        step += 1;
        let now_ms = (STEP * step as u32).as_millis() as u64;
        if step == 20 {
            fleet.mark_rack_down();
        }
        let released: Vec<InstanceId> = release_steps
            .iter()
            .filter(|(_, release_step)| **release_step <= step)
            .map(|(id, _)| id.clone())
            .collect();
        for id in released {
            release_steps.remove(&id);
            fleet.apply(now_ms, Change::Release { id });
            drains += 1;
        }
        for id in fleet.next_instances(&wave, planner) {
            let epoch = fleet.state.fleet.get(&id).map_or(0, |it| it.epoch);
            let change = Change::Permit {
                id: id.clone(),
                epoch,
                purpose: Purpose::Maintain,
            };
            if matches!(fleet.apply(now_ms, change), RecordOutcome::Accepted(_)) {
                overdrawn += fleet.count_overdrawn(&id);
                release_steps.insert(id, step + rng.random_range(1..=MAX_DRAIN_STEPS));
            }
        }
        if step == 60 {
            fleet.mark_rack_up();
        }
        permit_steps += release_steps.len() as u64;
        if wave.progress(&fleet.state.fleet).done == size {
            done_step = Some(step);
        }
    }
    let hours = |steps: u64| (STEP * steps as u32).as_secs_f64() / 3_600.0;
    json!({
        "roll_out_hours": done_step.map(hours),
        "within_8_weeks": done_step.is_some_and(|it| STEP * it as u32 <= WINDOW),
        "buffer_instances_mean": (permit_steps as f64 / step as f64 * 100.0).round() / 100.0,
        "instance_drains": drains,
        "overdrawn": overdrawn,
    })
}

impl SimulatedFleet {
    /// A fleet of `size` instances that are up. Racks are spread evenly over zones and
    /// pools.
    fn new(size: usize) -> SimulatedFleet {
        let zone_count = if size < 1_000 { 3 } else { 21 };
        let pools = size.div_ceil(POOL_SIZE);
        let mut fleet = SimulatedFleet {
            state: State::default(),
            zones: (0..zone_count).map(|it| format!("z{it}")).collect(),
            record_count: 0,
        };
        let budget = Edit {
            path: String::new(),
            name: setting::BUDGET.to_owned(),
            value: Some(BUDGET.to_owned()),
            expected: None,
        };
        fleet.apply(0, Change::Edit(budget));
        for index in 0..size {
            let rack = index / RACK_SIZE;
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

    /// Applies a change as the next record and returns its outcome.
    fn apply(&mut self, wall_ms: u64, change: Change) -> RecordOutcome {
        self.record_count += 1;
        let op = Uuid::from_u128(self.record_count);
        let record = Record {
            op,
            author: "measure".to_owned(),
            wall_ms,
            change,
        };
        self.state.apply(&Payload::Records(vec![record]));
        self.state
            .outcome(&op)
            .cloned()
            .expect("a record that was just applied has an outcome")
    }

    /// Returns the instances to drain next.
    fn next_instances(&self, wave: &Wave, planner: Planner) -> Vec<InstanceId> {
        if planner == Planner::OneAtATime {
            return self.one_per_pool(wave);
        }
        let per_zone = self
            .zones
            .iter()
            .map(|zone| wave.next_instances(&self.state.fleet, zone, |pool| self.state.budget(pool)));
        per_zone.flatten().collect()
    }

    /// Returns the first instance to be maintained of every pool without a disruption.
    fn one_per_pool(&self, wave: &Wave) -> Vec<InstanceId> {
        let fleet = &self.state.fleet;
        let undisrupted = fleet.pools().filter(|pool| fleet.disrupted_count(pool) == 0);
        let first = |pool: &oriolewall::id::PoolId| {
            fleet
                .in_pool(pool)
                .find(|(_, it)| it.maintained_ms < wave.start_ms)
                .map(|(id, _)| id.clone())
        };
        undisrupted.filter_map(first).collect()
    }

    /// Returns 1 if more instances of the instance's pool are disrupted than its budget
    /// allows, else 0.
    fn count_overdrawn(&self, id: &str) -> usize {
        let pool = self.state.fleet.get(id).map(|it| it.pool.clone()).unwrap_or_default();
        let budget = self.state.budget(&pool).limit(self.state.fleet.pool_size(&pool));
        usize::from(budget < self.state.fleet.disrupted_count(&pool))
    }

    fn mark_rack_down(&mut self) {
        self.set_rack_health(Health::Down);
    }

    fn mark_rack_up(&mut self) {
        self.set_rack_health(Health::Up);
    }

    /// Records the health of all instances of the first rack.
    fn set_rack_health(&mut self, health: Health) {
        for index in 0..RACK_SIZE {
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
