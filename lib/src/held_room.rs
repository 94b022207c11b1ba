//! Room that is kept free for a task that does not fit while smaller ones do.
//!
//! Load pattern: a pool is full of small tasks, and whenever one ends another one fits into its
//! room. A task that needs more than one of them frees never finds room, however early its job is
//! in the order. Once more than [`MAX_PASSED_OVER`] other jobs were started meanwhile, one worker
//! gets no other tasks until the task fits.

use std::time::Duration;

use crate::id::InstanceId;
use crate::job_record::JobKey;

/// Most jobs that are started while a job that was the first in the order has no room. Room that is
/// kept free is not used meanwhile; by this number of jobs, a task that needs a little more room
/// than one that ends has found it.
const MAX_PASSED_OVER: usize = 8;
/// Most jobs of a pool that are observed. All but the large ones are placed in the next passes.
const MAX_JOBS: usize = 8;

/// Longest time for which room is kept free at a stretch. Jobs whose tasks would fit there must not
/// wait for 3 s because of it.
const MAX_HOLD: Duration = Duration::from_secs(2);

/// A job that was the first one in the order and had no room.
#[derive(Clone, Debug)]
struct Blocked {
    job: JobKey,
    /// Number of jobs that were placed since.
    passed_over: usize,
    /// Worker that is kept free for it.
    worker: Option<InstanceId>,
    /// Since when a worker is kept free for it.
    held_since: Option<Duration>,
}

/// For which job of a pool room is kept free.
#[derive(Debug, Default)]
pub struct HeldRoom {
    jobs: Vec<Blocked>,
}

impl HeldRoom {
    /// Records that a job that comes before all others without room found none that it could have
    /// on an empty worker.
    pub fn job_blocked(&mut self, job: &JobKey) {
        if self.jobs.len() < MAX_JOBS && self.jobs.iter().all(|it| it.job != *job) {
            self.jobs.push(Blocked {
                job: job.clone(),
                passed_over: 0,
                worker: None,
                held_since: None,
            });
        }
    }

    /// Records that tasks of a job were placed, and that none remain that may run.
    pub fn job_placed(&mut self, job: &JobKey) {
        self.jobs.retain(|it| it.job != *job);
        self.jobs.iter_mut().for_each(|it| it.passed_over += 1);
    }

    /// Keeps a worker free for a job. Returns whether it is another one than before; `None` if
    /// workers have been kept free for too long, and none is until other jobs pass it over again.
    pub fn hold(&mut self, now: Duration, job: &JobKey, worker: &InstanceId) -> Option<bool> {
        let blocked = self.jobs.iter_mut().find(|it| it.job == *job)?;
        if *blocked.held_since.get_or_insert(now) + MAX_HOLD < now {
            blocked.passed_over = 0;
            blocked.worker = None;
            blocked.held_since = None;
            return None;
        }
        let before = blocked.worker.replace(worker.clone());
        Some(before.as_ref() != Some(worker))
    }

    /// Forgets the jobs that wait no more.
    pub fn retain<F>(&mut self, is_waiting: F)
    where
        F: Fn(&JobKey) -> bool,
    {
        self.jobs.retain(|it| is_waiting(&it.job));
    }

    /// The job that is placed before all others, and for which a worker is kept free if that
    /// fails; `None` if there is none.
    pub fn job(&self) -> Option<&JobKey> {
        let passed_over = self.jobs.iter().find(|it| MAX_PASSED_OVER < it.passed_over);
        passed_over.map(|it| &it.job)
    }
}
