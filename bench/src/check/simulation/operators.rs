//! Simulated operators.
//!
//! To take a zone out of service or withdraw a key, an operator sends a hold to all
//! entry instances and appends the record to the log; other changes are only
//! appended. An append that the log does not confirm is repeated with the same
//! operation id, so that the record takes effect at most once.

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

use super::{SimEvent, Simulation, SimulationConfig, zone_name};
use crate::check::fault::Fault;
use crate::check::load::Load;
use crate::history::EventKind;

/// Time after which an operator repeats an append.
const RETRY_INTERVAL: Duration = Duration::from_millis(400);
/// Number of keys of each team.
const KEYS_PER_TEAM: usize = 2;

/// Action of an operator at a scheduled time.
pub(super) enum OperatorAction {
    /// Appends an encoded record, and repeats the append until the log confirms it.
    AppendRecord { op: OpId, entry: Bytes },
    /// Appends a change as a new record.
    AppendChange(Change),
}

/// Teams that the operators have set up; their keys derive from the paths.
#[derive(Debug, Default)]
pub struct Operators {
    /// Paths of the teams, at the same indices as in [`Load::teams`].
    teams: Vec<String>,
}

impl Operators {
    /// Adds the settings and keys with which a simulation starts to `changes`.
    pub(super) fn add_initial_changes(&mut self, changes: &mut Vec<Change>, load: &Load, config: &SimulationConfig) {
        changes.push(setting_change("", setting::BUDGET, &config.disruption_budget));
        changes.push(setting_change("org/utility/soak", setting::OVER_CAP, "checkpoint"));
        for team in &load.teams {
            self.teams.push(team.path.clone());
            changes.push(setting_change(&team.path, setting::CAP, &team.cap.to_string()));
            changes.push(setting_change(&team.path, setting::WEIGHT, &team.weight.to_string()));
            changes.push(setting_change(&team.path, setting::POOLS, &team.pools));
            for index in 0..KEYS_PER_TEAM {
                let id = key_id(&team.path, index);
                changes.push(Change::KeyGrant {
                    id: id.as_str().into(),
                    team: team.path.as_str().into(),
                    hash: key::hash_secret(&id),
                });
            }
        }
    }

    /// Id of a random key of a team. It may have been withdrawn, since callers do not
    /// know which keys have been.
    pub(super) fn random_key(&self, team: usize, rng: &mut StdRng) -> String {
        key_id(&self.teams[team], rng.random_range(0..KEYS_PER_TEAM))
    }
}

/// Id of a key of a team; the secret of the key is the same.
fn key_id(team: &str, index: usize) -> String {
    format!("{}-{index}", team.replace('/', "-"))
}

/// Change that sets a setting at a node, whatever its value was.
fn setting_change(path: &str, name: &str, value: &str) -> Change {
    Change::Edit(Edit {
        path: path.to_owned(),
        name: name.to_owned(),
        value: Some(value.to_owned()),
        expected: None,
    })
}

/// History events of an accepted change, given the state that results from it.
pub(super) fn events_of_change(change: &Change, state: &State) -> Vec<EventKind> {
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
    /// Begins the action of an operator; other faults are ignored.
    pub(super) fn begin_operator_action(&mut self, fault: &Fault) {
        match fault {
            Fault::ZoneOut { zone, time } => {
                let name = zone_name(*zone);
                self.send_hold(&Hold::Zone(name.as_str().into()));
                self.append_change(setting_change(&zone_path(&name), setting::STATE, "out"));
                let back = setting_change(&zone_path(&name), setting::STATE, "in");
                self.schedule(self.now + *time, SimEvent::Operator(OperatorAction::AppendChange(back)));
            }
            Fault::Restrict { zone } => self.send_hold(&Hold::Zone(zone_name(*zone).as_str().into())),
            Fault::Withdraw { team } => {
                let id = key_id(&self.load.teams[*team].path, 0);
                self.send_hold(&Hold::Key(id.as_str().into()));
                self.append_change(Change::KeyWithdraw { id: id.as_str().into() });
            }
            Fault::Cap { team, slots } => {
                let path = self.load.teams[*team].path.clone();
                self.append_change(setting_change(&path, setting::CAP, &slots.to_string()));
            }
            Fault::Drain { worker } => self.request_permit(*worker, Purpose::Maintain),
            Fault::Move { worker } => {
                for pool in ["cells", "index"] {
                    self.request_permit(*worker, Purpose::Move { to: pool.into() });
                }
            }
            _ => {}
        }
    }

    /// Appends a request for a permit, with the epoch that the instance has in the log.
    fn request_permit(&mut self, worker: usize, purpose: Purpose) {
        let id = self.worker_ids[worker].clone();
        let epoch = self.committed_state.fleet.get(&id).map_or(0, |it| it.epoch);
        self.append_change(Change::Permit { id, epoch, purpose });
    }

    /// Sends a hold to every entry instance that runs; paused ones receive it when they resume.
    fn send_hold(&mut self, hold: &Hold) {
        const ONE_WAY_DELAY: Duration = Duration::from_millis(3);
        for index in 0..self.entry_processes.len() {
            let incarnation = self.entry_processes[index].incarnation;
            self.schedule(
                self.now + ONE_WAY_DELAY,
                SimEvent::EntryInput(index, incarnation, Event::Hold(hold.clone())),
            );
        }
    }

    /// Appends a change as a record with a new operation id.
    fn append_change(&mut self, change: Change) {
        let wall_ms = self.true_wall_ms();
        let op = self.random_uuid(wall_ms);
        let record = Record {
            op,
            author: "operator".to_owned(),
            wall_ms,
            change,
        };
        let entry = Payload::Records(vec![record]).encode();
        self.schedule(self.now, SimEvent::Operator(OperatorAction::AppendRecord { op, entry }));
    }

    pub(super) fn run_operator_action(&mut self, action: OperatorAction) {
        match action {
            OperatorAction::AppendChange(change) => self.append_change(change),
            OperatorAction::AppendRecord { op, entry } => {
                let result = self.append(entry.clone());
                // If the response was lost, the record may have taken effect; the repeated one
                // then has no effect.
                if matches!(result, Err(Error::Lost | Error::Unavailable)) {
                    self.schedule(
                        self.now + RETRY_INTERVAL,
                        SimEvent::Operator(OperatorAction::AppendRecord { op, entry }),
                    );
                }
            }
        }
    }
}
