//! Ways of callers' requests to the log. How they act together under load is tested in
//! `bench/tests/test_acceptance.rs`.

use std::net::SocketAddr;
use std::time::Duration;

use oriolewall::acceptance::{self, Avoided, MAX_APPENDERS, Pace};
use oriolewall::rpc::AppendReport;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7060))
}

#[test]
fn appenders_fill_a_fraction_of_the_queue_whatever_an_append_takes() {
    // With the log 28 or 79 times as slow, each further appender delays all of them.
    for append_ms in [3, 30, 84, 237] {
        let mut pace = Pace::default();
        for round in 0..20 {
            let answer = append_ms * pace.appenders() as u64 + append_ms / 3;
            pace.record_append(at(round * 1000), at(answer));
        }
        let queued = append_ms * pace.appenders() as u64;
        assert!(queued <= 250, "{queued} ms are queued with appends of {append_ms} ms");
        let expected = if append_ms <= 30 { 3 } else { 1 + usize::from(append_ms < 100) };
        assert_eq!(pace.appenders(), expected, "with appends of {append_ms} ms");
    }
}

#[test]
fn the_number_of_appenders_follows_the_log_within_one_append() {
    let mut pace = Pace::default();
    pace.record_append(at(0), at(8));
    assert_eq!(pace.appenders(), MAX_APPENDERS);
    assert!(pace.record_append(at(1000), at(800)));
    assert_eq!(pace.appenders(), 1);
    assert!(pace.record_append(at(2000), at(8)), "acceptance recovers at once");
    assert_eq!(pace.appenders(), MAX_APPENDERS);
    assert!(pace.record_refusal(at(2100)), "a refusal counts as crowded");
    assert_eq!(pace.appenders(), 1);
}

#[test]
fn an_instance_that_has_just_started_relies_on_the_best_appender() {
    // Instances restart while the log is slow; an append of each would fill the queue.
    let mut pace = Pace::default();
    assert_eq!(pace.appenders(), 1);
    assert!(!pace.allows_direct(5), "it tries further appenders");
    let report = AppendReport {
        answer_ms: 8,
        drain_ms: 8,
        appenders: 3,
    };
    pace.record_report(at(0), &report);
    assert_eq!(pace.appenders(), 3);
    assert!(!pace.allows_direct(1));
    assert!(pace.allows_direct(2), "the log is not slow, and two appenders have failed");
}

#[test]
fn requests_move_to_the_appenders_that_remain() {
    let mut pace = Pace::default();
    assert!(pace.accepts(at(0), 2), "nothing is known");
    pace.record_append(at(0), at(900));
    assert!(pace.accepts(at(500), 0));
    assert!(!pace.accepts(at(500), 1));
    assert!(pace.accepts(at(1500), 1), "only an append tells whether the log has recovered");
}

#[test]
fn time_limits_follow_the_answers_and_end_before_callers_do() {
    let mut pace = Pace::default();
    pace.record_append(at(0), at(8));
    assert_eq!(pace.silent_after(), at(800), "a cut is noticed as before");
    assert_eq!(pace.check_after(), at(150));
    pace.record_append(at(0), at(316));
    assert!(at(1200) < pace.silent_after(), "slow is not silent");
    for answer_ms in [316, 1000, 5000] {
        pace.record_append(at(0), at(answer_ms));
        assert!(pace.append_limit() < at(2850) && pace.silent_after() <= pace.append_limit());
        // Otherwise all requests would be refused, and nothing would tell that the log has recovered.
        assert!(pace.relay_wait() <= at(2000) && pace.wait(1) <= at(2000));
    }
}

#[test]
fn owners_of_pools_append_last() {
    let owners = (0..6).map(|it| (address(it), it < 3));
    let ranked = acceptance::rank_appenders(7, owners);
    assert!(ranked[..3].iter().all(|it| (3..6).any(|number| address(number) == *it)));
    assert_eq!(acceptance::place(&ranked, ranked[0]), Some(0));
    assert_eq!(acceptance::place(&ranked, ranked[3]), Some(3));
    assert_eq!(acceptance::place(&ranked, address(9)), None);
}

#[test]
fn instances_spread_over_the_appenders_and_avoid_one_that_failed() {
    let ranked = acceptance::rank_appenders(7, (0..6).map(|it| (address(it), false)));
    let mut avoided = Avoided::default();
    let picked = |avoided: &Avoided, instance: u8| avoided.pick(at(0), &ranked, 3, address(instance));
    let mut used: Vec<SocketAddr> = (100..200).filter_map(|it| picked(&avoided, it)).collect();
    used.sort();
    used.dedup();
    assert_eq!(used.len(), 3);
    let failed = picked(&avoided, 100).unwrap();
    avoided.record_failure(at(0), failed);
    assert_ne!(picked(&avoided, 100), Some(failed));
    assert_eq!(avoided.pick(at(2001), &ranked, 3, address(100)), Some(failed));
    (0..6).for_each(|it| avoided.record_failure(at(0), address(it)));
    assert_eq!(picked(&avoided, 100), None);
}

#[test]
fn an_appender_that_stays_silent_is_avoided_for_longer() {
    // Each attempt through a paused appender delays requests by half a second.
    let ranked = [address(1), address(2)];
    let mut avoided = Avoided::default();
    let pick = |avoided: &Avoided, ms| avoided.pick(at(ms), &ranked, 1, address(3));
    avoided.record_failure(at(0), address(1));
    avoided.record_failure(at(10), address(1));
    assert_eq!(pick(&avoided, 2001), Some(address(1)), "calls that fail together count once");
    avoided.record_failure(at(2500), address(1));
    assert_eq!(pick(&avoided, 6000), Some(address(2)));
    avoided.record_answer(address(1));
    assert_eq!(pick(&avoided, 6000), Some(address(1)));
    avoided.record_silent_log(at(7000), address(1));
    assert_eq!(pick(&avoided, 7200), Some(address(2)));
    assert_eq!(pick(&avoided, 7400), Some(address(1)), "it finds out soon when the log is back");
}

#[test]
fn an_instance_does_not_append_for_itself_through_a_call() {
    let ranked = [address(1)];
    assert_eq!(Avoided::default().pick(at(0), &ranked, 3, address(1)), None);
    assert_eq!(Avoided::default().pick(at(0), &[], 3, address(1)), None);
}
