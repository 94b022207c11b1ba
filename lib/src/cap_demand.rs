//! What an owner uses of each team's cap, and what it could start if the cap allowed.
//!
//! Only work that could start now is demand: its turn has come, and a worker of its pool has room
//! for it. A part of the cap that is granted for other work would be missing in other pools for as
//! long as that waits, which may be for years.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::cap_turn::Turns;
use crate::clock::Now;
use crate::id::{PoolId, TeamId};
use crate::job_record::{JobKey, TaskKey, WaitingStep};
use crate::query::TeamDemand;
use crate::resources::Resources;
use crate::scheduler::Scheduler;
use crate::spec::Step;
use crate::worker::Worker;

/// Most different units that are reported for a team.
const MAX_UNITS: usize = 8;
/// Most searches for workers of one report, which bounds its time in a large pool. What comes later
/// in the order is not counted.
const MAX_SEARCHES: usize = 64;
/// Time before an occurrence is due from which its tasks are upcoming, milliseconds.
const UPCOMING_MS: u64 = 1000;
/// Most sizes of units that are observed while they do not fit into their team's limit.
const MAX_BLOCKED_SIZES: usize = 8;

/// Tasks or gangs that can start only as a whole.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unit {
    /// What one of them counts against the cap.
    pub need: Resources,
    /// Number of them.
    pub count: u32,
}

/// What is known of a team's tasks beyond their sums.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Detail {
    /// Number of tasks that the owner has started since its takeover.
    pub started: u64,
    /// What runs of tasks that do not end on their own use.
    pub lasting: Resources,
    /// What tasks need that cannot start yet and may soon. It is no demand: others get it first.
    pub upcoming: Resources,
    /// What can start next, in the owner's order.
    pub next: SmallVec<[Unit; 2]>,
    /// Whether `next` lists all that could start.
    pub is_complete: bool,
}

impl Default for Detail {
    fn default() -> Detail {
        Detail {
            started: 0,
            lasting: Resources::default(),
            upcoming: Resources::default(),
            next: SmallVec::new(),
            is_complete: true,
        }
    }
}

impl Detail {
    /// Stands for details that owners of earlier builds do not report.
    pub(crate) fn unknown() -> Detail {
        Detail {
            is_complete: false,
            ..Detail::default()
        }
    }

    /// Adds what could start after the units that were added before.
    fn add(&mut self, unit: &Unit) {
        if let Some(known) = self.next.iter_mut().find(|it| it.need == unit.need) {
            known.count = known.count.saturating_add(unit.count);
        } else if self.next.len() < MAX_UNITS {
            self.next.push(*unit);
        } else {
            self.is_complete = false;
        }
    }
}

/// What an owner reports of teams' caps.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Usage and demand by team.
    pub teams: HashMap<TeamId, TeamDemand>,
    /// Details of the teams that have waiting or lasting tasks.
    pub details: HashMap<TeamId, Detail>,
}

impl Demand {
    fn detail(&mut self, team: &TeamId) -> &mut Detail {
        self.details.entry(team.clone()).or_default()
    }
}

/// Amounts of a unit's resources, by which units of one size are known.
type Size = (u64, u64, u64);

/// Units of one size that could start but for the limit of their team here.
#[derive(Clone, Copy, Debug)]
struct Blocked {
    need: Resources,
    /// Whether a task that needs less has been started since.
    is_passed_over: bool,
}

/// A team's limit in an owner's pools, and the units that wait for it.
#[derive(Debug, Default)]
struct Limit {
    /// Number of tasks that were placed.
    started: u64,
    blocked: SmallVec<[Blocked; 2]>,
    turns: Turns<Size>,
}

impl Limit {
    /// What a unit needs for which the limit is kept free.
    fn kept_for(&self) -> Option<&Resources> {
        let holder = self.turns.holder()?;
        self.blocked.iter().map(|it| &it.need).find(|it| size(it) == *holder)
    }

