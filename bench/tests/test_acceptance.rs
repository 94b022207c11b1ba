//! Acceptance by one pool under the load of a turn, at several times that load, and while the
//! log is slow, refuses appends or an appender is paused.

use oriole_bench::measure::acceptance::{self, Load, Outcome};

fn assert_true_answers(load: Load, outcome: Outcome) {
    assert_eq!(outcome.broken, 0, "untrue answers with {load:?}: {outcome:?}");
}

#[test]
fn acceptance_is_fast_on_a_calm_day() {
    let outcome = acceptance::ranked(Load::new(100, 150), 1);
    assert!(outcome.wait_ms.1 < 40, "{outcome:?}");
}

#[test]
fn acceptance_keeps_up_with_three_times_the_largest_turn() {
    for seed in 1..4 {
        for rate in [440, 1300] {
            let outcome = acceptance::ranked(Load::new(rate, 150), seed);
            assert!(outcome.offered * 95 <= outcome.accepted * 100, "{outcome:?}");
            assert!(outcome.wait_ms.0 < 40, "{outcome:?}");
        }
    }
}

#[test]
fn acceptance_goes_on_while_the_log_is_slow_and_recovers_at_once() {
    // One appender carries all that waits in each append, so everything can be accepted; an
    // instance restarts every 100 ms and has to find the log slow again.
    for (answer_ms, rate, instances) in [(40, 440, 150), (120, 1300, 40), (320, 100, 40), (320, 1300, 150)] {
        let load = Load::new(rate, instances).slow(answer_ms);
        let outcome = acceptance::ranked(load, 1);
        assert_true_answers(load, outcome);
        assert!(
            outcome.offered_while_slow * 95 <= outcome.accepted_while_slow * 100,
            "{load:?}: {outcome:?}"
        );
        assert_eq!(outcome.unknown, 0, "no answer was lost with {load:?}: {outcome:?}");
        assert!(outcome.recovered_ms < 40, "{load:?}: {outcome:?}");
    }
}

#[test]
fn a_pause_of_the_best_appender_while_the_log_is_slow_loses_nothing() {
    for answer_ms in [120, 320] {
        let load = Load {
            pauses_appender: true,
            ..Load::new(440, 150).slow(answer_ms)
        };
        let outcome = acceptance::ranked(load, 1);
        assert_true_answers(load, outcome);
        assert!(
            outcome.offered_while_slow * 90 <= outcome.accepted_while_slow * 100,
            "{load:?}: {outcome:?}"
        );
        assert!(outcome.recovered_ms < 40, "{load:?}: {outcome:?}");
    }
}

#[test]
fn requests_wait_while_the_log_refuses_appends() {
    let load = Load {
        refuses: true,
        ..Load::new(440, 40)
    };
    let outcome = acceptance::ranked(load, 1);
    assert_true_answers(load, outcome);
    assert!(outcome.offered * 95 <= outcome.accepted * 100, "{outcome:?}");
}

#[test]
fn appends_by_each_instance_collapse_while_the_log_is_slow() {
    // The load that the decisions answer: what the previous build accepted.
    let outcome = acceptance::previous(Load::new(440, 40).slow(320), 1);
    assert!(outcome.accepted_while_slow * 10 < outcome.offered_while_slow, "{outcome:?}");
}

#[test]
fn one_append_for_each_submission_collapses() {
    // The load that the decisions answer: without them the log accepts less than at half of it.
    let outcome = acceptance::single(440, 1);
    assert!(outcome.accepted * 2 < outcome.offered, "{outcome:?}");
}
