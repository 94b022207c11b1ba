//! Processor time of a placement pass with jobs that cannot be placed.
//!
//! The pool has 100 workers of 64 cores. Passes are timed once the jobs are in the log.

use std::sync::Arc;
use std::time::{Duration, Instant};

use oriolewall::clock::Now;
use oriolewall::job_record::{Request, Submission};
use oriolewall::order::{Action, OrderOutcome, WorkerStatus};
use oriolewall::resources::Resources;
use oriolewall::scheduler::Scheduler;
use oriolewall::spec::{JobSpec, Step};
use oriolewall::worker::ListedWorker;
use serde_json::json;

use super::{ScenarioResult, owner};

const WORKERS: usize = 100;
/// Polls before the jobs are added, and polls without a start order before the timed ones.
const WARM_UP: u32 = 20;
/// Number of timed polls.
const PASSES: u32 = 40;
/// More than the time between two commits.
const INTERVAL: Duration = Duration::from_millis(30);

/// Why the jobs cannot be placed.
#[derive(Clone, Copy, Debug)]
enum Reason {
    /// All workers are full.
    FullPool,
    /// No worker has the label.
    Label,
    /// There are more tasks than workers, and one per worker is allowed.
    Spread,
    /// A gang has more members than fit.
    Gang,
    /// Each job needs other amounts, which no worker has free.
    Size,
}

fn submission(now: Now, step: Step) -> Request {
    Request::Submit(Submission {
        queue: Arc::from("queue"),
        pool: Arc::from("pool"),
        team: Arc::from("team"),
        received_ms: now.wall_ms(),
        spec: Arc::new(JobSpec {
            payload: Arc::from("payload"),
            steps: vec![step],
            ..JobSpec::default()
        }),
        origin: None,
    })
}

fn step(count: u32, cpu: u64, mem: u64) -> Step {
    Step {
        count,
        need: Resources { cpu, mem, gpu: 0 },
        estimate_ms: 1000,
        lasting: true,
        ..Step::default()
    }
}

/// Returns the mean time of a pass with this number of blocked jobs.
fn pass_time(reason: Reason, jobs: usize) -> Duration {
    let mut now = Now {
        mono: Duration::from_secs(100),
        wall: Duration::from_secs(1_700_000_000),
    };
    let mut scheduler = Scheduler::new(owner::limits(), now, now.mono);
    scheduler.set_catalog(Arc::new(owner::catalog()));
    let listed: Vec<ListedWorker> = (0..WORKERS).map(owner::listed).collect();
    scheduler.set_workers(now, listed);
    if matches!(reason, Reason::FullPool) {
        let full = submission(now, step(WORKERS as u32, 64_000, 1));
        scheduler.add_request(now, Arc::from("full"), full);
    }
    let mut spent = Duration::ZERO;
    let mut polls = 0;
    let mut quiet_polls = 0;
    let mut timed = 0;
    while timed < PASSES {
        now.mono += INTERVAL;
        now.wall += INTERVAL;
        polls += 1;
        quiet_polls += 1;
        if polls == WARM_UP {
            quiet_polls = 0;
            for index in 0..jobs {
                let blocked = match reason {
                    Reason::FullPool => step(8, 1500, 100),
                    Reason::Label => Step {
                        label: Arc::from("none"),
                        ..step(8, 1500, 100)
                    },
                    Reason::Spread => Step {
                        spread: 1,
                        label: Arc::from("r0"),
                        ..step(21, 0, 0)
                    },
                    Reason::Gang => Step {
                        gang: true,
                        ..step(101, 40_000, 100)
                    },
                    Reason::Size => step(1, 1000 + index as u64, 1_000_000 - index as u64),
                };
                scheduler.add_request(now, Arc::from(format!("{index:016x}")), submission(now, blocked));
            }
        }
        let began = Instant::now();
        let mut actions = scheduler.poll(now);
        if WARM_UP < polls && WARM_UP < quiet_polls {
            timed += 1;
            spent += began.elapsed();
        }
        while let Some(action) = actions.pop() {
            match action {
                Action::Commit(_) => {
                    scheduler.commit_confirmed(now);
                    actions.extend(scheduler.poll(now));
                }
                Action::Start(order) => {
                    quiet_polls = 0;
                    let clock_ms = now.mono.as_millis() as u64;
                    scheduler.start_answered(now, &order.worker, &order.key, order.contact, OrderOutcome::Done { clock_ms });
                }
                Action::FetchStatus { worker, contact, wait, .. } if wait.is_zero() => {
                    let status = WorkerStatus {
                        clock_ms: now.mono.as_millis() as u64,
                        started_ms: 1000,
                        active: Vec::new(),
                        ended: Vec::new(),
                        has_unreadable_rows: false,
                    };
                    scheduler.status_received(now, &worker, contact, status);
                }
                _ => {}
            }
        }
    }
    spent / PASSES
}

/// Measures a pass for each reason and several numbers of jobs.
pub fn run(seed: u64) -> ScenarioResult {
    let row = |reason: Reason| {
        let times = [10, 100, 1000, 10_000].map(|jobs| (jobs.to_string(), json!(pass_time(reason, jobs).as_micros() as u64)));
        json!({ "reason": format!("{reason:?}"), "us_per_pass": serde_json::Map::from_iter(times) })
    };
    let reasons = [Reason::FullPool, Reason::Label, Reason::Spread, Reason::Gang, Reason::Size];
    ScenarioResult {
        scenario: "blocked",
        seed,
        broken: 0,
        product: json!(reasons.map(row)),
        baselines: json!({}),
    }
}