    /// Observes the sizes of units that are blocked now, and decides for which of them the limit is
    /// kept free.
    fn update(&mut self, now: Now, needs: &[Resources]) {
        // Those that are known have waited for longer.
        self.blocked.retain(|it| needs.contains(&it.need));
        for need in needs {
            let is_known = self.blocked.iter().any(|it| it.need == *need);
            if !is_known && self.blocked.len() < MAX_BLOCKED_SIZES {
                self.blocked.push(Blocked {
                    need: *need,
                    is_passed_over: false,
                });
            }
        }
        let Limit { blocked, turns, .. } = self;
        turns.retain(|it| blocked.iter().any(|known| size(&known.need) == *it));
        blocked.iter().for_each(|it| turns.wait(now.mono, &size(&it.need)));
        turns.observe(now.mono, true);
        turns.give(now.mono, |it| {
            blocked.iter().any(|known| known.is_passed_over && size(&known.need) == *it)
        });
    }

    /// Records that a task was placed, alone or as part of a gang.
    fn task_started(&mut self, now: Now, need: &Resources, unit: &Resources) {
        self.started += 1;
        for it in &mut self.blocked {
            it.is_passed_over |= !need.contains(&it.need);
        }
        self.turns.started(now.mono, &size(unit));
        self.blocked.retain(|it| it.need != *unit);
    }
}

/// Limits of teams in an owner's pools.
#[derive(Debug, Default)]
pub(crate) struct Limits {
    /// Share of each team's cap that is granted to this owner.
    pub(crate) grants: HashMap<TeamId, Resources>,
    /// What tasks that end on their own may use in all pools together, for teams that have others.
    pub(crate) flexible: HashMap<TeamId, Resources>,
    teams: HashMap<TeamId, Limit>,
}

impl Limits {
    /// Records that a task was placed; `unit` is what its gang needs, or the task itself.
    pub(crate) fn task_started(&mut self, now: Now, team: &TeamId, need: &Resources, unit: &Resources) {
        match self.teams.get_mut(team) {
            Some(limit) => limit.task_started(now, need, unit),
            None => self.teams.entry(team.clone()).or_default().started = 1,
        }
    }
}

/// Tasks of a step that could start now.
struct Startable<'a> {
    team: &'a TeamId,
    pool: &'a PoolId,
    unit: Unit,
}

/// The waiting tasks of teams with caps.
#[derive(Default)]
struct Waiting<'a> {
    /// Those that could start if their caps allowed, in the order of placement.
    startable: Vec<Startable<'a>>,
    /// What the others need that are due soon.
    upcoming: BTreeMap<(&'a TeamId, &'a PoolId), Resources>,
}

/// Searches for workers of one report.
#[derive(Default)]
struct Searches<'a> {
    /// Number of tasks without constraints of their own that have room, by pool, label, need, and
    /// whether they are best-effort.
    found: HashMap<(&'a PoolId, &'a Arc<str>, Resources, bool), u32>,
    count: usize,
}

impl Scheduler {
    /// Returns what each team uses, and what its tasks that could start need.
    pub fn team_demands(&self, now: Now) -> HashMap<TeamId, TeamDemand> {
        let waiting = self.waiting(now);
        self.demand_of(&waiting.startable, &waiting.upcoming).teams
    }

