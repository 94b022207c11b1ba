//! Throttling of best-effort (`fill`) tasks, so that long-running tasks on the same
//! worker meet their response time targets.

use std::time::Duration;

use crate::clock::Now;
use crate::id::InstanceId;
use crate::order::{Action, ActiveRun};
use crate::scheduler::Scheduler;
use crate::worker::{RunKey, RunPhase};

/// Ratio of response time to target above which best-effort tasks are slowed down.
/// Response times vary by a tenth between two statuses.
const SLOW_DOWN_ABOVE: f64 = 0.9;
/// Ratio of response time to target below which they may speed up again.
const SPEED_UP_BELOW: f64 = 0.6;
/// Minimum time between two speed changes; measurements cover the last half second.
const ADJUST_INTERVAL: Duration = Duration::from_millis(600);
/// Increase of the speed in one change, percent of full speed.
const SPEED_UP_STEP: u32 = 20;
/// Lowest speed before best-effort tasks are suspended, percent of full speed.
const MIN_SPEED: u32 = 15;

impl Scheduler {
    /// Adjusts the speed of best-effort tasks on a worker to the response times that its
    /// long-running tasks report. Without such tasks they run at full speed.
    pub(crate) fn throttle(&mut self, now: Now, id: &InstanceId, active: &[ActiveRun]) {
        let mut worst_ratio: Option<f64> = None;
        for active_run in active {
            let task = &active_run.key.task;
            let Some(step) = self.jobs.get(&task.job).and_then(|it| it.record.find_step(task.step)) else {
                continue;
            };
            if let (true, Some(response_ms)) = (0 < step.target_ms, active_run.measurement) {
                let ratio = response_ms as f64 / step.target_ms as f64;
                worst_ratio = Some(worst_ratio.map_or(ratio, |it| it.max(ratio)));
            }
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let speed_percent = match worst_ratio {
            None => 100,
            Some(_) if now.mono < worker.speed_changed_at + ADJUST_INTERVAL => worker.speed_percent,
            Some(ratio) if SLOW_DOWN_ABOVE < ratio && worker.speed_percent / 2 < MIN_SPEED => 0,
            Some(ratio) if SLOW_DOWN_ABOVE < ratio => worker.speed_percent / 2,
            Some(ratio) if ratio < SPEED_UP_BELOW => (worker.speed_percent + SPEED_UP_STEP).min(100),
            Some(_) => worker.speed_percent,
        };
        if speed_percent != worker.speed_percent {
            worker.speed_percent = speed_percent;
            worker.speed_changed_at = now.mono;
        }
        let mut changed: Vec<RunKey> = Vec::new();
        for (key, run) in &mut worker.runs {
            let step = self.jobs.get(&key.task.job).and_then(|it| it.record.find_step(key.task.step));
            let is_best_effort = step.is_some_and(|it| it.fill && !it.lasting);
            if is_best_effort && run.phase == RunPhase::Active && run.speed_percent != Some(speed_percent) {
                run.speed_percent = Some(speed_percent);
                changed.push(key.clone());
            }
        }
        let contact = worker.contact;
        for key in changed {
            self.actions.push(Action::SetSpeed {
                worker: id.clone(),
                contact,
                key,
                percent: speed_percent,
            });
        }
    }
}
