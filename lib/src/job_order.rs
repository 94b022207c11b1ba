//! The order in which the jobs that wait for a pool are placed.
//!
//! Load pattern: for some seconds a pool gets several times the work that it can do, at times
//! most of it from one team. While all work fits, jobs go by urgency and the order matters little.
//! Otherwise they go by priority, and those that can still meet their objective before those that
//! cannot. Among these, jobs that have begun go first, as the work on them is lost to callers if
//! they end late; then those of teams that use less than their weighted share of the pool. Among
//! teams that are equal in this, and of a team's own jobs, the smallest goes first, which meets
//! most objectives. In every [`AGED_TURN`]th turn of a team its oldest job goes first, so that the
//! number of times a job is passed over is bounded by the jobs that came before it.
//! Long-running jobs come before all others, as their absence is noticed within seconds.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use crate::id::TeamId;
use crate::job_record::JobKey;
use crate::team_share::Shares;

/// One of this many jobs of a team that are started is its oldest one. More frequent turns cost
/// jobs in time: of 1,740 jobs of a burst (test_overload, one level per share) 712 are in time
/// without such turns, 684 with 16, and 583 with 4.
const AGED_TURN: u64 = 32;
/// Number of levels from no use of a pool to a team's weighted share; teams on one level are equal.
/// A team may lack a level of its share (test_job_order: with four, it lacks more than two of its
/// jobs); more levels leave out small jobs for differences between teams that do not matter.
const LEVELS: f64 = 8.0;
/// Fraction of the objective that must remain as slack beyond the estimated run time.
/// The half of the estimates with the smaller errors is off by this much on average.
const MIN_SLACK_FRACTION: f64 = 0.05;

/// Urgency of a job; earlier variants are placed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// Has a long-running step and no objective to meet.
    LongRunning,
    /// Can still meet its objective.
    InTime,
    /// Can no longer meet its objective, but may end within three times that time, which is
    /// still of use to callers.
    Late,
    /// Will take longer than that.
    Overdue,
}

impl Urgency {
    /// Urgency of a job that ends on its own, by its age and its remaining run time, milliseconds.
    pub fn of(objective: i64, age: i64, remaining: i64) -> Urgency {
        let slack = objective - age - remaining;
        match () {
            () if MIN_SLACK_FRACTION * objective as f64 <= slack as f64 => Urgency::InTime,
            () if age + remaining <= 3 * objective => Urgency::Late,
            () => Urgency::Overdue,
        }
    }
}

/// A job that has waiting tasks.
#[derive(Clone, Debug)]
pub struct Job {
    /// Key of the job.
    pub id: JobKey,
    /// Team that it counts against.
    pub team: TeamId,
    /// How urgent it is.
    pub urgency: Urgency,
    /// Priority of its queue; lower numbers go first.
    pub priority: u32,
    /// Whether no task of it has ever been placed.
    pub is_new: bool,
    /// Time that it can wait and still meet its objective, milliseconds; negative if it cannot.
    pub slack_ms: i64,
    /// Its estimated work, seconds of one core.
    pub work: i64,
    /// When it was received, milliseconds since the Unix epoch.
    pub received_ms: u64,
    /// Dominant share of the pool that its waiting tasks take.
    pub share: f64,
}

impl Job {
    /// Rank among jobs of the same urgency. While there is more work than room, placing small jobs
    /// first meets most objectives.
    fn rank(&self) -> i64 {
        match self.urgency {
            Urgency::InTime => self.work,
            _ => self.slack_ms,
        }
    }
}

/// State of a pool that has less room than work.
#[derive(Debug, Default)]
pub struct Shortage {
    /// What teams use of the pool.
    pub shares: Shares,
    /// Number of jobs of each team that were started.
    started: HashMap<TeamId, u64>,
}

impl Shortage {
    /// Records that the first task of a job was placed.
    pub fn job_started(&mut self, team: &TeamId) {
        *self.started.entry(team.clone()).or_default() += 1;
    }

    /// Sorts the jobs of a pool that has less room than work. `weight` returns the weight of a team.
    pub fn sort<F>(&self, jobs: Vec<Job>, weight: F) -> Vec<Job>
    where
        F: Fn(&TeamId) -> f64,
    {
        let class = |it: &Job| {
            let is_finite = it.urgency != Urgency::LongRunning;
            (is_finite, it.priority, it.urgency, it.is_new)
        };
        let mut jobs = jobs;
        jobs.sort_by(|a, b| class(a).cmp(&class(b)).then_with(|| (a.rank(), &a.id).cmp(&(b.rank(), &b.id))));
        let mut sorted = Vec::with_capacity(jobs.len());
        let mut added: HashMap<TeamId, f64> = HashMap::new();
        while !jobs.is_empty() {
            let first = class(&jobs[0]);
            let len = jobs.partition_point(|it| class(it) <= first);
            let rest = jobs.split_off(len);
            let group = std::mem::replace(&mut jobs, rest);
            match first.0 && first.3 {
                true => self.sort_by_share(group, &weight, &mut added, &mut sorted),
                false => {
                    for job in group {
                        *added.entry(job.team.clone()).or_default() += job.share;
                        sorted.push(job);
                    }
                }
            }
        }
        sorted
    }

