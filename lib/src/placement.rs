//! Assigns waiting tasks to workers.
//!
//! Jobs are visited in the order of [`job_order`](crate::job_order). A task is placed on a worker of its pool
//! that has room and meets its constraints, within the limit of its team; the
//! start order is sent once the placement is in the log.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::clock::Now;
use crate::decision::Decision;
use crate::id::{InstanceId, PoolId, RackId, TeamId};
use crate::job_record::{JobKey, JobRecord, TaskKey, TaskState};
use crate::resources::Resources;
use crate::scheduler::Scheduler;
use crate::spec::Step;
use crate::worker::{Run, RunKey, RunPhase, Worker};
use crate::worker_speed;

/// A pass leaves out the rest of a full pool's jobs, and of a team's at its limit, once more of
/// them than this could not be placed completely. Until then advice is requested for the next
/// tasks, so that they can start as soon as there is room.
const MAX_BLOCKED_JOBS: usize = 32;
/// Most calls for advice in a pass for tasks that may have room. The others follow in later
/// passes, so that a step that gets no answer does not keep the next ones from asking.
const MAX_ADVICE_CALLS: usize = 32;

/// Most workers that are looked at for a better one once a worker was found that is as good as any
/// apart from what was learned. It bounds the time of a placement in a large pool.
const MAX_FURTHER_WORKERS: usize = 64;

/// Jobs of a pool or a team that a pass could not place completely.
#[derive(Clone, Copy, Debug, Default)]
struct Blocked {
    jobs: usize,
    /// Whether no task can be placed any more in this pass.
    is_exhausted: bool,
}

impl Blocked {
    fn is_over(&self) -> bool {
        MAX_BLOCKED_JOBS < self.jobs
    }
}

/// What a placement pass has met so far.
#[derive(Debug, Default)]
struct Pass {
    pools: HashMap<PoolId, Blocked>,
    teams: HashMap<TeamId, Blocked>,
    /// Least that a task of the waiting jobs needs, by pool and by team.
    floors: Option<Floors>,
    advice_calls: usize,
}

/// Smallest amount of each resource that a task of the waiting jobs needs.
#[derive(Debug, Default)]
struct Floors {
    /// What tasks reserve of their worker.
    pools: HashMap<PoolId, Resources>,
    /// What tasks count against their team's cap.
    teams: HashMap<TeamId, Resources>,
}

/// How well a worker that can run a task suits it; earlier fields outweigh later ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Suitability {
    is_trusted: bool,
    /// Whether a long-running task could stay there.
    is_lasting: bool,
    is_fast: bool,
    is_on_preferred_rack: bool,
    /// Whether no task on the worker is known to interfere with the task.
    is_apart: bool,
}

impl Suitability {
    const BEST: Suitability = Suitability {
        is_trusted: true,
        is_lasting: true,
        is_fast: true,
        is_on_preferred_rack: true,
        is_apart: true,
    };

    /// The part that does not depend on what was learned.
    fn unlearned(&self) -> (bool, bool, bool) {
        (self.is_trusted, self.is_lasting, self.is_on_preferred_rack)
    }
}

/// The worker that was chosen for a task.
#[derive(Clone, Debug)]
pub(crate) struct Choice {
    id: InstanceId,
    /// Worker that would have been chosen without what was learned, and why it was not; `None` if
    /// it is the same.
    instead_of: Option<(InstanceId, &'static str)>,
}

impl Scheduler {
    /// Places waiting tasks, most urgent jobs first, as many as may be started at the same time. A
    /// gang is placed as a whole beyond that. Does nothing for a short time after a worker rejected
    /// a task for lack of room.
    pub(crate) fn place_waiting_tasks(&mut self, now: Now) {
        if now.mono < self.placement_resumes_at {
            return;
        }
        self.count_usage(now);
        let waiting = self.jobs_in_order(now);
        let open_jobs = &self.open_jobs;
        self.searches.begin_pass(|it| open_jobs.contains(it));
        let demands = self.demands.iter_mut();
        let was_short: Vec<PoolId> = demands
            .filter_map(|(pool, it)| std::mem::take(&mut it.is_short).then(|| pool.clone()))
            .collect();
        let mut pass = Pass::default();
        self.place_passed_over_jobs(now, &waiting, |owner, id| owner.place_job(now, &mut pass, id));
        for id in &waiting {
            let submission = &self.jobs[id].record.submission;
            let is_exhausted = |it: Option<&Blocked>| it.is_some_and(|it| it.is_exhausted);
            if is_exhausted(pass.pools.get(&submission.pool)) || is_exhausted(pass.teams.get(&submission.team)) {
                continue;
            }
            if self.start_window.is_full() {
                // The pass does not tell whether the rest has room.
                for pool in was_short {
                    self.demands.entry(pool).or_default().is_short = true;
                }
                return;
            }
            if !self.place_job(now, &mut pass, id) {
                self.add_blocked(&mut pass, &waiting, id);
            }
        }
    }

