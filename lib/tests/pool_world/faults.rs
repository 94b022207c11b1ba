//! Faults of the simulation.

use oriolewall::commit_size::CommitLimits;
use oriolewall::id::InstanceId;
use oriolewall::order::Action;
use oriolewall::scheduler::Scheduler;
use rand::RngExt;

use super::{Call, Faults, Message, PausedOwner, Simulation, WORKERS, time_limits};

/// Limit of a commit in [`Faults::SplitCommits`], bytes: a job's record has 130 to 250.
const SMALL_CALL_BYTES: usize = 300;

impl Faults {
    /// Limits of the log on commits.
    pub(super) fn commit_limits(self) -> CommitLimits {
        let mut limits = CommitLimits::default();
        if self == Faults::SplitCommits {
            limits.call_bytes = SMALL_CALL_BYTES;
        }
        limits
    }
}

impl Simulation {
    /// May replace the owner, silence a worker, or restart a worker as a new incarnation.
    pub(super) fn inject_faults(&mut self) {
        if self.fault_occurs(0.004) {
            // The log may take a commit in flight before the next owner sets its epoch.
            let mut is_confirmed = false;
            if let Some((_, records)) = self.commit_in_flight.take()
                && self.rng.random_bool(0.5)
            {
                is_confirmed = true;
                for (id, value) in records {
                    match value {
                        Some(value) => self.log.insert(id, value),
                        None => self.log.remove(&id),
                    };
                }
            }
            self.end_owner(is_confirmed);
            self.replace_owner();
            self.cut_workers();
        }
        let id = InstanceId::from(format!("w{}", self.rng.random_range(0..WORKERS)));
        if self.fault_occurs(0.002) {
            let until = self.now_ms + self.rng.random_range(200..9000);
            self.workers.get_mut(&id).unwrap().silent_until_ms = until;
        }
        if self.fault_occurs(0.001) {
            let (now_ms, wall_ms) = (self.now_ms, self.now().wall_ms());
            self.workers.get_mut(&id).unwrap().restart(now_ms, wall_ms + 2);
        }
        if self.extended_fault_occurs(0.003) {
            self.restart_with_clock_step(&id);
        }
    }

    /// Ends the owner. It may have been paused, and then goes on later. Orders that wait for a
    /// connection wait with it, or are not sent.
    fn end_owner(&mut self, is_confirmed: bool) {
        if self.extended_rng.is_none() {
            return;
        }
        let epoch = self.epoch;
        let (unsent, sent): (Vec<_>, Vec<_>) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|it| it.received_by.is_none() && it.message.epoch == epoch);
        self.messages = sent;
        if !self.extended_fault_occurs(0.6) {
            return;
        }
        let resumes_ms = self.now_ms + self.draw(100..12_000);
        let placeholder = Scheduler::new(time_limits(), self.now(), self.now().mono);
        let owner = std::mem::replace(&mut self.owner, placeholder);
        self.paused_owners.push(PausedOwner {
            owner,
            epoch,
            resumes_ms,
            is_confirmed,
            unsent: unsent.into_iter().map(|it| it.message).collect(),
        });
    }

    /// Lets paused owners go on: each sends what it had decided on, and what it decides on when
    /// it learns that its commit is in the log.
    pub(super) fn resume_owners(&mut self) {
        let now_ms = self.now_ms;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.paused_owners)
            .into_iter()
            .partition(|it| it.resumes_ms <= now_ms);
        self.paused_owners = later;
        for mut paused in due {
            let now = self.now().mono;
            let may_be_sent = |it: &Message| !matches!(&it.call, Call::Start(start) if start.send_by <= now);
            for message in paused.unsent.into_iter().filter(may_be_sent) {
                self.send(now_ms, None, message);
            }
            if paused.is_confirmed {
                paused.owner.commit_confirmed(self.now());
            }
            for action in paused.owner.poll(self.now()) {
                if let Action::Start(start) = action {
                    let message = Message {
                        epoch: paused.epoch,
                        contact: start.contact,
                        call: Call::Start(start),
                    };
                    self.send(now_ms, None, message);
                }
            }
        }
    }

    /// Cuts some workers off from the current owner and later ones.
    fn cut_workers(&mut self) {
        let ids: Vec<InstanceId> = self.workers.keys().cloned().collect();
        for id in ids {
            if self.extended_fault_occurs(0.3) {
                let until_ms = self.now_ms + self.draw(500..14_000);
                self.workers.get_mut(&id).unwrap().cut_from = Some((self.epoch, until_ms));
            }
        }
    }

    /// Restarts a worker while the time of day may be wrong. Its entry in the list may be
    /// outdated for a while.
    fn restart_with_clock_step(&mut self, id: &InstanceId) {
        let now_ms = self.now_ms;
        let wall_ms = self.now().wall_ms();
        let step_ms = [0, 2000, 4000][self.draw(0..3) as usize];
        let silent_until_ms = now_ms + self.draw(100..1500);
        let outdated_until_ms = now_ms + self.draw(0..3000);
        let worker = self.workers.get_mut(id).unwrap();
        let earlier_ms = worker.started_ms;
        let mut started_ms = wall_ms - step_ms;
        started_ms += u64::from(started_ms == earlier_ms);
        worker.restart(now_ms, started_ms);
        worker.silent_until_ms = worker.silent_until_ms.max(silent_until_ms);
        worker.outdated_entry = Some((earlier_ms, outdated_until_ms));
    }
}
