//! Workers that may take new tasks, by pool and free CPU.
//!
//! Load pattern: in its turn a queue starts thousands of tasks a second on a thousand
//! workers, most of which are full. A search through all workers for each task takes most
//! of the owner's processor time then; here the fullest worker with enough room is found
//! first.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::time::Duration;

use crate::id::{InstanceId, PoolId};
use crate::worker::Worker;

/// Workers in use, per worker that their tasks would fill, up to which one more is taken to keep
/// images apart. Keeping them apart costs at most a quarter more workers, and one.
const MAX_SPARSENESS: f64 = 1.25;

/// Workers of a pool in ascending order of free CPU.
#[derive(Debug, Default)]
struct Pool {
    by_free_cpu: BTreeSet<(u64, InstanceId)>,
    /// Workers with tasks: their number, CPU in use and capacity.
    in_use: (u64, u64, u64),
}

/// Workers in ascending order of free CPU, by pool. Rebuilt for each placement pass.
#[derive(Debug, Default)]
pub(crate) struct Candidates {
    by_pool: HashMap<PoolId, Pool>,
    /// Pools of which no worker is left out although the tasks of some made no progress.
    without_pauses: HashSet<PoolId>,
}

impl Candidates {
    /// Collects the workers that accept work now, without those that pause. If over half of a
    /// pool's workers do, the cause is not the workers, and none is left out.
    pub(crate) fn collect<'a, I>(now: Duration, workers: I) -> Candidates
    where
        I: IntoIterator<Item = &'a Worker>,
    {
        let mut candidates = Candidates::default();
        let mut paused: HashMap<&PoolId, Vec<&Worker>> = HashMap::new();
        for worker in workers.into_iter().filter(|it| it.accepts_work(now)) {
            match worker.is_paused(now) {
                true => paused.entry(&worker.listed.pool).or_default().push(worker),
                false => candidates.insert(worker),
            }
        }
        for (pool, workers) in paused {
            if candidates.by_pool.get(pool).map_or(0, |it| it.by_free_cpu.len()) < workers.len() {
                candidates.without_pauses.insert(pool.clone());
                workers.into_iter().for_each(|it| candidates.insert(it));
            }
        }
        candidates
    }

    /// Adds a worker again that has got a task, unless it now pauses until that makes progress.
    pub(crate) fn insert_again(&mut self, now: Duration, worker: &Worker) {
        if self.without_pauses.contains(&worker.listed.pool) || !worker.is_paused(now) {
            self.insert(worker);
        }
    }

    /// Adds a worker with its present free CPU.
    pub(crate) fn insert(&mut self, worker: &Worker) {
        let pool = self.by_pool.entry(worker.listed.pool.clone()).or_default();
        if pool.by_free_cpu.insert((free_cpu(worker), worker.listed.id.clone())) && !worker.runs.is_empty() {
            let (workers, used, capacity) = pool.in_use;
            pool.in_use = (workers + 1, used + worker.used.cpu, capacity + worker.listed.capacity.cpu);
        }
    }

    /// Removes a worker whose free CPU has not changed since it was added.
    pub(crate) fn remove(&mut self, worker: &Worker) {
        if let Some(pool) = self.by_pool.get_mut(&worker.listed.pool) {
            let is_removed = pool.by_free_cpu.remove(&(free_cpu(worker), worker.listed.id.clone()));
            if is_removed && !worker.runs.is_empty() {
                let (workers, used, capacity) = pool.in_use;
                pool.in_use = (
                    workers.saturating_sub(1),
                    used.saturating_sub(worker.used.cpu),
                    capacity.saturating_sub(worker.listed.capacity.cpu),
                );
            }
        }
    }

    /// Workers of a pool with at least this much free CPU, millicores, the fullest first.
    pub(crate) fn with_free_cpu(&self, pool: &PoolId, cpu: u64) -> impl Iterator<Item = &InstanceId> {
        let workers = self.by_pool.get(pool).into_iter();
        workers
            .flat_map(move |it| it.by_free_cpu.range((cpu, InstanceId::from(""))..))
            .map(|(_, id)| id)
    }

    /// Whether a worker without tasks may be used only to keep images apart: the tasks of a pool
    /// are on few more workers than they would fill.
    pub(crate) fn may_use_empty(&self, pool: &PoolId) -> bool {
        let (workers, used, capacity) = self.by_pool.get(pool).map_or((0, 0, 0), |it| it.in_use);
        if workers == 0 || capacity == 0 {
            return true;
        }
        let filled = (used as f64 * workers as f64 / capacity as f64).ceil();
        workers as f64 <= (MAX_SPARSENESS * filled).ceil()
    }
}

fn free_cpu(worker: &Worker) -> u64 {
    worker.listed.capacity.remaining_after(&worker.used).cpu
}