    /// Counts a job that could not be placed completely, and determines whether any other job of
    /// its pool and its team can be. That it is blocked itself is no sign of that: it may be for a
    /// reason of its own, or because it needs more than others.
    fn add_blocked(&self, pass: &mut Pass, waiting: &[JobKey], id: &JobKey) {
        let submission = &self.jobs[id].record.submission;
        let (pool, team) = (&submission.pool, &submission.team);
        let in_pool = pass.pools.entry(pool.clone()).or_default();
        in_pool.jobs += 1;
        if in_pool.is_over() {
            let floors = pass.floors.get_or_insert_with(|| self.floors(waiting));
            in_pool.is_exhausted = self.searches.is_exhausted(pool, &floors.pools[pool]);
        }
        let in_team = pass.teams.entry(team.clone()).or_default();
        in_team.jobs += 1;
        if in_team.is_over() {
            let floors = pass.floors.get_or_insert_with(|| self.floors(waiting));
            in_team.is_exhausted = !self.is_within_team_limit(team, &floors.teams[team]);
        }
    }

    /// Determines the least that a task of the waiting jobs of each pool and team needs.
    fn floors(&self, waiting: &[JobKey]) -> Floors {
        let mut floors = Floors::default();
        for id in waiting {
            let submission = &self.jobs[id].record.submission;
            for step in &submission.spec.steps {
                lower(&mut floors.pools, &submission.pool, &step.reserved());
                lower(&mut floors.teams, &submission.team, &step.need);
            }
        }
        floors
    }

    /// Places the tasks of a job that are ready. Returns whether all of them were placed, as far as
    /// they may be started now.
    fn place_job(&mut self, now: Now, pass: &mut Pass, id: &JobKey) -> bool {
        let spec = self.jobs[id].record.submission.spec.clone();
        let placed_before = self.pending_starts.len();
        let mut is_complete = true;
        for turn in 0..spec.occurrences() {
            for (step_index, step) in spec.steps.iter().enumerate() {
                let record = &self.jobs[id].record;
                let tasks = record.step_tasks(turn, step_index);
                let Some(first) = tasks.iter().position(|it| it.state == TaskState::Waiting) else {
                    continue;
                };
                if !record.is_ready(turn, step_index, now.wall_ms()) {
                    continue;
                }
                let key = |index: usize| TaskKey {
                    job: id.clone(),
                    turn,
                    step: step_index as u16,
                    index: index as u32,
                };
                if !self.may_find_worker(now, pass, &key(first), step) {
                    is_complete = false;
                    continue;
                }
                let tasks = self.jobs[id].record.step_tasks(turn, step_index).iter().enumerate();
                let waiting = tasks.filter(|(_, it)| it.state == TaskState::Waiting).map(|(index, _)| key(index));
                // An earlier run of the task may be in progress although it was given up.
                let group: Vec<TaskKey> = waiting
                    .filter(|task| !self.unexpected_runs.iter().any(|it| it.task == *task))
                    .collect();
                if group.is_empty() {
                    continue;
                }
                is_complete &= match step.gang {
                    true => self.place_gang(now, &group, step),
                    false => self.place_each(now, &group, step),
                };
            }
        }
        if is_complete {
            self.searches.forget(id);
        }
        let pool = &self.jobs[id].record.submission.pool;
        let has_placed = placed_before < self.pending_starts.len();
        if let Some(demand) = self.demands.get_mut(pool).filter(|_| is_complete && has_placed) {
            demand.held_room.job_placed(id);
        }
        is_complete
    }