    /// Appends jobs of one class, which are sorted by rank, in the order of their teams' shares.
    fn sort_by_share<F>(&self, group: Vec<Job>, weight: &F, added: &mut HashMap<TeamId, f64>, sorted: &mut Vec<Job>)
    where
        F: Fn(&TeamId) -> f64,
    {
        let mut teams: HashMap<TeamId, Turns> = HashMap::new();
        for job in group {
            let turn = || Turns::new(self.started.get(&job.team).copied().unwrap_or(0), weight(&job.team));
            match teams.get_mut(&job.team) {
                Some(turns) => turns.by_rank.push(Some(job)),
                None => teams.entry(job.team.clone()).or_insert_with(turn).by_rank.push(Some(job)),
            }
        }
        teams.values_mut().for_each(Turns::sort_by_age);
        let fair = 1.0 / teams.values().map(|it| it.weight).sum::<f64>().max(f64::MIN_POSITIVE);
        let level = |team: &TeamId, weight: f64, added: f64| (self.shares.weighted(team, weight, added) / fair * LEVELS) as u64;
        let mut heap: BinaryHeap<Reverse<(u64, i64, TeamId)>> = BinaryHeap::new();
        for (team, turns) in &mut teams {
            if let Some(rank) = turns.peek() {
                let added = added.get(team).copied().unwrap_or(0.0);
                heap.push(Reverse((level(team, turns.weight, added), rank, team.clone())));
            }
        }
        while let Some(Reverse((_, _, team))) = heap.pop() {
            let turns = teams.get_mut(&team).expect("the heap has teams of the map");
            let Some(job) = turns.next() else {
                continue;
            };
            let added = added.entry(team.clone()).or_default();
            *added += job.share;
            sorted.push(job);
            if let Some(rank) = turns.peek() {
                heap.push(Reverse((level(&team, turns.weight, *added), rank, team)));
            }
        }
    }
}

/// Jobs of a team in the order in which they are to be started.
#[derive(Debug)]
struct Turns {
    turn: u64,
    weight: f64,
    by_rank: Vec<Option<Job>>,
    next_by_rank: usize,
    /// Positions in `by_rank`, the oldest job first.
    by_age: Vec<usize>,
    next_by_age: usize,
}

impl Turns {
    fn new(turn: u64, weight: f64) -> Turns {
        Turns {
            turn,
            weight,
            by_rank: Vec::new(),
            next_by_rank: 0,
            by_age: Vec::new(),
            next_by_age: 0,
        }
    }

    fn sort_by_age(&mut self) {
        self.by_age = (0..self.by_rank.len()).collect();
        let received = |it: &usize| self.by_rank[*it].as_ref().map(|it| it.received_ms);
        self.by_age.sort_by_key(received);
    }

    /// Position of the next job in `by_rank`.
    fn next_position(&mut self) -> Option<usize> {
        let is_taken = |by_rank: &[Option<Job>], position: usize| by_rank.get(position).is_some_and(Option::is_none);
        while is_taken(&self.by_rank, self.next_by_rank) {
            self.next_by_rank += 1;
        }
        while self.by_age.get(self.next_by_age).is_some_and(|it| is_taken(&self.by_rank, *it)) {
            self.next_by_age += 1;
        }
        match (self.turn + 1).is_multiple_of(AGED_TURN) {
            true => self.by_age.get(self.next_by_age).copied(),
            false => Some(self.next_by_rank).filter(|it| *it < self.by_rank.len()),
        }
    }

    /// Rank of the next job. That of the oldest one is the lowest, so that its turn comes.
    fn peek(&mut self) -> Option<i64> {
        let position = self.next_position()?;
        match position == self.next_by_rank {
            true => self.by_rank[position].as_ref().map(Job::rank),
            false => Some(i64::MIN),
        }
    }

    fn next(&mut self) -> Option<Job> {
        let position = self.next_position()?;
        self.turn += 1;
        self.by_rank[position].take()
    }
}

/// Sorts the jobs of pools that have room for all work.
pub fn sort_by_urgency(jobs: &mut [Job]) {
    jobs.sort_by(|a, b| {
        let key = |it: &Job| (it.urgency, it.priority, it.is_new, it.rank());
        key(a).cmp(&key(b)).then_with(|| a.id.cmp(&b.id))
    });
}
