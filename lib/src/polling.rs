//! What an owner does at each poll: it places tasks, commits, and sends the stop orders and status
//! requests that are due.

use std::time::Duration;

use crate::candidate::Candidates;
use crate::clock::Now;
use crate::id::InstanceId;
use crate::order::Action;
use crate::scheduler::Scheduler;
use crate::time_limits::STATUS_OVERDUE_AFTER;
use crate::worker::{RunPhase, Worker};

/// Longest time for which a worker delays its answer to a status request until a run ends.
const STATUS_WAIT: Duration = Duration::from_millis(1500);
/// The same while best-effort tasks are throttled on the worker: their speed follows the
/// measurements in its status.
const STATUS_WAIT_THROTTLED: Duration = Duration::from_millis(500);
/// Minimum time between two status requests to a worker while a commit is delayed.
const STATUS_INTERVAL_COMMIT_DELAYED: Duration = Duration::from_millis(500);
/// Time after which a stop order is repeated if the run has not ended.
const STOP_RETRY: Duration = Duration::from_millis(500);

impl Scheduler {
    /// Advances the state machine and returns the actions to carry out, in order. A
    /// fenced owner only returns actions that were decided before.
    pub fn poll(&mut self, now: Now) -> Vec<Action> {
        if self.fenced {
            return std::mem::take(&mut self.actions);
        }
        self.restart_inquiries(now);
        self.send_questions(now);
        self.expire_leases(now);
        // Placements take effect with the next commit, so making them earlier gains nothing. While
        // cancels may be unknown none would be started, so no task is moved away either.
        if self.can_commit(now) && !self.holds_starts(now) {
            self.candidates = Candidates::collect(now.mono, self.workers.values());
            self.evict(now);
            self.place_waiting_tasks(now);
        }
        self.send_stop_orders(now);
        self.fetch_statuses(now);
        self.clean_up(now);
        self.commit(now);
        self.drop_stale_starts();
        std::mem::take(&mut self.actions)
    }

    /// Requeues the tasks of workers that are silent or no longer listed and whose leases
    /// have ended.
    fn expire_leases(&mut self, now: Now) {
        let has_expired = |it: &Worker| it.leases_have_ended(now.mono) && (it.missed_answers != 0 || !it.is_listed) && !it.runs.is_empty();
        let expired: Vec<InstanceId> = self
            .workers
            .values()
            .filter(|it| has_expired(it))
            .map(|it| it.listed.id.clone())
            .collect();
        for id in expired {
            let worker = self.workers.get_mut(&id).expect("the id comes from the map");
            let lost = worker.clear();
            self.begin_contact(now, &id);
            self.requeue_lost_runs(&id, lost, "lease_over");
        }
    }

    /// Sends stop orders that are due to workers that answer.
    fn send_stop_orders(&mut self, now: Now) {
        for worker in self.workers.values_mut() {
            if !worker.is_observed || worker.missed_answers != 0 {
                continue;
            }
            for (key, run) in &mut worker.runs {
                let is_repeated = run.stop_sent_at.is_some();
                let due = run.stop_sent_at.is_none_or(|it| it + STOP_RETRY <= now.mono);
                if run.phase == RunPhase::Stopping && due {
                    run.stop_sent_at = Some(now.mono);
                    self.actions.push(Action::Stop {
                        worker: worker.listed.id.clone(),
                        contact: worker.contact,
                        key: key.clone(),
                        is_repeated,
                    });
                }
            }
        }
    }

    /// Requests the status of workers that may have runs, that list ended runs, that missed an
    /// answer, or that this owner has not observed yet. The request also renews the leases there.
    fn fetch_statuses(&mut self, now: Now) {
        let is_committing = self.in_flight_commit.is_some() || !self.remainder.is_empty();
        let commit_delayed = is_committing && self.remainder.since + STATUS_INTERVAL_COMMIT_DELAYED < now.mono;
        let may_renew = !self.ownership_left(now).is_zero();
        let longest_wait = self.limits.status_wait().min(STATUS_WAIT);
        for worker in self.workers.values_mut() {
            let may_have_runs = worker.runs.values().any(|it| it.phase != RunPhase::Intended);
            // Only an answer makes a worker take tasks again, and none without runs would be asked.
            let is_out_of_contact = worker.is_listed && (worker.missed_answers != 0 || worker.has_unreadable_rows);
            let is_due = !worker.is_observed || may_have_runs || is_out_of_contact || worker.last_end_recorded < worker.last_end_seen;
            if worker.status_requested || !is_due || now.mono < worker.next_status_request || worker.listed.addr.port() == 0 {
                continue;
            }
            // The worker would answer at once with the ended runs that are not recorded yet.
            let has_unrecorded_ends = worker.last_end_recorded < worker.last_end_seen;
            if has_unrecorded_ends && !commit_delayed && worker.missed_answers == 0 && worker.is_observed {
                continue;
            }
            let lease_until_ms = worker.clock_ms(now.mono).map(|it| it + self.limits.lease.as_millis() as u64);
            // Renewing for a worker that does not answer would put off the end of its leases
            // forever, and its tasks could never be placed elsewhere.
            let lease_until_ms =
                lease_until_ms.filter(|_| may_renew && may_have_runs && worker.missed_answers == 0 && worker.silence_recorded_at.is_none());
            if let Some(lease_until_ms) = lease_until_ms {
                worker.extend_leases(lease_until_ms);
            }
            worker.status_requested = true;
            if commit_delayed {
                worker.next_status_request = now.mono + STATUS_INTERVAL_COMMIT_DELAYED;
            }
            let is_throttled = worker.speed_percent < 100;
            let wait = match worker.is_observed && may_have_runs && !commit_delayed {
                true if is_throttled => STATUS_WAIT_THROTTLED.min(longest_wait),
                true => longest_wait,
                false => Duration::ZERO,
            };
            self.actions.push(Action::FetchStatus {
                worker: worker.listed.id.clone(),
                contact: worker.contact,
                // A new incarnation counts its ends anew, so these numbers are not those of its own.
                ack_cursor: if worker.is_observed { worker.last_end_recorded } else { 0 },
                lease_until_ms,
                wait,
                overdue_after: lease_until_ms.map(|_| wait + STATUS_OVERDUE_AFTER),
                withdrawal: worker.contact_guard.watch(),
            });
        }
    }

    /// When `poll` must be called again if no event arrives before.
    pub fn next_poll(&self, now: Now) -> Duration {
        let requests = self
            .workers
            .values()
            .filter(|it| !it.status_requested)
            .map(|it| it.next_status_request);
        let next = requests.filter(|it| now.mono < *it).min().unwrap_or(now.mono + STATUS_WAIT);
        // Tasks that arrived since the last commit are placed when the next one is due.
        let commit = match self.in_flight_commit.is_none() && now.mono < self.next_commit_at() {
            true => self.next_commit_at(),
            false => next,
        };
        let question = self.next_question_at().unwrap_or(next);
        next.min(commit)
            .min(question)
            .clamp(now.mono + Duration::from_millis(5), now.mono + Duration::from_millis(250))
    }
}
