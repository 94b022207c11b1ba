//! Simulations of fixed seeds, and of fault schedules in which failures were found.

use std::time::Duration;

use oriole_bench::check::fault::{Fault, FaultSchedule, Location};
use oriole_bench::check::{self, SeedResult};
use oriole_bench::history::{EventKind, HistoryEvent};
use oriole_bench::standin::log::Mode;

/// Seeds that are simulated with random faults.
const SEEDS: std::ops::Range<u64> = 1..41;

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// Asserts that a run violated no guarantee and that more than half of its jobs are done.
fn assert_passed(result: &SeedResult) {
    assert!(
        result.violations.is_empty(),
        "seed {}: {:?}\nfaults: {:?}",
        result.seed,
        result.violations[0],
        result.faults
    );
    // A simulation in which nothing runs would violate no guarantee.
    assert!(
        result.submitted_jobs / 2 < result.done_jobs,
        "seed {}: {} of {} jobs done",
        result.seed,
        result.done_jobs,
        result.submitted_jobs
    );
}

#[test]
fn fixed_seeds_violate_no_guarantee() {
    for seed in SEEDS {
        assert_passed(&check::run_seed(seed));
    }
}

#[test]
fn nearly_all_jobs_are_done_without_faults() {
    let result = check::run_schedule(1, FaultSchedule::none());
    assert!(result.violations.is_empty(), "{:?}", result.violations);
    assert!(
        result.submitted_jobs * 9 < result.done_jobs * 10,
        "{} of {} jobs done",
        result.done_jobs,
        result.submitted_jobs
    );
}

/// An entry instance that is paused while the log is down must not start tasks
/// because of input that waited in its buffers until it resumed.
#[test]
fn a_pause_during_a_log_outage_causes_no_late_starts() {
    for seed in [371, 372, 373] {
        let schedule = FaultSchedule::new(vec![
            (ms(3_000), Fault::Pause { entry: 5, time: ms(7_988) }),
            (
                ms(3_000),
                Fault::Log {
                    mode: Mode::Down,
                    time: ms(4_056),
                },
            ),
        ]);
        assert_passed(&check::run_schedule(seed, schedule));
    }
}

/// Records that are appended seconds after they were written carry old time stamps.
/// The time stamp of such a record must not end the ownership of job ids: a job that
/// must not be repeated would run twice.
#[test]
fn a_delayed_fence_record_causes_no_second_run() {
    let schedule = FaultSchedule::new(vec![
        (ms(18_994), Fault::Pause { entry: 4, time: ms(6_185) }),
        (
            ms(18_994),
            Fault::Log {
                mode: Mode::LoseAnswers,
                time: ms(4_947),
            },
        ),
    ]);
    for seed in [18, 51] {
        assert_passed(&check::run_schedule(seed, schedule.clone()));
    }
}

/// An entry instance that was paused may hand over a job although its key has been
/// withdrawn in the meantime. The receiver must check the key again.
#[test]
fn a_withdrawn_key_stops_jobs_from_a_paused_entry() {
    let schedule = FaultSchedule::new(vec![
        (ms(3_924), Fault::Pause { entry: 5, time: ms(5_420) }),
        (ms(3_924), Fault::Withdraw { team: 0 }),
    ]);
    for seed in [180, 191] {
        assert_passed(&check::run_schedule(seed, schedule.clone()));
    }
}

/// Tasks must not start in a zone that is taken out of service while the zone is cut
/// off in both directions or in one, while start requests are delayed in flight, or
/// while one of its entry instances is paused.
#[test]
fn a_zone_taken_out_during_a_fault_starts_nothing() {
    let zone_out = (ms(8_000), Fault::ZoneOut { zone: 1, time: ms(12_000) });
    let cut = |from, to, both| {
        (
            ms(7_000),
            Fault::Cut {
                from,
                to,
                both,
                time: ms(9_000),
            },
        )
    };
    let zone = Location::Zone(1);
    let schedules = [
        vec![
            cut(zone, Location::Platform, true),
            cut(zone, Location::Zone(0), true),
            cut(zone, Location::Zone(2), true),
            zone_out.clone(),
        ],
        vec![
            cut(Location::Platform, zone, false),
            cut(Location::Zone(0), zone, false),
            zone_out.clone(),
        ],
        vec![
            (
                ms(7_000),
                Fault::DelayStarts {
                    by: ms(4_000),
                    time: ms(9_000),
                },
            ),
            zone_out.clone(),
        ],
        vec![(ms(7_900), Fault::Pause { entry: 2, time: ms(6_000) }), zone_out],
    ];
    for (index, faults) in schedules.into_iter().enumerate() {
        assert_passed(&check::run_schedule(900 + index as u64, FaultSchedule::new(faults)));
    }
}

/// All entry instances are stopped gracefully and restarted, one after the other.
#[test]
fn rolling_restart_of_all_entries_breaks_no_request() {
    let stops = (0..6).map(|entry| (ms(4_000 + 4_000 * entry as u64), Fault::Stop { entry }));
    assert_passed(&check::run_schedule(77, FaultSchedule::new(stops.collect())));
}

/// The setting `over_cap` of the team makes entry instances stop its repeatable tasks
/// that exceed a lowered cap.
#[test]
fn a_lowered_cap_stops_repeatable_tasks() {
    const SOAK: usize = 1;
    let count_stopped = |schedule: FaultSchedule| {
        let result = check::run_schedule(5, schedule);
        assert!(result.violations.is_empty(), "{:?}", result.violations);
        let is_stopped_task = |it: &&HistoryEvent| it.kind == EventKind::End { whole: false } && (10_000..12_000).contains(&it.at_ms);
        result.history.iter().filter(is_stopped_task).count()
    };
    let lowered = FaultSchedule::new(vec![(ms(10_000), Fault::Cap { team: SOAK, slots: 0 })]);
    assert!(count_stopped(FaultSchedule::none()) < count_stopped(lowered));
}

/// A hold on a zone whose record never follows expires, although entry instances
/// forward it to each other.
#[test]
fn a_hold_without_its_record_expires() {
    let result = check::run_schedule(6, FaultSchedule::new(vec![(ms(5_000), Fault::Restrict { zone: 1 })]));
    assert_passed(&result);
    let count_starts = |from, to| {
        let is_start_in_zone =
            |it: &&HistoryEvent| matches!(&it.kind, EventKind::Start { zone, .. } if zone == "z1") && (from..to).contains(&it.at_ms);
        result.history.iter().filter(is_start_in_zone).count()
    };
    assert_eq!(count_starts(5_100, 14_000), 0);
    assert!(0 < count_starts(17_000, 30_000));
}