    /// Whether a search for workers for a step's tasks, of which `task` is the first one, may
    /// succeed and is to be made in this pass. Requests advice where that is missing.
    fn may_find_worker(&mut self, now: Now, pass: &mut Pass, task: &TaskKey, step: &Step) -> bool {
        let submission = &self.jobs[&task.job].record.submission;
        let (pool, team) = (&submission.pool, &submission.team);
        let is_limited = !self.is_within_team_limit(team, &step.need) || self.is_held_back(team, step);
        if is_limited || self.searches.is_known_to_fail(pool, step) {
            let is_over = |it: Option<&Blocked>| it.is_some_and(Blocked::is_over);
            if !is_over(pass.pools.get(pool)) && !is_over(pass.teams.get(team)) {
                self.request_advice(now, task);
            }
            return false;
        }
        if !self.has_advice(now, task) {
            if pass.advice_calls < MAX_ADVICE_CALLS && self.request_advice(now, task) {
                pass.advice_calls += 1;
            }
            return false;
        }
        !self.is_constrained(task, step) || self.searches.may_search(&task.job)
    }

    /// Whether it depends on more than a worker's room, label and speed whether it can run a task.
    pub(crate) fn is_constrained(&self, task: &TaskKey, step: &Step) -> bool {
        step.gang || step.spread != 0 || self.needs_advice(task)
    }

    /// Handles a search for a worker that failed after `chosen` members of a gang had a worker.
    fn search_failed(&mut self, now: Now, task: &TaskKey, step: &Step, chosen: usize) {
        self.request_advice(now, task);
        if self.is_team_at_limit(task) {
            return;
        }
        let pool = &self.jobs[&task.job].record.submission.pool;
        let visited = self.candidates.with_free_cpu(pool, step.reserved().cpu).count();
        if visited == 0 && chosen == 0 || step.spread == 0 && chosen == 0 && !self.needs_advice(task) {
            self.searches.add_failed_need(pool, step);
            let could_have_room = self.suitable_workers(now, pool, step).next().is_some();
            if let Some(demand) = self.demands.get_mut(pool).filter(|_| could_have_room) {
                let is_first = !std::mem::replace(&mut demand.is_short, true);
                if is_first && !step.gang {
                    demand.held_room.job_blocked(&task.job);
                }
            }
        } else {
            self.searches.add_failure(&task.job, (chosen + 1) * visited);
        }
    }

    /// Places the tasks of a group one by one until one of them cannot be placed. Returns whether
    /// all were placed that may be started now.
    fn place_each(&mut self, now: Now, group: &[TaskKey], step: &Step) -> bool {
        for task in group {
            if self.start_window.is_full() {
                return true;
            }
            let Some(worker) = self.choose_worker(now, task) else {
                self.search_failed(now, task, step, 0);
                return false;
            };
            let run = self.next_run(task);
            self.assign(now, task, worker, run);
        }
        true
    }

    /// Whether the limit of its team does not allow a task to be placed.
    fn is_team_at_limit(&self, task: &TaskKey) -> bool {
        let record = &self.jobs[&task.job].record;
        !self.is_within_team_limit(&record.submission.team, &record.step(task.step).need)
    }

    /// Places all tasks of a gang or none of them. Returns whether nothing more can be done for it
    /// now: it was placed, or some of its tasks are not waiting.
    fn place_gang(&mut self, now: Now, group: &[TaskKey], step: &Step) -> bool {
        if group.len() != step.count as usize {
            // Some members of an earlier run have not ended yet.
            return true;
        }
        let team = self.jobs[&group[0].job].record.submission.team.clone();
        if !self.is_within_team_limit(&team, &step.need.times(group.len() as u64)) {
            return false;
        }
        let run = group.iter().map(|it| self.next_run(it)).max().unwrap_or(1);
        let mut chosen: Vec<(TaskKey, Choice)> = Vec::new();
        let need = step.reserved();
        // Reserve room while choosing, so that the members do not get the same room twice.
        for task in group {
            let Some(worker) = self.choose_worker(now, task) else {
                break;
            };
            self.workers.get_mut(&worker.id).expect("it was chosen").used += need;
            chosen.push((task.clone(), worker));
        }
        for (_, worker) in &chosen {
            self.workers.get_mut(&worker.id).expect("it was chosen").used -= need;
        }
        if chosen.len() != group.len() {
            self.search_failed(now, &group[0], step, chosen.len());
            return false;
        }
        let tracked = self.jobs.get_mut(&group[0].job).expect("the caller looked it up");
        tracked.record.begin_gang_run(&group[0], run);
        for (task, worker) in chosen {
            self.assign(now, &task, worker, run);
        }
        true
    }

