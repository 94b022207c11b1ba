//! Throttling of tasks that fill, so that lasting tasks beside them stay below
//! their response times.

use std::time::Duration;

use crate::clock::Now;
use crate::id::InstanceId;
use crate::order::{Action, ActiveRun};
use crate::scheduler::Scheduler;
use crate::worker::{RunKey, RunPhase};

/// Part of the target from which tasks that fill are slowed down.
/// Response times vary by a tenth between two looks.
const SLOW_ABOVE: f64 = 0.9;
/// Part of the target below which they may speed up again.
const SPEED_BELOW: f64 = 0.6;
/// Time between two changes; the figures cover the last half second.
const SETTLE: Duration = Duration::from_millis(600);
/// Speed regained in one change, percent.
const REGAIN: u32 = 20;
/// Speed below which they stand still, percent.
const LEAST: u32 = 15;

impl Scheduler {
    /// Sets the speed of tasks that fill on a worker by what its lasting tasks show.
    pub(crate) fn throttle(&mut self, now: Now, id: &InstanceId, active: &[ActiveRun]) {
        let mut worst: Option<f64> = None;
        for shown in active {
            let Some(tracked) = self.jobs.get(&shown.key.task.job) else {
                continue;
            };
            let step = tracked.record.step(shown.key.task.step);
            if let (true, Some(figure)) = (0 < step.target_ms, shown.measurement) {
                let part = figure as f64 / step.target_ms as f64;
                worst = Some(worst.map_or(part, |it| it.max(part)));
            }
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let pace = match worst {
            None => 100,
            Some(_) if now.mono < worker.speed_changed_at + SETTLE => worker.speed_percent,
            Some(part) if SLOW_ABOVE < part && worker.speed_percent / 2 < LEAST => 0,
            Some(part) if SLOW_ABOVE < part => worker.speed_percent / 2,
            Some(part) if part < SPEED_BELOW => (worker.speed_percent + REGAIN).min(100),
            Some(_) => worker.speed_percent,
        };
        if pace != worker.speed_percent {
            worker.speed_percent = pace;
            worker.speed_changed_at = now.mono;
        }
        let mut changed: Vec<RunKey> = Vec::new();
        for (key, run) in &mut worker.runs {
            let step = self.jobs.get(&key.task.job).map(|it| it.record.step(key.task.step));
            let fills = step.is_some_and(|it| it.fill && !it.lasting);
            if fills && run.phase == RunPhase::Active && run.speed_percent != pace {
                run.speed_percent = pace;
                changed.push(key.clone());
            }
        }
        for key in changed {
            self.actions.push(Action::SetSpeed {
                worker: id.clone(),
                key,
                percent: pace,
            });
        }
    }
}
