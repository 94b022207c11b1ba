//! Cost by size, for capacity planning: size of the state, memory, processing
//! time and messages for several sizes of the fleet and several numbers of entry
//! instances.

use std::time::{Duration, Instant};

use oriolewall::clock::Now;
use oriolewall::entry::{Entry, Event, Settings};
use oriolewall::id::Offset;
use oriolewall::platform::LogRead;
use oriolewall::record::{Change, Payload, Record};
use oriolewall::replica::Replica;
use oriolewall::setting;
use oriolewall::snapshot;
use oriolewall::state::State;
use oriolewall::tree::Edit;
use serde_json::{Value, json};
use uuid::Uuid;

use crate::check::fault::FaultSchedule;
use crate::check::load::Load;
use crate::check::simulation::{Simulation, SimulationConfig};

/// Numbers of workers in the fleet.
const FLEET_SIZES: [usize; 3] = [1_000, 4_000, 18_000];
/// Numbers of entry instances in each of the three zones.
const ENTRIES_PER_ZONE: [usize; 3] = [2, 4, 8];
const TEAMS: usize = 80;
const ZONES: usize = 21;
const POOLS: usize = 40;
/// Number of idle ticks whose mean time is measured.
const IDLE_TICKS: u32 = 500;
/// Virtual time for which the messages of the entries are counted.
const MESSAGE_DURATION: Duration = Duration::from_secs(12);

/// Measures all sizes and returns the figures as JSON.
pub fn run() -> Value {
    json!({
        "fleet": FLEET_SIZES.map(measure_fleet).to_vec(),
        "members": ENTRIES_PER_ZONE.map(measure_members).to_vec(),
    })
}

/// Size of the state, memory and processing time of one replica and one idle entry.
/// Memory is the growth of this process while the state is built.
fn measure_fleet(workers: usize) -> Value {
    let resident_before = resident_kb();
    let started = Instant::now();
    let (state, record_count) = build_state(workers);
    let apply_time = started.elapsed();
    let snapshot_bytes = snapshot::encode(&state).len();
    let resident_after = resident_kb();
    let tick_time = mean_idle_tick(state);
    json!({
        "workers": workers,
        "snapshot_bytes": snapshot_bytes,
        "resident_kb_of_state": resident_after.saturating_sub(resident_before),
        "apply_microseconds_per_record": apply_time.as_secs_f64() * 1e6 / record_count as f64,
        "idle_tick_microseconds": tick_time.as_secs_f64() * 1e6,
    })
}

/// Builds the state of a fleet by applying one record per setting and per worker;
/// returns the state and the number of records.
fn build_state(workers: usize) -> (State, u64) {
    let mut state = State::default();
    let mut record_count = 0;
    let mut apply = |change: Change| {
        record_count += 1;
        let record = Record {
            op: Uuid::from_u128(record_count.into()),
            author: "slope".to_owned(),
            wall_ms: 1,
            change,
        };
        state.apply(&Payload::Records(vec![record]));
    };
    for team in 0..TEAMS {
        let path = format!("org/o{}/t{team}", team % 20);
        for (name, value) in [(setting::CAP, "400"), (setting::WEIGHT, "2"), (setting::POOLS, "p1,shared")] {
            apply(Change::Edit(Edit {
                path: path.clone(),
                name: name.to_owned(),
                value: Some(value.to_owned()),
                expected: None,
            }));
        }
    }
    for index in 0..workers {
        apply(Change::InstanceAdd {
            id: format!("w{index:05}").into(),
            zone: format!("z{}", index % ZONES).into(),
            rack: format!("r{}", index / 4).into(),
            pool: format!("p{}", index % POOLS).into(),
            addr: std::net::SocketAddr::from(([10, 0, 0, 1], 1)),
            slots: 8,
        });
    }
    (state, record_count)
}

/// Mean time of a tick, with a read of the log that returns nothing, of an entry
/// that is up to date and has no jobs.
fn mean_idle_tick(state: State) -> Duration {
    let settings = Settings::builder("e1", "z1", std::net::SocketAddr::from(([10, 0, 0, 2], 1))).build();
    let at = |tick: u32| Now {
        mono: Duration::from_millis(20) * tick,
        wall: Duration::from_secs(1_000) + Duration::from_millis(20) * tick,
    };
    let next_offset: Offset = state.next_offset();
    let mut entry = Entry::new(settings, Replica::new(state), at(1));
    let started = Instant::now();
    for tick in 2..IDLE_TICKS + 2 {
        entry.step(at(tick), Event::Tick);
        let read = LogRead {
            first: 0,
            tail: next_offset,
            from: next_offset,
            entries: Vec::new(),
        };
        entry.step(
            at(tick),
            Event::Read {
                sent: at(tick).mono,
                result: Ok(read),
            },
        );
    }
    started.elapsed() / IDLE_TICKS
}

/// Messages and processing time of one entry, with `per_zone` entries in each of
/// three zones under a light load.
fn measure_members(per_zone: usize) -> Value {
    let config = SimulationConfig {
        entries_per_zone: per_zone,
        ..SimulationConfig::small()
    };
    let mut load = Load::mixed(MESSAGE_DURATION);
    for team in &mut load.teams {
        team.jobs_per_second = team.jobs_per_second.min(5.0);
    }
    let mut simulation = Simulation::new(config, load, FaultSchedule::none(), 1);
    simulation.message_bytes = Some(0);
    let started = Instant::now();
    simulation.run_until(MESSAGE_DURATION);
    let entries = (3 * per_zone) as f64;
    let seconds = MESSAGE_DURATION.as_secs_f64();
    json!({
        "entries": 3 * per_zone,
        "frames_per_second_and_entry": simulation.message_count as f64 / entries / seconds,
        "bytes_per_second_and_entry": simulation.message_bytes.unwrap_or(0) as f64 / entries / seconds,
        "appends_per_second": simulation.append_count as f64 / seconds,
        "processor_percent_per_entry": 100.0 * started.elapsed().as_secs_f64() / entries / seconds,
    })
}

/// Resident memory of this process in KiB, as the kernel reports it; 0 if it cannot
/// be read.
fn resident_kb() -> u64 {
    const PAGE_KB: u64 = 4;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|it| it.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_KB
}
