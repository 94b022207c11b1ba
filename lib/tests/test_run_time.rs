//! Run times learned from completed runs.

use std::sync::Arc;

use oriolewall::run_time::{Class, RunTimes};

fn class(image: &str) -> Class {
    Class {
        queue: Arc::from("queue"),
        step: 0,
        image: Arc::from(image),
    }
}

fn learn(runs: impl IntoIterator<Item = (u64, u64)>) -> RunTimes {
    let mut times = RunTimes::default();
    for (submitted_ms, elapsed_ms) in runs {
        times.record(class("image"), submitted_ms, elapsed_ms);
    }
    times
}

fn median_ms(times: &RunTimes, submitted_ms: u64) -> Option<u64> {
    times.estimate(&class("image"), submitted_ms).map(|it| it.p50_ms)
}

#[test]
fn nothing_is_estimated_from_a_few_runs_or_from_other_images() {
    // A plan made from the first run of a class would follow that run, however exceptional it is.
    assert_eq!(median_ms(&learn(vec![(1000, 400); 7]), 1000), None);
    let times = learn(vec![(1000, 400); 8]);
    assert_eq!(median_ms(&times, 1000), Some(400));
    assert_eq!(times.estimate(&class("other"), 1000), None);
}

#[test]
fn a_few_long_tasks_do_not_move_the_estimate() {
    // Load: 3% of the tasks take seven times as long. A mean would be off by a fifth.
    let times = learn((0..200).map(|it| (1000, if it % 33 == 0 { 7000 } else { 990 + it % 20 })));
    let estimate = times.estimate(&class("image"), 1000).unwrap();
    assert!((990..=1010).contains(&estimate.p50_ms), "{estimate:?}");
    assert!(estimate.p90_ms < 1100, "{estimate:?}");
    assert_eq!(estimate.count, 64);
}

#[test]
fn submitted_times_that_are_off_by_the_same_factor_are_corrected() {
    // Load: callers submit ten times the run time, for tasks of different lengths.
    let times = learn((1..40).map(|it| (1000 * it, 100 * it)));
    assert_eq!(median_ms(&times, 5000), Some(500));
    assert_eq!(median_ms(&times, 30_000), Some(3000));
}

#[test]
fn submitted_times_that_say_nothing_are_ignored() {
    // Load: run times are alike, and the submitted ones are off by nine tenths either way.
    let times = learn((0..60).map(|it| (100 + 30 * it, 980 + it)));
    for submitted_ms in [0, 100, 1000, 1900] {
        let median = median_ms(&times, submitted_ms).unwrap();
        assert!((950..1050).contains(&median), "{median} for {submitted_ms}");
    }
}

#[test]
fn changed_run_times_replace_the_earlier_ones() {
    // An estimate over the whole history would stay wrong for as long as it was right before.
    let times = learn((0..1000).map(|it| (1000, if it < 936 { 1000 } else { 3000 })));
    assert_eq!(median_ms(&times, 1000), Some(3000));
}

#[test]
fn the_state_is_bounded_by_classes_and_keeps_the_ones_in_use() {
    // Load: callers use a new image for every job, beside one that all others use.
    let mut times = RunTimes::default();
    for number in 0..5000 {
        times.record(class(&format!("image{number}")), 1000, 1000);
        times.record(class("image"), 1000, 400);
    }
    assert_eq!(times.class_count(), 1024);
    assert_eq!(median_ms(&times, 1000), Some(400));
}

#[test]
fn an_estimate_lies_within_the_observed_times_and_ignores_a_minority() {
    bolero::check!()
        .with_type::<(Vec<(u16, u16)>, u16)>()
        .for_each(|(exceptions, usual_ms)| {
            let usual_ms = u64::from(*usual_ms) + 1;
            let runs = exceptions
                .iter()
                .map(|(submitted, elapsed)| (u64::from(*submitted), u64::from(*elapsed)));
            let times = learn(runs.clone());
            if let Some(estimate) = times.estimate(&class("image"), 0) {
                let elapsed = exceptions.iter().map(|(_, elapsed)| u64::from(*elapsed).max(1));
                assert!(elapsed.clone().min().unwrap() <= estimate.p50_ms + 1);
                assert!(estimate.p50_ms <= elapsed.max().unwrap() + 1);
                assert!(estimate.p50_ms <= estimate.p90_ms);
            }
            let few: Vec<(u64, u64)> = runs.take(20).collect();
            let times = learn(few.into_iter().chain(vec![(0, usual_ms); 44]));
            let median = median_ms(&times, 0).unwrap();
            assert!(median.abs_diff(usual_ms) <= 1, "{median} for {usual_ms}");
        });
}
