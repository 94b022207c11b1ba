//! When calls to the log are sent again.

use std::time::Duration;

use oriolewall::resend::{AnswerTimes, ResendBudget};

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

#[test]
fn an_answer_is_overdue_after_a_few_usual_answer_times() {
    let mut times = AnswerTimes::default();
    (0..100).for_each(|_| times.record(ms(10)));
    assert!(times.overdue_after() <= ms(50), "a lost answer must not stop a pool");
}

#[test]
fn while_the_log_is_slow_calls_are_not_overdue() {
    // Replays a log whose answers take 300 ms: resends would only add to its load.
    let mut times = AnswerTimes::default();
    (0..30).for_each(|_| times.record(ms(300)));
    assert!(ms(300) < times.overdue_after());
    (0..100).for_each(|_| times.record(ms(10)));
    assert!(times.overdue_after() <= ms(50), "the log has recovered");
}

#[test]
fn the_budget_covers_a_third_of_lost_answers_but_no_outage() {
    let mut budget = ResendBudget::default();
    // One call in three loses its answer, and so does one resend in three.
    for call in 0..300 {
        budget.record_call();
        if call % 3 == 0 {
            assert!(budget.take());
        }
        if call % 9 == 0 {
            assert!(budget.take());
        }
    }
    let mut sent = 0;
    for _ in 0..100 {
        budget.record_call();
        sent += (0..3).filter(|_| budget.take()).count();
    }
    assert!(sent <= 60, "{sent} resends of 100 calls without an answer");
}
