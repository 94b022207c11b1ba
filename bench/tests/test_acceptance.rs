//! Acceptance by one pool under the load of a turn, and at several times that load.

use oriole_bench::measure::acceptance;

#[test]
fn acceptance_is_fast_on_a_calm_day() {
    let outcome = acceptance::grouped(100, 1);
    assert!(outcome.wait_ms.1 < 40, "{outcome:?}");
}

#[test]
fn acceptance_keeps_up_with_three_times_the_largest_turn() {
    for seed in 1..4 {
        for rate in [440, 1300] {
            let outcome = acceptance::grouped(rate, seed);
            assert!(outcome.offered * 95 <= outcome.accepted * 100, "{outcome:?}");
            assert!(outcome.wait_ms.0 < 40, "{outcome:?}");
        }
    }
}

#[test]
fn one_append_for_each_submission_collapses() {
    // The load that the decisions answer: without them the log accepts less than at half of it.
    let outcome = acceptance::single(440, 1);
    assert!(outcome.accepted * 2 < outcome.offered, "{outcome:?}");
}
