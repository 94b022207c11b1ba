//! Starts tasks on workers of the entry's own availability zone.
//!
//! A start is sent only while this entry's view of the log is recent enough, and it
//! carries a time after which the worker refuses it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::clock::Now;
use crate::entry::{CallId, CallPurpose, Entry, Lifecycle, LocalJob, Phase, RunningTask, SchedulingPolicy};
use crate::event::Kind;
use crate::fleet::{Health, Instance};
use crate::id::{InstanceId, JobId, TeamId};
use crate::job::{Class, Repeat};
use crate::platform::{Error, Presence, StartRefusal, TaskAttempt, TaskStart, WorkerRequest, WorkerResponse};
use crate::setting;
use crate::share::{self, WeightedUsage};
use crate::wire::Hold;

/// Time for which a worker that was full gets no starts.
const FULL_WORKER_DELAY: Duration = Duration::from_millis(100);
/// Backoff after the first failed call to a worker; doubles with each failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);
/// Longest backoff for a worker, also used for one that is leaving.
const MAX_BACKOFF: Duration = Duration::from_secs(10);
/// Time for which reads must have failed before the log is treated as down.
const OUTAGE_THRESHOLD: Duration = Duration::from_millis(1_000);

impl Entry {
    /// Monotonic instant up to which this entry knows every accepted record, and
    /// with it every decision of operators; `None` if that is too long ago to start
    /// jobs.
    pub(crate) fn usable_view_time(&self, now: Now) -> Option<Duration> {
        let view_time = self.log.replica().current_as_of().max(self.agreed_outage_time(now));
        view_time.filter(|it| now.mono < *it + self.settings.max_view_age)
    }

    /// Instant up to which no record can be missing because the log is down for all
    /// zones: while nobody can read the log, no new record is accepted.
    ///
    /// A member of every other zone must have answered a `Pull` that the log is down
    /// for it and that its replica is not ahead of this one. The result is when the
    /// zone with the oldest such answer was asked. The time of the request counts, not
    /// that of the answer, because an answer may have been buffered while this process
    /// was paused.
    fn agreed_outage_time(&self, now: Now) -> Option<Duration> {
        let state = self.log.state();
        let failing = self.log.failing_since(now.mono)?;
        if now.mono < failing + OUTAGE_THRESHOLD || state.tree.get("", setting::LOG_OUTAGE) != "continue" {
            return None;
        }
        // A replica that has never been up to date may lack records from before the outage.
        self.log.replica().current_as_of()?;
        let mut zones: BTreeMap<&str, Duration> = BTreeMap::new();
        for (id, member) in state.roster.active().filter(|(id, _)| **id != self.settings.id) {
            let Some(asked) = self.peers.get(id).and_then(|it| it.outage_agreed_at) else {
                continue;
            };
            let latest = zones.entry(&member.zone).or_default();
            *latest = asked.max(*latest);
        }
        let others = state
            .roster
            .active()
            .map(|(_, it)| &*it.zone)
            .filter(|it| *it != &*self.settings.zone);
        let others: BTreeSet<&str> = others.collect();
        let oldest = others.into_iter().map(|it| zones.get(it).copied());
        oldest.collect::<Option<Vec<_>>>()?.into_iter().min().or(Some(now.mono))
    }

    /// Whether this entry can start jobs in its own zone now.
    pub(crate) fn can_start_jobs(&self, now: Now) -> bool {
        let zone = &self.settings.zone;
        let state = self.log.state();
        self.lifecycle == Lifecycle::Active
            && self.usable_view_time(now).is_some()
            && !self.holds.contains_key(&Hold::Zone(zone.clone()))
            && state.tree.get(&crate::state::zone_path(zone), setting::STATE) == "in"
    }

    /// Starts queued jobs, urgent ones first, until no team has a job that can start.
    pub(crate) fn dispatch(&mut self, now: Now) {
        if !self.can_start_jobs(now) {
            return;
        }
        for class in [Class::Urgent, Class::Normal] {
            let mut skip = BTreeSet::new();
            while let Some(team) = self.next_team(now, class, &skip) {
                if !self.start_next(now, &team, class) {
                    skip.insert(team);
                }
            }
        }
    }

