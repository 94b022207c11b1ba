//! What callers are told when their requests are refused.

use std::time::Duration;

use oriolewall::refusal::Cause;

#[test]
fn callers_return_later_the_longer_the_log_is_silent() {
    let short = Cause::LogSilent(Duration::from_millis(300)).retry_after(0.5);
    let long = Cause::LogSilent(Duration::from_secs(4)).retry_after(0.5);
    let longest = Cause::LogSilent(Duration::from_secs(600)).retry_after(0.5);
    assert_eq!([short.as_secs(), long.as_secs(), longest.as_secs()], [1, 4, 5]);
}

#[test]
fn callers_that_were_refused_together_return_spread_out() {
    // Replays an outage of 4 s in which 1,000 callers were refused at the same moment.
    let cause = Cause::LogSilent(Duration::from_secs(4));
    let mut returns = [0; 8];
    for caller in 0..1000 {
        let after = cause.retry_after(f64::from(caller) / 1000.0);
        returns[after.as_secs() as usize] += 1;
    }
    assert!(returns.iter().all(|it| *it <= 300), "{returns:?}");
    assert_eq!(returns[0] + returns[1], 0, "the log is still silent");
}

#[test]
fn callers_return_once_a_busy_log_has_stored_what_waits() {
    let after = |drain_ms| Cause::LogBusy(Duration::from_millis(drain_ms)).retry_after(0.5);
    assert_eq!([after(0).as_secs(), after(2400).as_secs(), after(60_000).as_secs()], [1, 2, 5]);
}
