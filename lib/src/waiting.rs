//! The jobs of an owner that wait, and what it knows about pools that have less room than work.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use crate::clock::Now;
use crate::decision::Decision;
use crate::held_room::HeldRoom;
use crate::id::{PoolId, TeamId};
use crate::job_order::{self, Job, Shortage, Urgency};
use crate::job_record::{JobKey, JobRecord, TaskState};
use crate::resources::Resources;
use crate::scheduler::Scheduler;
use crate::spec::Step;
use crate::worker::Worker;

/// Time between two counts of what teams use of each pool. Placements in between are added. It is
/// a fifth of the run time of a short task, so that ends are seen while their order matters.
const COUNT_INTERVAL: Duration = Duration::from_millis(200);

/// What an owner knows about the demand for a pool.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    /// Teams' shares and turns.
    pub(crate) shortage: Shortage,
    /// Resources of the workers that take tasks.
    pub(crate) capacity: Resources,
    /// Whether the latest pass found no room for a task that an empty worker could run.
    pub(crate) is_short: bool,
    /// Job for which room is kept free.
    pub(crate) held_room: HeldRoom,
}

impl Scheduler {
    /// Returns the open jobs that have waiting tasks, those to be placed first at the beginning.
    pub(crate) fn jobs_in_order(&self, now: Now) -> Vec<JobKey> {
        let mut jobs: Vec<Job> = Vec::new();
        for id in &self.open_jobs {
            let record = &self.jobs[id].record;
            if record.tasks.iter().any(|it| it.state == TaskState::Waiting) {
                jobs.push(self.waiting_job(now, id, record));
            }
        }
        job_order::sort_by_urgency(&mut jobs);
        if self.demands.values().all(|it| !it.is_short) {
            return jobs.into_iter().map(|it| it.id).collect();
        }
        // The jobs of a pool that is short change places with each other only.
        let mut short: HashMap<&PoolId, (&Demand, Vec<usize>, Vec<Job>)> = HashMap::new();
        let demands = self.demands.iter().filter(|(_, it)| it.is_short);
        short.extend(demands.map(|(pool, it)| (pool, (it, Vec::new(), Vec::new()))));
        let mut order: Vec<JobKey> = Vec::with_capacity(jobs.len());
        for (position, mut job) in jobs.into_iter().enumerate() {
            let record = &self.jobs[&job.id].record;
            order.push(job.id.clone());
            if let Some((demand, positions, of_pool)) = short.get_mut(&record.submission.pool) {
                job.share = record.startable_resources(now.wall_ms()).dominant_share(&demand.capacity);
                positions.push(position);
                of_pool.push(job);
            }
        }
        for (demand, positions, of_pool) in short.into_values() {
            let sorted = demand.shortage.sort(of_pool, |team| self.weight(team));
            for (position, job) in positions.into_iter().zip(sorted) {
                order[position] = job.id;
            }
        }
        order
    }

    fn waiting_job(&self, now: Now, id: &JobKey, record: &JobRecord) -> Job {
        let objective = signed_ms(self.objective_ms(record));
        let age_from_ms = match record.spec().is_scheduled() {
            true => record.spec().start_at_ms.max(record.submission.received_ms),
            false => record.submission.received_ms,
        };
        let age = signed_ms(now.wall_ms()) - signed_ms(age_from_ms);
        let remaining = signed_ms(remaining_ms(record, |step| self.expected_ms(record, step)));
        let urgency = match record.spec().is_long_running() {
            true => Urgency::LongRunning,
            false => Urgency::of(objective, age, remaining),
        };
        Job {
            id: id.clone(),
            team: record.submission.team.clone(),
            urgency,
            priority: self.queue_of(record).map_or(u32::MAX, |it| it.priority),
            is_new: record.has_no_placements(),
            slack_ms: objective - age - remaining,
            work: (record.spec().estimated_work() / 1_000_000) as i64,
            received_ms: record.submission.received_ms,
            share: 0.0,
        }
    }

    fn weight(&self, team: &TeamId) -> f64 {
        self.catalog.teams.get(team).map_or(1.0, |it| it.weight)
    }

    /// Counts what teams use of each pool if the last count is some time ago.
    pub(crate) fn count_usage(&mut self, now: Now) {
        if self.usage_counted_at.is_some_and(|it| now.mono < it + COUNT_INTERVAL) {
            return;
        }
        self.usage_counted_at = Some(now.mono);
        let mut capacities: HashMap<&PoolId, Resources> = HashMap::new();
        let mut used: HashMap<&PoolId, HashMap<TeamId, Resources>> = HashMap::new();
        for worker in self.workers.values().filter(|it| it.accepts_work(now.mono)) {
            *capacities.entry(&worker.listed.pool).or_default() += worker.listed.capacity;
            let teams = used.entry(&worker.listed.pool).or_default();
            for run in worker.runs.values() {
                match teams.get_mut(&run.team) {
                    Some(amount) => *amount += run.reserved,
                    None => _ = teams.insert(run.team.clone(), run.reserved),
                }
            }
        }
        self.demands.retain(|pool, _| capacities.contains_key(pool));
        for (pool, capacity) in capacities {
            let demand = self.demands.entry(pool.clone()).or_default();
            demand.capacity = capacity;
            let used = used.remove(pool).unwrap_or_default();
            demand.shortage.shares.update(now.mono, &capacity, used);
        }
    }

