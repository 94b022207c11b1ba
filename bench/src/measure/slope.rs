//! Slopes for the capacity page: state, memory, processor time and messages
//! at several sizes of fleet and membership.

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

const FLEETS: [usize; 3] = [1_000, 4_000, 18_000];
const MEMBERS: [usize; 3] = [2, 4, 8];
const TEAMS: usize = 80;
const ZONES: usize = 21;
const POOLS: usize = 40;
const TICKS: u32 = 500;
const GOSSIP_TIME: Duration = Duration::from_secs(12);

/// Measures all sizes.
pub fn run() -> Value {
    json!({
        "fleet": FLEETS.map(fleet).to_vec(),
        "members": MEMBERS.map(members).to_vec(),
    })
}

/// State, memory and processor time of one replica and one idle entry.
fn fleet(workers: usize) -> Value {
    let before = resident_kb();
    let began = Instant::now();
    let (state, records) = build(workers);
    let apply = began.elapsed();
    let bytes = snapshot::encode(&state).len();
    let after = resident_kb();
    let tick = idle_tick(state);
    json!({
        "workers": workers,
        "snapshot_bytes": bytes,
        "resident_kb_of_state": after.saturating_sub(before),
        "apply_microseconds_per_record": apply.as_secs_f64() * 1e6 / records as f64,
        "idle_tick_microseconds": tick.as_secs_f64() * 1e6,
    })
}

fn build(workers: usize) -> (State, u64) {
    let mut state = State::default();
    let mut ops = 0;
    let mut apply = |change: Change| {
        ops += 1;
        let record = Record {
            op: Uuid::from_u128(ops.into()),
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
    (state, ops)
}

/// Mean time of a tick of an entry that knows the state and has nothing to do.
fn idle_tick(state: State) -> Duration {
    let settings = Settings::builder("e1", "z1", std::net::SocketAddr::from(([10, 0, 0, 2], 1))).build();
    let at = |tick: u32| Now {
        mono: Duration::from_millis(20) * tick,
        wall: Duration::from_secs(1_000) + Duration::from_millis(20) * tick,
    };
    let next: Offset = state.next_offset();
    let mut entry = Entry::new(settings, Replica::new(state), at(1));
    let began = Instant::now();
    for tick in 2..TICKS + 2 {
        entry.step(at(tick), Event::Tick);
        let read = LogRead {
            first: 0,
            tail: next,
            from: next,
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
    began.elapsed() / TICKS
}

/// Messages of one entry among several of each of three zones.
fn members(per_zone: usize) -> Value {
    let shape = SimulationConfig {
        entries_per_zone: per_zone,
        ..SimulationConfig::small()
    };
    let mut load = Load::mixed(GOSSIP_TIME);
    for team in &mut load.teams {
        team.jobs_per_second = team.jobs_per_second.min(5.0);
    }
    let mut world = Simulation::new(shape, load, FaultSchedule::none(), 1);
    world.message_bytes = Some(0);
    let began = Instant::now();
    world.run_until(GOSSIP_TIME);
    let entries = (3 * per_zone) as f64;
    let seconds = GOSSIP_TIME.as_secs_f64();
    json!({
        "entries": 3 * per_zone,
        "frames_per_second_and_entry": world.message_count as f64 / entries / seconds,
        "bytes_per_second_and_entry": world.message_bytes.unwrap_or(0) as f64 / entries / seconds,
        "appends_per_second": world.append_count as f64 / seconds,
        "processor_percent_per_entry": 100.0 * began.elapsed().as_secs_f64() / entries / seconds,
    })
}

/// Resident memory of this process, from the kernel's accounting.
fn resident_kb() -> u64 {
    const PAGE_KB: u64 = 4;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|it| it.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_KB
}