    /// Returns what each team uses and could start, and decides for which of its jobs its limit here
    /// is kept free. While that is so for a job, the team's others that need what it lacks do not
    /// count.
    pub fn report_demand(&mut self, now: Now) -> Demand {
        let mut teams = std::mem::take(&mut self.team_limits.teams);
        let Waiting { startable, upcoming } = self.waiting(now);
        let mut blocked = self.blocked_needs(&startable);
        for (team, limit) in &mut teams {
            limit.update(now, &blocked.remove(team).unwrap_or_default());
        }
        for (team, needs) in blocked {
            teams.entry(team.clone()).or_default().update(now, &needs);
        }
        let is_counted = |it: &&Startable<'_>| match teams.get(it.team).and_then(Limit::kept_for) {
            Some(kept) => *kept == it.unit.need || !self.takes_room(it.team, kept, &it.unit.need),
            None => true,
        };
        let mut demand = self.demand_of(startable.iter().filter(is_counted), &upcoming);
        for (team, detail) in &mut demand.details {
            detail.started = teams.get(team).map_or(0, |it| it.started);
        }
        self.team_limits.teams = teams;
        demand
    }

    /// Whether a team may use this amount in addition.
    pub(crate) fn is_within_team_limit(&self, team: &TeamId, need: &Resources) -> bool {
        let used = self.usage.get(team).copied().unwrap_or_default();
        team.is_empty() || need.fits(&used, &self.team_limit(team))
    }

    /// Whether a team may start no task of a step, as its limit is kept free for a unit of another
    /// size.
    pub(crate) fn is_held_back(&self, team: &TeamId, step: &Step) -> bool {
        let kept = self.team_limits.teams.get(team).and_then(Limit::kept_for);
        kept.is_some_and(|it| *it != step.unit_need() && self.takes_room(team, it, &step.need))
    }

    /// Whether a team has no room for `need` beside `kept_for`.
    fn takes_room(&self, team: &TeamId, kept_for: &Resources, need: &Resources) -> bool {
        let used = self.usage.get(team).copied().unwrap_or_default();
        let left = self.team_limit(team).remaining_after(&used);
        let is_short = |left: u64, kept_for: u64, need: u64| 0 < need && left < kept_for.saturating_add(need);
        is_short(left.cpu, kept_for.cpu, need.cpu)
            || is_short(left.mem, kept_for.mem, need.mem)
            || is_short(left.gpu, kept_for.gpu, need.gpu)
    }

    /// Returns the needs of units of each team that could start but for the team's limit here.
    fn blocked_needs<'a>(&self, startable: &[Startable<'a>]) -> HashMap<&'a TeamId, SmallVec<[Resources; 2]>> {
        let mut blocked: HashMap<&TeamId, SmallVec<[Resources; 2]>> = HashMap::new();
        for it in startable {
            if !self.is_within_team_limit(it.team, &it.unit.need) {
                let needs = blocked.entry(it.team).or_default();
                if !needs.contains(&it.unit.need) {
                    needs.push(it.unit.need);
                }
            }
        }
        blocked
    }

    /// Sums up usage and demand.
    fn demand_of<'a, I>(&self, startable: I, upcoming: &BTreeMap<(&TeamId, &PoolId), Resources>) -> Demand
    where
        I: IntoIterator<Item = &'a Startable<'a>>,
    {
        let mut demand = Demand::default();
        for (team, used) in &self.usage {
            demand.teams.entry(team.clone()).or_default().used = *used;
        }
        for (team, lasting) in self.lasting_usage() {
            demand.detail(team).lasting = lasting;
        }
        let mut wanted: BTreeMap<(&TeamId, &PoolId), Resources> = BTreeMap::new();
        for it in startable {
            *wanted.entry((it.team, it.pool)).or_default() += it.unit.need.times(u64::from(it.unit.count));
            demand.detail(it.team).add(&it.unit);
        }
        let free = self.free_resources();
        for ((team, pool), needed) in wanted {
            let free = free.get(pool).copied().unwrap_or_default();
            demand.teams.entry(team.clone()).or_default().wanted += needed.min(&free);
        }
        for ((team, pool), needed) in upcoming {
            let free = free.get(pool).copied().unwrap_or_default();
            demand.detail(team).upcoming += needed.min(&free);
        }
        demand
    }

    /// What runs of tasks that do not end on their own use, by team.
    fn lasting_usage(&self) -> HashMap<&TeamId, Resources> {
        let mut usage: HashMap<&TeamId, Resources> = HashMap::new();
        for worker in self.workers.values() {
            for (key, run) in &worker.runs {
                let step = self.jobs.get(&key.task.job).and_then(|it| it.record.find_step(key.task.step));
                if !run.team.is_empty() && step.is_some_and(|it| it.lasting) {
                    *usage.entry(&run.team).or_default() += run.need;
                }
            }
        }
        usage
    }

    /// Returns the waiting tasks of teams with caps: those that could start, and what others need that
    /// are due soon.
    fn waiting(&self, now: Now) -> Waiting<'_> {
        let mut searches = Searches::default();
        let mut waiting = Waiting::default();
        let is_limited = |team: &TeamId| self.catalog.teams.get(team).is_some_and(|it| !it.cap.is_zero());
        let now_ms = now.wall_ms();
        for id in self.jobs_in_order(now) {
            let record = &self.jobs[&id].record;
            let (team, pool) = (&record.submission.team, &record.submission.pool);
            if !is_limited(team) {
                continue;
            }
            for it in record.waiting_steps(now_ms, now_ms + UPCOMING_MS) {
                let step = &record.spec().steps[it.index];
                if !self.could_ever_fit(team, step) {
                    continue;
                }
                let is_whole = !step.gang || it.waiting == step.count;
                let count = match it.is_ready && is_whole {
                    true => self.count_with_room(now, &mut searches, &id, &it),
                    false => 0,
                };
                let need = step.unit_need();
                if count != 0 {
                    let unit = Unit { need, count };
                    waiting.startable.push(Startable { team, pool, unit });
                }
                let tasks = if step.gang { count * step.count } else { count };
                if tasks < it.waiting {
                    *waiting.upcoming.entry((team, pool)).or_default() += step.need.times(u64::from(it.waiting - tasks));
                }
            }
        }
        waiting
    }

    /// Returns how many units of a step's waiting tasks have room.
    fn count_with_room<'a>(&'a self, now: Now, searches: &mut Searches<'a>, id: &JobKey, waiting: &WaitingStep) -> u32 {
        let step = &self.jobs[id].record.spec().steps[waiting.index];
        let task = TaskKey {
            job: id.clone(),
            turn: waiting.turn,
            step: waiting.index as u16,
            index: 0,
        };
        let room = self.room_for(now, searches, &task, step, waiting.waiting);
        if step.gang { room / step.count } else { room }
    }

    /// Whether a task or gang fits into its team's cap beside the tasks that do not end on their own.
    fn could_ever_fit(&self, team: &TeamId, step: &Step) -> bool {
        let cap = self.catalog.teams.get(team).map(|it| it.cap).unwrap_or_default();
        let flexible = self.team_limits.flexible.get(team).copied().unwrap_or(cap);
        let fits = |need: u64, cap: u64, flexible: u64| cap == 0 || need <= flexible.min(cap);
        let need = step.unit_need();
        fits(need.cpu, cap.cpu, flexible.cpu) && fits(need.mem, cap.mem, flexible.mem) && fits(need.gpu, cap.gpu, flexible.gpu)
    }

    /// Returns how many of `waiting` tasks of a step have room on workers that they could run on.
    fn room_for<'a>(&'a self, now: Now, searches: &mut Searches<'a>, task: &TaskKey, step: &'a Step, waiting: u32) -> u32 {
        let record = &self.jobs[&task.job].record;
        let key = (&record.submission.pool, &step.label, step.reserved(), step.fill);
        let is_constrained = self.is_constrained(task, step);
        if let Some(found) = searches.found.get(&key).filter(|_| !is_constrained) {
            return waiting.min(*found);
        }
        if MAX_SEARCHES <= searches.count {
            return 0;
        }
        searches.count += 1;
        let most = if is_constrained { waiting } else { u32::MAX };
        let mut found: u32 = 0;
        for worker in self.workers.values() {
            if most <= found {
                break;
            }
            if self.could_take_work(now, worker) && self.suits(now, worker, record, step, task) {
                let free = worker.listed.capacity.remaining_after(&worker.used);
                let fitting = free.count_of(&step.reserved()).min(u64::from(u32::MAX)) as u32;
                let allowed = match step.spread {
                    0 => fitting,
                    spread => fitting.min(spread - worker.count_tasks(&task.job, task.turn, task.step)),
                };
                found = found.saturating_add(allowed);
            }
        }
        if !is_constrained {
            searches.found.insert(key, found);
        }
        waiting.min(found)
    }

    /// Whether a worker takes tasks, or may do so once it has been observed.
    fn could_take_work(&self, now: Now, worker: &Worker) -> bool {
        match worker.is_observed {
            true => worker.accepts_work(now.mono),
            false => worker.is_listed && !worker.listed.draining && worker.missed_answers == 0,
        }
    }

    /// Free resources in each pool, of workers that take tasks or have not been observed yet.
    fn free_resources(&self) -> HashMap<&PoolId, Resources> {
        let mut free: HashMap<&PoolId, Resources> = HashMap::new();
        for worker in self.workers.values() {
            let listed = &worker.listed;
            let is_evacuated = self.catalog.evacuated_zones.contains(&listed.zone);
            if worker.is_listed && !listed.draining && worker.missed_answers == 0 && !is_evacuated {
                *free.entry(&listed.pool).or_default() += listed.capacity.remaining_after(&worker.used);
            }
        }
        free
    }
}

fn size(need: &Resources) -> Size {
    (need.cpu, need.mem, need.gpu)
}