    /// Returns the number of the next run of a task.
    fn next_run(&self, task: &TaskKey) -> u32 {
        let record = &self.jobs[&task.job].record;
        let position = record.position(task).expect("waiting tasks are tasks of the job");
        record.tasks[position].run + 1
    }

    /// Returns the best worker for a task; `None` if no worker can run it or the team is at its
    /// limit.
    pub(crate) fn choose_worker(&self, now: Now, task: &TaskKey) -> Option<Choice> {
        let record = &self.jobs[&task.job].record;
        let step = record.step(task.step);
        if self.is_team_at_limit(task) {
            return None;
        }
        let rack = self.preferred_rack(step, task);
        // Fill up busy workers first, so that idle instances can move to other pools.
        let fullest_first = self.candidates.with_free_cpu(&record.submission.pool, step.reserved().cpu);
        let slow_limit = worker_speed::slow_limit(self.objective_ms(record), record.spec().critical_path_ms());
        let is_concerned = self.learned.interference.concerns(&step.image);
        // Empty workers are taken to keep images apart only while the pool is well packed.
        let may_use_empty = is_concerned && self.candidates.may_use_empty(&record.submission.pool);
        let mut best: Option<(Suitability, &InstanceId)> = None;
        // The choice without what was learned.
        let mut first: Option<(Suitability, &InstanceId)> = None;
        let (mut further, mut compared) = (0, 0);
        for worker in fullest_first.filter_map(|id| self.workers.get(id)) {
            if first.is_some_and(|(it, _)| it.unlearned() == Suitability::BEST.unlearned()) {
                further += 1;
                if MAX_FURTHER_WORKERS < further {
                    break;
                }
            }
            let mut suitability = Suitability {
                is_trusted: !worker.is_quarantined(now.mono),
                is_lasting: !step.lasting || !self.expected_maintenance.contains(now.mono, &worker.listed.id),
                is_fast: worker.speed.slowdown(now.mono).is_none_or(|it| it < slow_limit),
                is_on_preferred_rack: rack.as_ref().is_none_or(|rack| worker.listed.rack == *rack),
                is_apart: true,
            };
            let is_first = first.is_none_or(|(it, _)| it.unlearned() < suitability.unlearned());
            if is_concerned && best.is_none_or(|(it, _)| it < suitability) {
                compared += 1;
                let is_usable = may_use_empty || !worker.runs.is_empty();
                suitability.is_apart = is_usable && compared <= MAX_FURTHER_WORKERS && self.is_apart(worker, &step.image);
            }
            let is_best = best.is_none_or(|(it, _)| it < suitability);
            if !is_first && !is_best || !self.can_run(now, worker, record, step, task) {
                continue;
            }
            if is_first {
                first = Some((suitability, &worker.listed.id));
            }
            if is_best {
                best = Some((suitability, &worker.listed.id));
            }
            if suitability == Suitability::BEST {
                break;
            }
        }
        let ((_, id), (suitability, first)) = (best?, first?);
        let why = if suitability.is_fast { "interference" } else { "slow" };
        Some(Choice {
            id: id.clone(),
            instead_of: (id != first).then(|| (first.clone(), why)),
        })
    }

