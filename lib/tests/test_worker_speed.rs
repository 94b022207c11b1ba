//! Judgements of the speed and progress of workers.

use std::time::Duration;

use oriolewall::worker_speed::{Progress, Speed, slow_limit, usual_ratio};

const STALL_TIMEOUT: Duration = Duration::from_millis(2500);

fn at(ms: u64) -> Duration {
    Duration::from_millis(100_000 + ms)
}

fn judged(ratios: &[f64], usual: Option<f64>) -> Speed {
    let mut speed = Speed::default();
    for ratio in ratios {
        speed.record(at(0), *ratio);
    }
    speed.judge(at(0), vec![], usual);
    speed
}

#[test]
fn a_worker_whose_runs_all_take_three_times_as_long_is_slow() {
    let slowdown = judged(&[3.0, 2.9, 3.1, 3.0, 2.8, 3.2], Some(1.0)).slowdown(at(0));
    assert_eq!(slowdown, Some(2.8));
}

#[test]
fn a_few_long_runs_do_not_make_a_worker_slow() {
    // Load: 3% of the tasks take seven times as long, and run times vary by a half.
    let ratios = [0.7, 7.0, 1.4, 7.0, 0.9, 1.5, 1.1, 0.6, 1.3, 7.0];
    assert_eq!(judged(&ratios, Some(1.0)).slowdown(at(0)), None);
    assert_eq!(judged(&[7.0; 5], Some(1.0)).slowdown(at(0)), None, "five runs are too few");
}

#[test]
fn a_worker_is_not_slow_if_similar_ones_are_as_slow_or_there_are_none() {
    // The estimate may be of tasks on faster workers of another kind.
    let usual = usual_ratio(vec![3.1, 2.9, 3.0, 3.0]);
    assert_eq!(judged(&[3.0; 8], usual).slowdown(at(0)), None);
    assert_eq!(judged(&[3.0; 8], usual_ratio(vec![1.0, 3.0])).slowdown(at(0)), None);
}

#[test]
fn runs_in_progress_show_that_a_worker_has_become_slow() {
    // Without them a worker that becomes seven times slower is found out after seven run times.
    let mut speed = judged(&[1.0; 16], Some(1.0));
    assert_eq!(speed.judge(at(500), vec![7.0; 8], Some(1.0)), Some(7.0));
    assert_eq!(speed.judge(at(1000), vec![7.0; 8], Some(1.0)), None, "it was known before");
}

#[test]
fn a_slow_worker_gets_work_again_after_a_time() {
    let mut speed = judged(&[3.0; 8], Some(1.0));
    assert!(speed.slowdown(at(9_900)).is_some());
    assert_eq!(speed.slowdown(at(10_000)), None);
    assert_eq!(speed.judge(at(10_000), vec![0.3; 8], Some(1.0)), None);
    for ratio in [1.0, 1.1, 0.9, 1.0, 1.0] {
        speed.record(at(11_000), ratio);
    }
    speed.judge(at(11_000), vec![], Some(1.0));
    assert_eq!(speed.slowdown(at(11_000)), None, "it is as fast as the others again");
    speed.judge(at(71_000), vec![], Some(1.0));
    assert_eq!(speed.median(), None, "runs count for a minute");
}

#[test]
fn the_limit_follows_the_slack_of_the_objective() {
    assert!((slow_limit(2100, 1000) - 1.55).abs() < 1e-9);
    assert!((slow_limit(1000, 1000) - 1.25).abs() < 1e-9);
    assert!((slow_limit(u64::MAX, 0) - 2.0).abs() < 1e-9);
}

#[test]
fn a_worker_pauses_for_longer_each_time_that_none_of_its_tasks_makes_progress() {
    let mut progress = Progress::default();
    let mut now = at(0);
    for pause_ms in [4_000, 8_000, 16_000, 16_000] {
        assert!(progress.stalled(now, STALL_TIMEOUT));
        assert_eq!(progress.retry_at(), Some(now + Duration::from_millis(pause_ms)));
        assert!(!progress.stalled(now, STALL_TIMEOUT), "the pause has just begun");
        now += Duration::from_millis(pause_ms) + STALL_TIMEOUT;
    }
    progress.advanced(now);
    assert_eq!(progress.retry_at(), None);
}

#[test]
fn a_worker_with_one_hanging_task_among_others_does_not_pause() {
    // A task that hangs on every worker would otherwise take one worker after the other out of use.
    let mut progress = Progress::default();
    progress.advanced(at(0));
    assert!(!progress.stalled(at(2_000), STALL_TIMEOUT));
    assert_eq!(progress.retry_at(), None);
}
