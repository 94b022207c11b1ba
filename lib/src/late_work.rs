//! Waiting work that can no longer meet its objective.
//!
//! Load pattern: after a power-off, or in overload, several pools have a backlog at once, and there
//! are not enough instances for all of them. A result in time is worth many times a late one, so
//! the coordinator serves the pool with the most work that can still be in time first. It has to
//! know how much of the reported waiting work cannot.

use std::collections::BTreeMap;

use crate::clock::Now;
use crate::id::PoolId;
use crate::scheduler::Scheduler;
use crate::waiting;

impl Scheduler {
    /// CPU of tasks that are ready but not placed, and whose jobs would miss their objective even
    /// if they were placed now, millicores. Pools without such tasks are left out.
    pub fn late_work(&self, now: Now) -> BTreeMap<PoolId, u64> {
        let now_ms = now.wall_ms();
        let mut late: BTreeMap<PoolId, u64> = BTreeMap::new();
        for id in &self.open_jobs {
            let record = &self.jobs[id].record;
            let spec = record.spec();
            if spec.is_long_running() {
                continue;
            }
            let arrived_ms = match spec.is_scheduled() {
                true => spec.start_at_ms.max(record.submission.received_ms),
                false => record.submission.received_ms,
            };
            let age_ms = now_ms.saturating_sub(arrived_ms);
            if age_ms.saturating_add(waiting::remaining_ms(record, |it| self.expected_ms(record, it))) <= self.objective_ms(record) {
                continue;
            }
            let waiting = record.startable_resources(now_ms).cpu;
            if 0 < waiting {
                let late = late.entry(record.submission.pool.clone()).or_default();
                *late = late.saturating_add(waiting);
            }
        }
        late
    }
}