    /// Returns the rack on which a step should run: the rack of its data; otherwise, for tasks
    /// that run faster on one rack, the one that runs most of them already, then the one with
    /// the most free CPU. `None` if the step has no preference.
    fn preferred_rack(&self, step: &Step, task: &TaskKey) -> Option<RackId> {
        if !step.rack.is_empty() {
            return Some(step.rack.clone());
        }
        if !step.same_rack {
            return None;
        }
        let pool = &self.jobs[&task.job].record.submission.pool;
        let mut racks: BTreeMap<&RackId, (u32, u64)> = BTreeMap::new();
        for worker in self.workers.values().filter(|it| it.is_listed && it.listed.pool == *pool) {
            let entry = racks.entry(&worker.listed.rack).or_default();
            entry.0 += worker.count_tasks(&task.job, task.turn, task.step);
            entry.1 += worker.listed.capacity.remaining_after(&worker.used).cpu;
        }
        racks.into_iter().max_by_key(|(_, it)| *it).map(|(rack, _)| rack.clone())
    }

    /// Whether a worker has room for a task and meets its constraints.
    fn can_run(&self, now: Now, worker: &Worker, record: &JobRecord, step: &Step, task: &TaskKey) -> bool {
        worker.accepts_work(now.mono) && self.suits(now, worker, record, step, task)
    }

    /// The same for a worker that takes tasks.
    pub(crate) fn suits(&self, now: Now, worker: &Worker, record: &JobRecord, step: &Step, task: &TaskKey) -> bool {
        let listed = &worker.listed;
        listed.pool == record.submission.pool
            && !self.catalog.evacuated_zones.contains(&listed.zone)
            && step.reserved().fits(&worker.used, &listed.capacity)
            && (step.label.is_empty() || listed.labels.contains(&step.label))
            && (!step.fill || worker.speed_percent == 100)
            && self.ticket(now, task, &listed.id).is_some()
            && (step.spread == 0 || worker.count_tasks(&task.job, task.turn, task.step) < step.spread)
    }

    /// Assigns a task to a worker and reserves room for it. The start order is sent once the
    /// assignment is in the log.
    fn assign(&mut self, now: Now, task: &TaskKey, choice: Choice, run: u32) {
        let Choice { id, instead_of } = choice;
        let tracked = self.jobs.get_mut(&task.job).expect("the caller looked it up");
        let record = &mut tracked.record;
        let is_first = record.has_no_placements();
        let position = record.position(task).expect("the caller looked it up");
        record.tasks[position].run = run;
        record.tasks[position].state = TaskState::Placed(id.clone());
        let step = record.step(task.step);
        let (reserved, need, unit) = (step.reserved(), step.need, step.unit_need());
        let image = step.image.clone();
        let team = record.submission.team.clone();
        let age_ms = now.wall_ms().saturating_sub(record.submission.received_ms);
        let worker = self.workers.get_mut(&id).expect("it was chosen");
        let free_cpu = worker.listed.capacity.remaining_after(&worker.used).cpu;
        let key = RunKey { task: task.clone(), run };
        let intended = Run {
            image,
            ..Run::new(RunPhase::Intended, team.clone(), reserved, need, now.mono)
        };
        if let Some(demand) = self.demands.get_mut(&worker.listed.pool) {
            if is_first {
                demand.shortage.job_started(&team);
            }
            demand.shortage.shares.add(&team, reserved.dominant_share(&demand.capacity));
        }
        self.candidates.remove(worker);
        worker.add(key.clone(), intended);
        self.candidates.insert_again(now.mono, worker);
        self.team_limits.task_started(now, &team, &need, &unit);
        *self.usage.entry(team).or_default() += need;
        self.start_window.add(key.clone());
        self.pending_starts.push((id.clone(), key));
        self.mark_dirty(&task.job);
        if let Some((instead_of, why)) = instead_of {
            self.log_decision(Decision::Preferred {
                job: task.job.clone(),
                task: (task.turn, task.step, task.index),
                worker: id.clone(),
                instead_of,
                why,
            });
        }
        self.log_decision(Decision::Placed {
            job: task.job.clone(),
            task: (task.turn, task.step, task.index),
            run,
            worker: id,
            free_cpu,
            age_ms,
            config: self.catalog.version,
        });
    }
}

/// Lowers the amount of a name to at most `need`.
fn lower(floors: &mut HashMap<Arc<str>, Resources>, name: &Arc<str>, need: &Resources) {
    match floors.get_mut(name) {
        Some(floor) => *floor = floor.min(need),
        None => _ = floors.insert(name.clone(), *need),
    }
}
