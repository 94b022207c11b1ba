//! Operators in virtual time: they tell entries directly, then append until
//! the log takes the record, with the same operation id.

use std::time::Duration;

use bytes::Bytes;
use oriolewall::entry::Event;
use oriolewall::fleet::Purpose;
use oriolewall::id::OpId;
use oriolewall::key;
use oriolewall::platform::Error;
use oriolewall::record::{Change, Payload, Record};
use oriolewall::setting;
use oriolewall::state::{State, zone_path};
use oriolewall::tree::Edit;
use oriolewall::wire::Hold;
use rand::RngExt;
use rand::rngs::StdRng;

use super::{Due, Simulation, SimulationConfig, zone_name};
use crate::check::fault::Fault;
use crate::check::load::Load;
use crate::history::EventKind;

/// Pause before an operator appends again.
const PAUSE: Duration = Duration::from_millis(400);
/// Keys of each team.
const KEYS: usize = 2;

/// What an operator does next.
pub(super) enum Step {
    /// Appends a record until its fate is known.
    Append { op: OpId, entry: Bytes },
    /// Begins another operation.
    Propose(Change),
}

/// Names that operators chose.
#[derive(Debug, Default)]
pub struct Operators {
    teams: Vec<String>,
}

impl Operators {
    /// Writes the tree before anything runs.
    pub(super) fn set_up(&mut self, changes: &mut Vec<Change>, load: &Load, shape: &SimulationConfig) {
        changes.push(set("", setting::BUDGET, &shape.disruption_budget));
        changes.push(set("org/utility/soak", setting::OVER_CAP, "checkpoint"));
        for team in &load.teams {
            self.teams.push(team.path.clone());
            changes.push(set(&team.path, setting::CAP, &team.cap.to_string()));
            changes.push(set(&team.path, setting::WEIGHT, &team.weight.to_string()));
            changes.push(set(&team.path, setting::POOLS, &team.pools));
            for index in 0..KEYS {
                let id = key_id(&team.path, index);
                changes.push(Change::KeyGrant {
                    id: id.as_str().into(),
                    team: team.path.as_str().into(),
                    hash: key::hash_secret(&id),
                });
            }
        }
    }

    /// One of a team's keys; callers do not know which have been withdrawn.
    pub(super) fn pick_key(&self, team: usize, rng: &mut StdRng) -> String {
        key_id(&self.teams[team], rng.random_range(0..KEYS))
    }
}

fn key_id(team: &str, index: usize) -> String {
    format!("{}-{index}", team.replace('/', "-"))
}

fn set(path: &str, name: &str, value: &str) -> Change {
    Change::Edit(Edit {
        path: path.to_owned(),
        name: name.to_owned(),
        value: Some(value.to_owned()),
        expected: None,
    })
}

/// What an accepted change makes true, for the checkers.
pub(super) fn facts(change: &Change, state: &State) -> Vec<EventKind> {
    match change {
        Change::Edit(edit) if edit.name == setting::CAP => vec![EventKind::Cap {
            team: edit.path.clone(),
            slots: state.cap(&edit.path),
        }],
        Change::Edit(edit) if edit.name == setting::STATE => {
            let zone = edit.path.trim_start_matches("site/").to_owned();
            vec![EventKind::Zone {
                zone,
                open: edit.value.as_deref() != Some("out"),
            }]
        }
        Change::KeyWithdraw { id } => vec![EventKind::Withdraw { key: id.to_string() }],
        Change::Permit { id, .. } => vec![EventKind::Depart { worker: id.to_string() }],
        Change::Release { id } | Change::Abandon { id } => vec![EventKind::Return { worker: id.to_string() }],
        _ => Vec::new(),
    }
}

impl Simulation {
    pub(super) fn begin_operation(&mut self, fault: &Fault) {
        match fault {
            Fault::ZoneOut { zone, time } => {
                let name = zone_name(*zone);
                self.hold(&Hold::Zone(name.as_str().into()));
                self.propose(set(&zone_path(&name), setting::STATE, "out"));
                let back = set(&zone_path(&name), setting::STATE, "in");
                self.push(self.now + *time, Due::Operator(Step::Propose(back)));
            }
            Fault::Restrict { zone } => self.hold(&Hold::Zone(zone_name(*zone).as_str().into())),
            Fault::Withdraw { team } => {
                let id = key_id(&self.load.teams[*team].path, 0);
                self.hold(&Hold::Key(id.as_str().into()));
                self.propose(Change::KeyWithdraw { id: id.as_str().into() });
            }
            Fault::Cap { team, slots } => {
                let path = self.load.teams[*team].path.clone();
                self.propose(set(&path, setting::CAP, &slots.to_string()));
            }
            Fault::Drain { worker } => self.ask_permit(*worker, Purpose::Maintain),
            Fault::Move { worker } => {
                for pool in ["cells", "index"] {
                    self.ask_permit(*worker, Purpose::Move { to: pool.into() });
                }
            }
            _ => {}
        }
    }

    fn ask_permit(&mut self, worker: usize, purpose: Purpose) {
        let id = self.worker_names[worker].clone();
        let epoch = self.committed_state.fleet.get(&id).map_or(0, |it| it.epoch);
        self.propose(Change::Permit { id, epoch, purpose });
    }

    /// Tells every entry that runs; those that stand still hear it later.
    fn hold(&mut self, hold: &Hold) {
        const ONE_WAY: Duration = Duration::from_millis(3);
        for index in 0..self.slots.len() {
            let generation = self.slots[index].generation;
            self.push(self.now + ONE_WAY, Due::Entry(index, generation, Event::Hold(hold.clone())));
        }
    }

    fn propose(&mut self, change: Change) {
        let wall_ms = self.true_wall_ms();
        let op = self.random_uuid(wall_ms);
        let record = Record {
            op,
            author: "operator".to_owned(),
            wall_ms,
            change,
        };
        let entry = Payload::Records(vec![record]).encode();
        self.push(self.now, Due::Operator(Step::Append { op, entry }));
    }

    pub(super) fn operator_step(&mut self, step: Step) {
        match step {
            Step::Propose(change) => self.propose(change),
            Step::Append { op, entry } => {
                let result = self.append(entry.clone());
                // A lost answer is repeated, though the record took effect.
                if matches!(result, Err(Error::Lost | Error::Unavailable)) {
                    self.push(self.now + PAUSE, Due::Operator(Step::Append { op, entry }));
                }
            }
        }
    }
}