    /// The team whose job of this class starts next, among those with spare slots.
    fn next_team(&self, now: Now, class: Class, skip: &BTreeSet<TeamId>) -> Option<TeamId> {
        let can_start = |team: &&TeamId| !skip.contains(*team) && 0 < self.spare_slots(team);
        let teams = self.queues.teams_with(class).filter(can_start);
        match self.settings.policy.scheduling {
            SchedulingPolicy::FairShare => {
                let usages = teams.map(|team| (team, self.weighted_usage(now, team)));
                share::most_underserved(usages).cloned()
            }
            SchedulingPolicy::FirstCome => {
                let accepted_at = |team: &&TeamId| self.queues.front(team, class).and_then(|it| Some(self.jobs.get(&it)?.accepted_at));
                teams.min_by_key(accepted_at).cloned()
            }
        }
    }

    /// Fleet-wide usage of a team: its tasks here and those that peers report.
    fn weighted_usage(&self, now: Now, team: &TeamId) -> WeightedUsage {
        const MAX_GOSSIP_AGE: Duration = Duration::from_secs(2);
        let recent = self.peers.values().filter(|it| now.mono < it.last_heard_at + MAX_GOSSIP_AGE);
        let elsewhere: u64 = recent
            .filter_map(|it| it.gossip.teams.get(team))
            .map(|it| u64::from(it.running))
            .sum();
        let weight = self.log.state().tree.get_number(team, setting::WEIGHT).max(1);
        WeightedUsage {
            used: elsewhere + self.in_use(team),
            weight,
        }
    }

    /// Starts or refuses the team's next job; false if it has to stay queued.
    fn start_next(&mut self, now: Now, team: &TeamId, class: Class) -> bool {
        let Some(id) = self.queues.front(team, class) else {
            return false;
        };
        let Some(local) = self.jobs.get(&id) else {
            self.queues.pop(team, class);
            return true;
        };
        if self.holds.contains_key(&Hold::Key(local.job.key.clone())) {
            return false;
        }
        // The key may have been withdrawn since another entry accepted the job.
        if let Err(crate::key::Error::Withdrawn { offset, .. }) = self.log.state().keys.ensure_not_withdrawn(&local.job.key) {
            self.refuse(now, id, crate::job::NotRunReason::KeyWithdrawn { offset });
            return true;
        }
        // A task that cannot end before its deadline would only occupy a slot.
        let left = Duration::from_millis(local.job.deadline_ms.saturating_sub(now.wall_ms()));
        if !self.run_times.can_finish_within(team, left) {
            self.refuse(now, id, crate::job::NotRunReason::Deadline);
            return true;
        }
        let Some((instance, why)) = self.choose_worker(now, local) else {
            return false;
        };
        self.queues.pop(team, class);
        self.start(now, id, instance, why);
        true
    }

    /// Chooses the worker with the most free slots in the first of the team's pools
    /// that has any. Returns its instance and an explanation for the event.
    fn choose_worker(&self, now: Now, local: &LocalJob) -> Option<(InstanceId, String)> {
        let state = self.log.state();
        let pools = state.tree.get(&local.job.team, setting::POOLS);
        for pool in pools.split(',') {
            if !state.accepts_work(&self.settings.zone, pool) {
                continue;
            }
            let path = crate::state::zone_pool_path(&self.settings.zone, pool);
            let reserve = match local.job.class {
                Class::Urgent => 0,
                Class::Normal => state.tree.get_number(&path, setting::URGENT_RESERVE) as u32,
            };
            let candidates = state.fleet.in_zone_pool(&self.settings.zone, pool);
            let candidates = candidates.filter(|(id, it)| self.is_eligible(now, id, it, local));
            let by_free_slots = candidates.map(|(id, it)| (self.free_slots(id, it).saturating_sub(reserve), id));
            let best = by_free_slots
                .filter(|(free, _)| 0 < *free)
                .max_by_key(|(free, id)| (*free, self.tie_breaker(id)));
            if let Some((free, id)) = best {
                return Some((id.clone(), format!("pool {pool} of {pools}, {free} slots free")));
            }
        }
        None
    }

