//! Appends to the partition.

use std::time::Duration;

use oriolewall::append_queue::Waiting;
use oriolewall::resend::PromptAnswers;
use rand::RngExt;

use super::{Append, DEADLINE, Event, HOP, PREVIOUS_LIMITS, Policy, REPLY_MARGIN, Status, Unit, World};
use crate::measure::acceptance::SLOW;

/// Processing of one append at the partition.
const APPEND: Duration = Duration::from_millis(3);
/// Time of an answer beyond the append itself, there and back, and the part of it that the log
/// takes.
const ROUND_TRIP: (Duration, Duration) = (Duration::from_millis(5), Duration::from_millis(1));
/// Appends that would wait longer than this are refused.
const MAX_LOG_QUEUE: Duration = Duration::from_secs(2);

impl World {
    /// Sends an append to the partition. Returns when the answer arrives; `None` if the log refuses.
    pub(super) fn append(&mut self) -> Option<Duration> {
        let factor = match SLOW.0 <= self.now && self.now < SLOW.1 {
            true => self.load.slowdown,
            false => 1.0,
        };
        self.sent_appends += 1;
        let start = self.partition_free.max(self.now);
        let is_refusing = self.load.refuses && SLOW.0 <= self.now && self.now < SLOW.0 + Duration::from_secs(1);
        if is_refusing || MAX_LOG_QUEUE < start - self.now {
            self.refused_appends += 1;
            return None;
        }
        self.partition_free = start + APPEND.mul_f64(factor);
        Some(self.partition_free + ROUND_TRIP.0 - ROUND_TRIP.1 + ROUND_TRIP.1.mul_f64(factor))
    }

    pub(super) fn send_append(&mut self, index: usize) {
        let state = &mut self.instances[index];
        let Some(batch) = state.direct.next_batch() else {
            return;
        };
        let pace = state.pace;
        let is_appender = self.accepts(index);
        let is_substitute = |it: &Waiting<Unit>| match it.unit {
            Unit::Request(request) => self.requests[request].is_substitute,
            Unit::Call(call) => self.calls[call].is_substitute,
        };
        let (batch, moved): (Vec<_>, Vec<_>) = batch.into_iter().partition(|it| is_appender || is_substitute(it));
        self.reply(moved, Status::Moved);
        let answer_at = self.now + pace.answer();
        let deadline_of = |it: &Waiting<Unit>| match it.unit {
            Unit::Request(request) => self.requests[request].arrived + DEADLINE,
            Unit::Call(call) => self.calls[call].deadline - REPLY_MARGIN,
        };
        let is_in_time = |it: &Waiting<Unit>| self.policy == Policy::Previous || answer_at <= deadline_of(it);
        let (batch, late): (Vec<_>, Vec<_>) = batch.into_iter().partition(is_in_time);
        self.reply(late, Status::Refused);
        if batch.is_empty() {
            self.instances[index].direct.finish();
            self.send_append(index);
            return;
        }
        let mut requests = Vec::new();
        for waiting in &batch {
            match waiting.unit {
                Unit::Request(request) => requests.push(request),
                Unit::Call(call) => requests.extend(&self.calls[call].requests),
            }
        }
        let append = self.appends.len();
        self.appends.push(Append {
            instance: index,
            sent: self.now,
            last_sent: self.now,
            batch,
            requests,
            attempts: 1,
        });
        self.instances[index].budget.record_call();
        match self.append() {
            Some(answer_at) => {
                self.store(append);
                self.schedule(answer_at, Event::Answered(append, self.now));
                let overdue_after = self.instances[index].answer_times.overdue_after();
                self.schedule(self.now + overdue_after, Event::Overdue(append, overdue_after));
                let limit = match self.policy {
                    Policy::Ranked => pace.append_limit(),
                    Policy::Previous => PREVIOUS_LIMITS.0,
                };
                self.schedule(self.now + limit, Event::GiveUp(append));
            }
            None => self.schedule(self.now + ROUND_TRIP.0, Event::Refused(append)),
        }
    }

    pub(super) fn store(&mut self, append: usize) {
        for request in &self.appends[append].requests {
            self.requests[*request].is_in_log = true;
        }
    }

    /// Sends an append again whose answer is overdue, if the policy and the budget allow it.
    pub(super) fn overdue(&mut self, index: usize, after: Duration) {
        let append = &self.appends[index];
        let (instance, is_open) = (append.instance, !append.batch.is_empty() && append.attempts < 4);
        // No other call of this model is answered.
        let is_lost = PromptAnswers::default().is_lost(self.now, append.last_sent, after);
        if !is_open {
            return;
        }
        if self.policy == Policy::Ranked && !is_lost {
            self.schedule(self.now + Duration::from_millis(40), Event::Overdue(index, after));
            return;
        }
        self.schedule(self.now + after * 2, Event::Overdue(index, after * 2));
        if self.instances[instance].budget.take() {
            self.appends[index].attempts += 1;
            self.appends[index].last_sent = self.now;
            if let Some(answer_at) = self.append() {
                self.schedule(answer_at, Event::Answered(index, self.now));
            }
        }
    }

    pub(super) fn answered(&mut self, index: usize, sent: Duration) {
        let batch = std::mem::take(&mut self.appends[index].batch);
        if batch.is_empty() {
            return;
        }
        let (instance, now) = (self.appends[index].instance, self.now);
        let state = &mut self.instances[instance];
        state.answer_times.record(now - sent);
        state.pace.record_append(now, now - self.appends[index].sent);
        state
            .router
            .record_append(now, now - self.appends[index].sent, self.appends[index].requests.len());
        self.end_append(instance, batch, Status::Stored);
    }

    pub(super) fn refused(&mut self, index: usize) {
        let batch = std::mem::take(&mut self.appends[index].batch);
        let instance = self.appends[index].instance;
        if self.policy == Policy::Previous {
            self.end_append(instance, batch, Status::Refused);
            return;
        }
        let random = self.random.random();
        let state = &mut self.instances[instance];
        state.pace.record_refusal(self.now);
        state.direct.put_back(batch);
        let pause = state.pace.refusal_pause(random);
        self.schedule(self.now + pause, Event::Release(instance));
    }

    /// Ends the append in flight of an instance.
    pub(super) fn end_append(&mut self, instance: usize, batch: Vec<Waiting<Unit>>, status: Status) {
        self.instances[instance].direct.finish();
        self.reply(batch, status);
        self.send_append(instance);
    }

    pub(super) fn reply(&mut self, batch: Vec<Waiting<Unit>>, status: Status) {
        for waiting in batch {
            match waiting.unit {
                Unit::Request(request) => self.end_attempt(request, status),
                Unit::Call(call) => self.schedule(self.now + HOP, Event::Replied(call, status)),
            }
        }
    }
}
