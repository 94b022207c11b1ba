//! The simulated log: requests of processes on their way to it, and its answers.

use std::time::Duration;

use bytes::Bytes;
use oriolewall::entry::Event;
use oriolewall::id::Offset;
use oriolewall::log_sync::LogRequest;
use oriolewall::maintain;
use oriolewall::platform::{Error, LogRead};
use oriolewall::record::{Change, Payload, Record};
use rand::RngExt;

use super::{Client, SimEvent, Simulation, operators};
use crate::check::fault::Location;
use crate::history::EventKind;
use crate::standin::log::Mode;

/// Time after which a request to the log or the instance list without a response is lost.
pub(super) const LOG_TIMEOUT: Duration = Duration::from_secs(8);

impl Simulation {
    /// Sends a request to the log. A cut link loses it, a slow log delays it.
    pub(super) fn send_log_request(&mut self, client: Client, request: LogRequest) {
        let location = self.location(&client);
        let sent = Duration::from_secs(1_000) + self.now;
        if self.is_cut(location, Location::Platform) {
            self.fail_log_request(client, request, sent);
            return;
        }
        let mut at = self.now + self.latency(location, Location::Platform);
        if let Mode::Slow { ms } = self.log.mode {
            at += Duration::from_millis(ms);
        }
        match request {
            LogRequest::Read { from, wait } => self.schedule(
                at,
                SimEvent::LogRead {
                    client,
                    from,
                    wait_until: at + wait,
                    sent,
                },
            ),
            LogRequest::Append(entry) => self.schedule(at, SimEvent::LogAppend { client, entry }),
        }
    }

    pub(super) fn fail_log_request(&mut self, client: Client, request: LogRequest, sent: Duration) {
        let at = self.now + LOG_TIMEOUT;
        match request {
            LogRequest::Read { .. } => self.deliver_read(at, client, sent, Err(Error::Lost)),
            LogRequest::Append(_) => self.deliver_append(at, client, Err(Error::Lost)),
        }
    }

    pub(super) fn deliver_read(&mut self, at: Duration, client: Client, sent: Duration, result: Result<LogRead, Error>) {
        match client {
            Client::Entry(index, incarnation) => self.schedule(at, SimEvent::EntryInput(index, incarnation, Event::Read { sent, result })),
            Client::Maintenance(index) => self.schedule(at, SimEvent::MaintainerInput(index, maintain::Event::Read { sent, result })),
        }
    }

    pub(super) fn deliver_append(&mut self, at: Duration, client: Client, result: Result<Offset, Error>) {
        match client {
            Client::Entry(index, incarnation) => self.schedule(at, SimEvent::EntryInput(index, incarnation, Event::Appended(result))),
            Client::Maintenance(index) => self.schedule(at, SimEvent::MaintainerInput(index, maintain::Event::Appended(result))),
        }
    }

    pub(super) fn handle_log_read(&mut self, client: Client, from: Offset, wait_until: Duration, sent: Duration) {
        const POLL_INTERVAL: Duration = Duration::from_millis(4);
        if self.log.tail() <= from && self.now < wait_until && self.log.mode != Mode::Down {
            let retry = SimEvent::LogRead {
                client,
                from,
                wait_until,
                sent,
            };
            self.schedule(self.now + POLL_INTERVAL, retry);
            return;
        }
        let result = self.log.read(from);
        let location = self.location(&client);
        let lost = self.is_cut(Location::Platform, location);
        let at = self.now
            + if lost {
                LOG_TIMEOUT
            } else {
                self.latency(Location::Platform, location)
            };
        self.deliver_read(at, client, sent, if lost { Err(Error::Lost) } else { result });
    }

    pub(super) fn handle_log_append(&mut self, client: Client, entry: Bytes) {
        let result = self.append(entry);
        let location = self.location(&client);
        let lost = self.is_cut(Location::Platform, location) || result == Err(Error::Lost);
        let at = self.now
            + if lost {
                LOG_TIMEOUT
            } else {
                self.latency(Location::Platform, location)
            };
        self.deliver_append(at, client, if lost { Err(Error::Lost) } else { result });
    }

    /// Appends an entry to the log. If it was stored, also when the response is lost,
    /// applies it to the committed state and records the changes in the history.
    pub(super) fn append(&mut self, entry: Bytes) -> Result<Offset, Error> {
        let offset = self.log.tail();
        let result = self.log.append(self.now, entry.clone());
        if self.log.tail() == offset {
            return result;
        }
        self.append_count += 1;
        if let Ok(payload) = Payload::decode(&entry) {
            self.committed_state.apply(&payload);
            self.record_payload(offset, &payload);
        }
        result
    }

    /// Records in the history what the accepted records of a log entry changed.
    pub(super) fn record_payload(&mut self, offset: Offset, payload: &Payload) {
        let at_ms = self.now_ms();
        self.history.record(at_ms, EventKind::Accepted { offset });
        let Payload::Records(records) = payload else {
            return;
        };
        let accepted = |it: &&Record| self.committed_state.outcome(&it.op) == Some(&oriolewall::state::RecordOutcome::Accepted(offset));
        let records: Vec<&Record> = records.iter().filter(accepted).collect();
        let changes_fleet = records.iter().any(|it| is_fleet_change(&it.change));
        let granted = records.iter().any(|it| matches!(it.change, Change::Permit { .. }));
        if changes_fleet {
            crate::history::record_fleet(&self.history, at_ms, &self.committed_state, granted);
        }
        for record in records {
            for kind in operators::events_of_change(&record.change, &self.committed_state) {
                self.history.record(at_ms, kind);
            }
        }
    }

    /// Appends a change of the set-up, dated an hour before the start.
    pub(super) fn append_initial_change(&mut self, change: Change) {
        let mut bytes = [0u8; 10];
        self.rng.fill(&mut bytes);
        let wall_ms = self.true_wall_ms() - 3_600_000;
        let op = uuid::Builder::from_unix_timestamp_millis(wall_ms, &bytes).into_uuid();
        let record = Record {
            op,
            author: "operator".to_owned(),
            wall_ms,
            change,
        };
        let entry = Payload::Records(vec![record]).encode();
        // The rate limit of the log does not apply to the set-up.
        self.log.reset_rate_limit();
        let _ = self.append(entry);
    }
}

/// Whether a change may affect the pool, health or permit of an instance.
fn is_fleet_change(change: &Change) -> bool {
    matches!(
        change,
        Change::InstanceAdd { .. }
            | Change::InstanceRemove { .. }
            | Change::Observe { .. }
            | Change::Permit { .. }
            | Change::Advance { .. }
            | Change::Release { .. }
            | Change::Abandon { .. }
    )
}
