//! Failed searches for a worker, and the limit on repeating them.
//!
//! Load pattern: jobs of which a task has no place for a reason of their own (a label, the limit
//! of tasks per worker, a missing approval, a gang or a task larger than the room on any worker)
//! wait for minutes beside jobs that could run, and a queue in its peak has thousands of jobs that
//! wait for a full pool. A limit on the number of blocked jobs of a pool lets the former keep the
//! latter from running; without any limit a pass searches all workers for each waiting job.
//!
//! Room only shrinks during a pass, so what a search did not find is not searched for again in
//! the same pass. That settles all tasks without constraints of their own; the remaining searches
//! are repeated within a budget, those that are longest ago first.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use smallvec::SmallVec;

use crate::id::PoolId;
use crate::job_record::JobKey;
use crate::resources::Resources;
use crate::spec::Step;

/// Most workers that a pass visits in constrained searches that have failed before, and again in
/// such searches that fail for the first time.
const SEARCH_BUDGET: usize = 20_000;
/// Most amounts that are remembered for one kind of worker. More would make each check slower
/// than the searches that it saves.
const MAX_FAILED_NEEDS: usize = 16;

/// Smallest amounts for which no worker was found.
type FailedNeeds = SmallVec<[Resources; 2]>;

/// Searches of the current pass, in one pool, that found no worker.
#[derive(Debug, Default)]
struct PoolFailures {
    /// Those for any worker.
    any: FailedNeeds,
    /// Those for workers with a label, or that run best-effort tasks at full speed.
    by_kind: HashMap<(Arc<str>, bool), FailedNeeds>,
}

/// A job with a constrained search that failed.
#[derive(Clone, Copy, Debug)]
struct Failure {
    /// Pass of the latest search.
    pass: u64,
    /// Number of workers that it visited.
    cost: usize,
}

/// Searches of the current pass, and failed ones of earlier passes.
#[derive(Debug, Default)]
pub(crate) struct Searches {
    pass: u64,
    failed: HashMap<PoolId, PoolFailures>,
    /// Jobs whose latest constrained search failed.
    failures: HashMap<JobKey, Failure>,
    /// Those of them that are not searched for in the current pass.
    deferred: HashSet<JobKey>,
    /// Cost of the searches that failed for the first time in the current pass.
    spent: usize,
}

impl Searches {
    /// Begins a pass and chooses the failed searches that it repeats. Forgets the jobs that are
    /// not open any more.
    pub(crate) fn begin_pass<F>(&mut self, is_open: F)
    where
        F: Fn(&JobKey) -> bool,
    {
        self.pass += 1;
        self.failed.clear();
        self.deferred.clear();
        self.spent = 0;
        self.failures.retain(|job, _| is_open(job));
        if self.failures.values().map(|it| it.cost).sum::<usize>() <= SEARCH_BUDGET {
            return;
        }
        let mut oldest_first: Vec<(u64, &JobKey, usize)> = self.failures.iter().map(|(job, it)| (it.pass, job, it.cost)).collect();
        oldest_first.sort_unstable();
        let mut cost = 0;
        for (_, job, job_cost) in oldest_first {
            // The first one is searched for whatever it costs.
            if cost != 0 && SEARCH_BUDGET < cost + job_cost {
                self.deferred.insert(job.clone());
            }
            cost += job_cost;
        }
    }

    /// Whether the current pass has found no worker for a task that needs no more than this one
    /// and has the same label or none.
    pub(crate) fn is_known_to_fail(&self, pool: &PoolId, step: &Step) -> bool {
        let Some(failed) = self.failed.get(pool) else {
            return false;
        };
        let need = step.reserved();
        let fails = |label: &Arc<str>, fill: bool| {
            let failed = failed.by_kind.get(&(label.clone(), fill));
            failed.is_some_and(|it| contains_any(&need, it))
        };
        contains_any(&need, &failed.any)
            || !step.label.is_empty() && fails(&step.label, false)
            || step.fill && (fails(&Arc::from(""), true) || fails(&step.label, true))
    }

    /// Whether the current pass has found no worker for an amount that is contained in `floor`.
    pub(crate) fn is_exhausted(&self, pool: &PoolId, floor: &Resources) -> bool {
        self.failed.get(pool).is_some_and(|it| contains_any(floor, &it.any))
    }

    /// Whether a constrained search for a job is made in the current pass.
    pub(crate) fn may_search(&self, job: &JobKey) -> bool {
        match self.failures.contains_key(job) {
            true => !self.deferred.contains(job),
            false => self.spent < SEARCH_BUDGET,
        }
    }

    /// Records that there is no worker for a task without constraints of its own.
    pub(crate) fn add_failed_need(&mut self, pool: &PoolId, step: &Step) {
        let need = step.reserved();
        let failed = self.failed.entry(pool.clone()).or_default();
        let failed = match step.label.is_empty() && !step.fill {
            true => &mut failed.any,
            false => failed.by_kind.entry((step.label.clone(), step.fill)).or_default(),
        };
        failed.retain(|it| !it.contains(&need));
        if failed.len() < MAX_FAILED_NEEDS {
            failed.push(need);
        }
    }

    /// Records that a constrained search failed after it visited this number of workers.
    pub(crate) fn add_failure(&mut self, job: &JobKey, cost: usize) {
        let pass = self.pass;
        let is_first = !self.failures.contains_key(job);
        let failure = self.failures.entry(job.clone()).or_insert(Failure { pass, cost: 0 });
        if failure.pass != pass {
            *failure = Failure { pass, cost: 0 };
        }
        failure.cost += cost;
        if is_first {
            self.spent += cost;
        }
    }

    /// Forgets a failed search: it succeeded, or its reason may be gone.
    pub(crate) fn forget(&mut self, job: &JobKey) {
        self.failures.remove(job);
    }
}

/// Whether an amount contains one of those in the list.
fn contains_any(need: &Resources, amounts: &FailedNeeds) -> bool {
    amounts.iter().any(|it| need.contains(it))
}
