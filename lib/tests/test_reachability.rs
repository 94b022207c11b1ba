//! When the log counts as unreachable, replayed over cuts and lost answers.

use std::time::Duration;

use oriolewall::reachability::Reachability;

fn at(ms: u64) -> Duration {
    Duration::from_millis(10_000 + ms)
}

#[test]
fn a_cut_is_noticed_with_the_first_call_that_times_out() {
    let mut log = Reachability::default();
    assert!(!log.is_reachable(at(0)), "it has not answered yet");
    log.record_answer(at(0));
    // The cut begins at 100 ms; a call that was sent then times out after 800 ms.
    assert!(log.is_reachable(at(899)));
    log.record_timeout(at(100));
    assert!(!log.is_reachable(at(900)));
    log.record_answer(at(5000));
    assert!(log.is_reachable(at(5000)));
}

#[test]
fn a_lost_answer_among_others_is_no_cut() {
    let mut log = Reachability::default();
    for ms in (0..3000).step_by(100) {
        log.record_answer(at(ms));
        if 800 <= ms {
            log.record_timeout(at(ms - 800));
        }
        assert!(log.is_reachable(at(ms)), "at {ms} ms");
    }
}

#[test]
fn a_log_that_is_silent_without_calls_is_unreachable_in_the_end() {
    let mut log = Reachability::default();
    log.record_answer(at(0));
    assert!(log.is_reachable(at(2400)));
    assert!(!log.is_reachable(at(2500)));
}

#[test]
fn an_owner_that_the_log_turns_away_hands_over_before_its_membership_lapses() {
    // Replays large, scale-2: the log refused a third of the instances, among them the owner
    // of the pool in its turn, which placed nothing for 2.4 s.
    let mut log = Reachability::default();
    for ms in (0..1000).step_by(200) {
        log.record_answer(at(ms));
        assert!(!log.calls_for_handover(at(ms + 400)), "single answers may be lost");
    }
    assert!(log.calls_for_handover(at(1600)));
}

#[test]
fn a_slow_log_is_not_silent() {
    // The appends of a slow log take longer than their usual limit while reads are answered.
    let mut log = Reachability::default();
    log.record_answer(at(0));
    assert!(!log.has_answered_since(at(100)), "nothing is known yet of a call sent then");
    log.record_answer(at(420));
    assert!(log.has_answered_since(at(100)));
    assert!(log.is_reachable(at(900)));
}

#[test]
fn a_log_that_turns_this_instance_away_is_unreachable_until_it_answers() {
    // Replays clauseforge-mu-grown, trouble-3: the log refused a third of the instances for 9 s. One of
    // them went on as appender of a partition, and the requests of all others waited there.
    let mut log = Reachability::default();
    log.record_answer(at(1000));
    log.record_refusal();
    assert!(log.is_reachable(at(1100)), "a single call may be beyond the rate limit");
    log.record_refusal();
    assert!(!log.is_reachable(at(1200)));
    log.record_answer(at(1300));
    log.record_refusal();
    assert!(log.is_reachable(at(1400)), "other calls are answered in between");
}