    /// Whether the job may be started on the worker, apart from free slots. Workers and
    /// racks on which it has failed are excluded.
    pub(crate) fn is_eligible(&self, now: Now, id: &InstanceId, instance: &Instance, local: &LocalJob) -> bool {
        let listed = self.presence.as_ref().map(|it| it.get(id));
        let leaving = matches!(listed, Some(None | Some(Presence::Leaving)));
        let avoided = self.workers.get(id).is_some_and(|it| now.mono < it.full_until.max(it.avoid_until));
        let has_failed_there = local.failed_on.iter().any(|(worker, rack)| worker == id || *rack == instance.rack);
        instance.zone == self.settings.zone
            && instance.health == Health::Up
            && instance.permit.is_none()
            && !leaving
            && !avoided
            && !has_failed_there
            && self.worker_health.accepts_jobs(now.mono, id)
    }

    /// Free slots of a worker, given the tasks of this entry and those that peers of
    /// its zone report.
    pub(crate) fn free_slots(&self, id: &InstanceId, instance: &Instance) -> u32 {
        let own_tasks = self.workers.get(id).map_or(0, |it| it.own_tasks);
        let peer_tasks: u32 = self.peers.values().filter_map(|it| it.gossip.workers.get(id)).sum();
        instance.slots.saturating_sub(own_tasks + peer_tasks)
    }

    /// Breaks ties between workers differently at each entry, so that entries rarely
    /// choose the same worker.
    fn tie_breaker(&self, id: &str) -> u64 {
        use std::hash::{DefaultHasher, Hash, Hasher};
        let mut hasher = DefaultHasher::new();
        (id, &self.settings.id).hash(&mut hasher);
        hasher.finish()
    }

    /// Sends the start of the job's next attempt to a worker.
    fn start(&mut self, now: Now, id: JobId, instance: InstanceId, why: String) {
        let Some(view_time) = self.usable_view_time(now) else {
            return;
        };
        let state = self.log.state();
        let (Some(worker), Some(local)) = (state.fleet.get(&instance), self.jobs.get_mut(&id)) else {
            return;
        };
        local.attempts += 1;
        let task = TaskAttempt {
            job: id,
            attempt: local.attempts,
        };
        local.phase = Phase::Running(task);
        let start_by = view_time + self.settings.max_view_age;
        let start = TaskStart {
            task,
            holder: self.settings.id.clone(),
            team: local.job.team.clone(),
            once: local.job.repeat == Repeat::Forbidden,
            epoch: worker.epoch,
            start_by_ms: now.wall_ms_at(start_by.saturating_sub(self.settings.max_clock_skew)),
            lease_ms: self.settings.lease.as_millis() as u64,
            expected_ms: local.job.expected.as_millis() as u64,
            payload: local.job.payload.clone(),
        };
        let running = RunningTask {
            team: local.job.team.clone(),
            instance: instance.clone(),
            addr: worker.addr,
            started_at: now.mono,
            start_by,
            start_confirmed: false,
            lease_expires_at: start_by + self.settings.lease + self.settings.max_clock_skew,
            next_renewal_at: now.mono + self.settings.lease / 3,
            next_wait_at: None,
            detached: false,
        };
        let event = Kind::Started {
            job: id,
            team: local.job.team.clone(),
            instance: instance.clone(),
            pool: worker.pool.clone(),
            why,
        };
        let addr = worker.addr;
        self.counters.started += 1;
        self.events.push(now, event);
        self.allotments.add_used(&running.team, 1);
        self.tasks.insert(task, running);
        self.workers.entry(instance.clone()).or_default().own_tasks += 1;
        self.worker_health.record_placement(&instance);
        self.call(CallPurpose::Start(task), instance, addr, WorkerRequest::Start(start));
    }

