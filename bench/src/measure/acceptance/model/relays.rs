//! Calls to appenders.

use std::time::Duration;

use oriolewall::acceptance::{self, MAX_APPENDERS};
use oriolewall::append_queue::Waiting;
use oriolewall::rpc::AppendReport;

use super::{Call, DEADLINE, Event, HOP, PREVIOUS_LIMITS, Policy, REQUEST_BYTES, Status, World, address};

/// Time within which an appender that is alive reports its pace.
const PACE_TIMEOUT: Duration = Duration::from_millis(300);

impl World {
    /// Whether requests that arrive at an appender now would be stored too late.
    pub(super) fn is_too_late(&self, appender: usize, requests: usize, deadline: Duration) -> bool {
        let instance = &self.instances[appender];
        let appends = instance.direct.appends_waiting(REQUEST_BYTES * requests);
        self.policy == Policy::Ranked && deadline < self.now + instance.pace.wait(appends)
    }

    pub(super) fn accepts(&self, instance: usize) -> bool {
        let place = acceptance::place(&self.ranked, address(instance));
        let pace = &self.instances[instance].pace;
        self.policy == Policy::Previous || place.is_none_or(|it| pace.accepts(self.now, it))
    }

    pub(super) fn appenders(&self, instance: usize) -> usize {
        match self.policy {
            Policy::Ranked => self.instances[instance].pace.appenders(),
            Policy::Previous => MAX_APPENDERS,
        }
    }

    pub(super) fn send_calls(&mut self, index: usize) {
        loop {
            let state = &mut self.instances[index];
            let Some(batch) = state.relayed.next_batch() else {
                return;
            };
            let pace = state.pace;
            let stored_at = self.now + pace.relay_wait();
            let is_in_time =
                |it: &Waiting<usize>| self.policy == Policy::Previous || stored_at <= self.requests[it.unit].arrived + DEADLINE;
            let (batch, late): (Vec<_>, Vec<_>) = batch.into_iter().partition(is_in_time);
            late.into_iter().for_each(|it| self.end_attempt(it.unit, Status::Refused));
            let requests: Vec<usize> = batch.iter().map(|it| it.unit).collect();
            let Some(latest) = requests.iter().map(|it| self.requests[*it].arrived).max() else {
                self.instances[index].relayed.finish();
                continue;
            };
            let appenders = self.appenders(index);
            let avoided = &self.instances[index].avoided;
            let picked = avoided.pick(self.now, &self.ranked, appenders, address(index));
            let picked = picked.unwrap_or(self.ranked[0]);
            let call = self.calls.len();
            self.calls.push(Call {
                origin: index,
                appender: (0..self.load.instances).find(|it| address(*it) == picked).expect("it was ranked"),
                is_substitute: acceptance::place(&self.ranked, picked).is_some_and(|it| appenders <= it),
                deadline: latest + DEADLINE,
                batch,
                requests,
            });
            self.schedule(self.now + HOP, Event::Call(call));
            match self.policy {
                Policy::Ranked => self.schedule(self.now + pace.check_after(), Event::Check(call, pace.check_after())),
                Policy::Previous => self.schedule(self.now + PREVIOUS_LIMITS.1, Event::CheckFailed(call)),
            }
        }
    }

    /// Asks the appender of an open call whether it is alive.
    pub(super) fn check(&mut self, call: usize, after: Duration) {
        if self.calls[call].batch.is_empty() {
            return;
        }
        if self.paused_until(self.calls[call].appender).is_some() {
            self.schedule(self.now + PACE_TIMEOUT, Event::CheckFailed(call));
            return;
        }
        self.adopt_report(call);
        self.schedule(self.now + after, Event::Check(call, after));
    }

    pub(super) fn adopt_report(&mut self, call: usize) {
        let appender = &self.instances[self.calls[call].appender];
        let appends = appender.direct.in_flight() + appender.direct.appends_waiting(0);
        let report = AppendReport {
            answer_ms: appender.pace.answer().as_millis() as u64,
            drain_ms: appender.pace.wait(appends).as_millis() as u64,
            appenders: appender.pace.appenders() as u8,
        };
        let rate = appender.router.rate(self.now);
        let origin = &mut self.instances[self.calls[call].origin];
        origin.pace.record_report(self.now, &report);
        origin.router.record_rate(self.now, rate);
    }

    pub(super) fn replied(&mut self, call: usize, status: Status) {
        let batch = std::mem::take(&mut self.calls[call].batch);
        if batch.is_empty() {
            return;
        }
        let (origin, appender) = (self.calls[call].origin, self.calls[call].appender);
        let is_failure = match self.policy {
            Policy::Ranked => status == Status::Unknown,
            Policy::Previous => status != Status::Stored,
        };
        match is_failure {
            true => self.instances[origin].avoided.record_failure(self.now, address(appender)),
            false => {
                self.instances[origin].avoided.record_answer(address(appender));
                self.adopt_report(call);
            }
        }
        self.instances[origin].relayed.finish();
        batch.into_iter().for_each(|it| self.end_attempt(it.unit, status));
        self.send_calls(origin);
    }
}
