//! Fixed seeds of the virtual-time check, and the schedules of failures found.

use std::time::Duration;

use oriole_bench::check::fault::{Fault, FaultSchedule, Location};
use oriole_bench::check::{self, SeedResult};
use oriole_bench::history::{EventKind, HistoryEvent};
use oriole_bench::standin::log::Mode;

/// Seeds that run in every test.
const SEEDS: std::ops::Range<u64> = 1..41;

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn assert_whole(verdict: &SeedResult) {
    assert!(
        verdict.violations.is_empty(),
        "seed {}: {:?}\nfaults: {:?}",
        verdict.seed,
        verdict.violations[0],
        verdict.faults
    );
    // A world in which nothing runs would keep every promise.
    assert!(
        verdict.submitted_jobs / 2 < verdict.done_jobs,
        "seed {}: {} of {} jobs done",
        verdict.seed,
        verdict.done_jobs,
        verdict.submitted_jobs
    );
}

#[test]
fn fixed_seeds_break_no_promise() {
    for seed in SEEDS {
        assert_whole(&check::run_seed(seed));
    }
}

#[test]
fn without_faults_nearly_everything_is_done() {
    let verdict = check::run_schedule(1, FaultSchedule::none());
    assert!(verdict.violations.is_empty(), "{:?}", verdict.violations);
    assert!(
        verdict.submitted_jobs * 9 < verdict.done_jobs * 10,
        "{} of {} jobs done",
        verdict.done_jobs,
        verdict.submitted_jobs
    );
}

/// An entry that stood still while the log was down must not start on what
/// waited in its buffers.
#[test]
fn a_pause_over_a_log_outage_starts_nothing_late() {
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
        assert_whole(&check::run_schedule(seed, schedule));
    }
}

/// Appends that stay under way for seconds carry old time stamps; ownership of
/// ids must not end by them.
#[test]
fn a_fence_that_was_long_under_way_does_not_double_a_run() {
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
        assert_whole(&check::run_schedule(seed, schedule.clone()));
    }
}

/// A job handed over by a paused entry is checked against its key once more.
#[test]
fn a_withdrawn_key_stops_jobs_that_come_from_a_paused_entry() {
    let schedule = FaultSchedule::new(vec![
        (ms(3_924), Fault::Pause { entry: 5, time: ms(5_420) }),
        (ms(3_924), Fault::Withdraw { team: 0 }),
    ]);
    for seed in [180, 191] {
        assert_whole(&check::run_schedule(seed, schedule.clone()));
    }
}

/// A zone is taken out while it is cut off, one way or both, or while start
/// requests are delayed in flight.
#[test]
fn a_zone_taken_out_while_cut_off_starts_nothing() {
    let out = (ms(8_000), Fault::ZoneOut { zone: 1, time: ms(12_000) });
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
            out.clone(),
        ],
        vec![
            cut(Location::Platform, zone, false),
            cut(Location::Zone(0), zone, false),
            out.clone(),
        ],
        vec![
            (
                ms(7_000),
                Fault::DelayStarts {
                    by: ms(4_000),
                    time: ms(9_000),
                },
            ),
            out.clone(),
        ],
        vec![(ms(7_900), Fault::Pause { entry: 2, time: ms(6_000) }), out],
    ];
    for (index, items) in schedules.into_iter().enumerate() {
        assert_whole(&check::run_schedule(900 + index as u64, FaultSchedule::new(items)));
    }
}

/// All entries are replaced one after the other: no request is cut.
#[test]
fn rolling_replacement_of_all_entries_cuts_no_request() {
    let stops = (0..6).map(|entry| (ms(4_000 + 4_000 * entry as u64), Fault::Stop { entry }));
    assert_whole(&check::run_schedule(77, FaultSchedule::new(stops.collect())));
}

/// Long repeatable tasks above a lowered cap are stopped where the tree says so.
#[test]
fn a_lowered_cap_sheds_what_may_be_repeated() {
    const SOAK: usize = 1;
    let cut_short = |schedule: FaultSchedule| {
        let verdict = check::run_schedule(5, schedule);
        assert!(verdict.violations.is_empty(), "{:?}", verdict.violations);
        let stopped = |it: &&HistoryEvent| it.kind == EventKind::End { whole: false } && (10_000..12_000).contains(&it.at_ms);
        verdict.history.iter().filter(stopped).count()
    };
    let lowered = FaultSchedule::new(vec![(ms(10_000), Fault::Cap { team: SOAK, slots: 0 })]);
    assert!(cut_short(FaultSchedule::none()) < cut_short(lowered));
}

/// A restriction whose record never follows ends, though entries pass it on.
#[test]
fn a_restriction_without_its_record_ends() {
    let verdict = check::run_schedule(6, FaultSchedule::new(vec![(ms(5_000), Fault::Restrict { zone: 1 })]));
    assert_whole(&verdict);
    let starts = |from, to| {
        let here = |it: &&HistoryEvent| matches!(&it.kind, EventKind::Start { zone, .. } if zone == "z1") && (from..to).contains(&it.at_ms);
        verdict.history.iter().filter(here).count()
    };
    assert_eq!(starts(5_100, 14_000), 0);
    assert!(0 < starts(17_000, 30_000));
}