    /// Places the jobs that were passed over most, and keeps a worker free for each of them that
    /// still has no room.
    pub(crate) fn place_passed_over_jobs<F>(&mut self, now: Now, waiting: &[JobKey], mut place: F)
    where
        F: FnMut(&mut Scheduler, &JobKey) -> bool,
    {
        let waiting: HashSet<&JobKey> = match self.demands.values().any(|it| it.held_room.job().is_some()) {
            true => waiting.iter().collect(),
            false => return,
        };
        let mut jobs: Vec<JobKey> = Vec::new();
        for demand in self.demands.values_mut() {
            demand.held_room.retain(|it| waiting.contains(it));
            jobs.extend(demand.held_room.job().cloned());
        }
        for id in jobs {
            if !place(self, &id) {
                self.hold_room(now, &id);
            }
        }
    }

    /// Keeps the worker with the most free CPU that a job's next task can have once the finite tasks
    /// there have ended out of this pass. While less than half of the pool is in use, the other
    /// jobs need its room more.
    fn hold_room(&mut self, now: Now, id: &JobKey) {
        let record = &self.jobs[id].record;
        let ready = record.spec().steps.iter().enumerate().find(|(index, _)| {
            let is_waiting = |turn: u32| record.step_tasks(turn, *index).iter().any(|it| it.state == TaskState::Waiting);
            (0..record.spec().occurrences()).any(|turn| is_waiting(turn) && record.is_ready(turn, *index, now.wall_ms()))
        });
        let Some((_, step)) = ready else {
            return;
        };
        let pool = record.submission.pool.clone();
        let (mut used, mut capacity) = (Resources::default(), Resources::default());
        for worker in self
            .workers
            .values()
            .filter(|it| it.accepts_work(now.mono) && it.listed.pool == pool)
        {
            used += worker.used;
            capacity += worker.listed.capacity;
        }
        if used.dominant_share(&capacity) < 0.5 {
            return;
        }
        let suitable = self.suitable_workers(now, &pool, step);
        let will_fit = suitable.filter(|it| step.reserved().fits(&self.lasting_use(it), &it.listed.capacity));
        let emptiest = will_fit.max_by_key(|it| {
            let free = it.listed.capacity.remaining_after(&it.used);
            (free.cpu, &it.listed.id)
        });
        let Some(worker) = emptiest.map(|it| it.listed.id.clone()) else {
            return;
        };
        let held = self.demands.get_mut(&pool).and_then(|it| it.held_room.hold(now.mono, id, &worker));
        let Some(has_changed) = held else {
            return;
        };
        self.candidates.remove(&self.workers[&worker]);
        if has_changed {
            self.log_decision(Decision::RoomHeld { job: id.clone(), worker });
        }
    }

    /// What runs that do not end on their own reserve on a worker.
    fn lasting_use(&self, worker: &Worker) -> Resources {
        let mut used = Resources::default();
        for (key, run) in &worker.runs {
            let step = self.jobs.get(&key.task.job).and_then(|it| it.record.find_step(key.task.step));
            if step.is_none_or(|it| it.lasting) {
                used += run.reserved;
            }
        }
        used
    }

    /// Workers that could run a task without constraints of its own if they were empty.
    pub(crate) fn suitable_workers(&self, now: Now, pool: &PoolId, step: &Step) -> impl Iterator<Item = &Worker> {
        self.workers.values().filter(move |it| {
            it.accepts_work(now.mono)
                && it.listed.pool == *pool
                && !self.catalog.evacuated_zones.contains(&it.listed.zone)
                && (step.label.is_empty() || it.listed.labels.contains(&step.label))
                && step.reserved().fits(&Resources::default(), &it.listed.capacity)
        })
    }
}

/// Converts a time, milliseconds. Sums of a few results stay within the range.
fn signed_ms(ms: u64) -> i64 {
    ms.min(1 << 60) as i64
}

/// Returns the estimated time until a job ends if all its tasks had room at once, milliseconds.
/// Only the first occurrence is counted. `expected_ms` is the run time of the tasks of a step.
pub(crate) fn remaining_ms<F>(record: &JobRecord, expected_ms: F) -> u64
where
    F: Fn(usize) -> u64,
{
    let spec = record.spec();
    let mut ends: Vec<u64> = Vec::with_capacity(spec.steps.len());
    for (index, step) in spec.steps.iter().enumerate() {
        let start = step.after.iter().map(|it| ends[usize::from(*it)]).max().unwrap_or(0);
        let remaining = if record.is_step_done(0, index) { 0 } else { expected_ms(index) };
        ends.push(start.saturating_add(remaining));
    }
    ends.into_iter().max().unwrap_or(0)
}