    pub(crate) fn on_call_returned(&mut self, now: Now, id: CallId, sent: Duration, result: Result<WorkerResponse, Error>) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        match call {
            CallPurpose::Start(task) => self.on_started(now, task, result),
            CallPurpose::Wait(task) => self.on_waited(now, task, result),
            CallPurpose::Renew(task) => self.on_renewed(now, task, sent, result),
            CallPurpose::Stop => {}
            CallPurpose::List(instance) => self.on_tasks_listed(now, instance, result),
            CallPurpose::Adopt(task, instance) => self.on_adopted(now, task, instance, result),
        }
    }

    fn on_started(&mut self, now: Now, task: TaskAttempt, result: Result<WorkerResponse, Error>) {
        let Some(running) = self.tasks.get_mut(&task) else {
            return;
        };
        let instance = running.instance.clone();
        match result {
            Ok(WorkerResponse::Started | WorkerResponse::Refused(StartRefusal::Known)) => {
                running.start_confirmed = true;
                self.workers.entry(instance).or_default().avoid_backoff = Duration::ZERO;
                self.send_wait(task);
            }
            Ok(WorkerResponse::Refused(reason)) => {
                self.counters.refused += 1;
                self.apply_refusal(now, &instance, reason);
                self.undo_start(now, task);
            }
            Err(Error::Undelivered | Error::Unavailable) => {
                self.mark_unreachable(now, &instance);
                self.undo_start(now, task);
            }
            // The task may have started; the answer to a wait tells whether it did.
            Ok(_) | Err(Error::Lost) => {
                self.mark_unreachable(now, &instance);
                self.send_wait(task);
            }
        }
    }

    fn apply_refusal(&mut self, now: Now, instance: &InstanceId, reason: StartRefusal) {
        let worker = self.workers.entry(instance.clone()).or_default();
        match reason {
            StartRefusal::Full => worker.full_until = now.mono + FULL_WORKER_DELAY,
            StartRefusal::Leaving => worker.avoid_until = now.mono + MAX_BACKOFF,
            StartRefusal::Late | StartRefusal::Known => {}
        }
    }

    fn mark_unreachable(&mut self, now: Now, instance: &InstanceId) {
        let worker = self.workers.entry(instance.clone()).or_default();
        worker.avoid_backoff = (worker.avoid_backoff * 2).clamp(INITIAL_BACKOFF, MAX_BACKOFF);
        worker.avoid_until = now.mono + worker.avoid_backoff;
    }

    /// Returns the job to the queue after its task was certainly not started.
    fn undo_start(&mut self, now: Now, task: TaskAttempt) {
        let detached = self.remove_task(task);
        if !detached {
            self.requeue(now, task.job);
        }
    }

    /// Puts a job back at the front of its team's queue, unless its key is withdrawn.
    pub(crate) fn requeue(&mut self, now: Now, id: JobId) {
        let Some(local) = self.jobs.get_mut(&id).filter(|it| !it.phase.is_ended()) else {
            return;
        };
        local.phase = Phase::Queued;
        self.queues.push_front(&local.job.team, local.job.class, id);
        let key = local.job.key.clone();
        if let Err(crate::key::Error::Withdrawn { offset, .. }) = self.log.state().keys.ensure_not_withdrawn(&key) {
            self.refuse(now, id, crate::job::NotRunReason::KeyWithdrawn { offset });
        }
    }

    /// Frees the slot of a task. Returns whether the task was detached from its job, or
    /// was not known.
    pub(crate) fn remove_task(&mut self, task: TaskAttempt) -> bool {
        let Some(running) = self.tasks.remove(&task) else {
            return true;
        };
        self.allotments.remove_used(&running.team, 1);
        self.worker_health.end_probe(&running.instance);
        if let Some(worker) = self.workers.get_mut(&running.instance) {
            worker.own_tasks = worker.own_tasks.saturating_sub(1);
        }
        running.detached
    }
}
