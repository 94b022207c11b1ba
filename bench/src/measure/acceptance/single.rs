//! One append for each submission, as a baseline.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::{ARRIVALS, Outcome};

/// Time of one append at the partition, and of an answer beyond it.
const APPEND: (Duration, Duration) = (Duration::from_millis(3), Duration::from_millis(5));
/// Appends that would wait longer than this are refused.
const MAX_LOG_QUEUE: Duration = Duration::from_secs(2);
/// Time that callers wait.
const DEADLINE: Duration = Duration::from_millis(2850);
/// Time limits of an attempt, directly and through another instance.
const ATTEMPT_TIMEOUTS: [Duration; 2] = [Duration::from_millis(800), Duration::from_millis(500)];

/// Runs one append for each submission at an arrival rate, with a log that is not slow.
pub fn single(rate: u32, seed: u64) -> Outcome {
    let mut random = StdRng::seed_from_u64(seed);
    let mut waits: Histogram<u64> = Histogram::new(3).expect("the precision is valid");
    let mut outcome = Outcome::default();
    let mut attempts = BinaryHeap::new();
    let mut arrived = Duration::ZERO;
    loop {
        let uniform: f64 = random.random();
        arrived += Duration::from_secs_f64(-(1.0 - uniform).ln() / f64::from(rate));
        if ARRIVALS <= arrived {
            break;
        }
        outcome.offered += 1;
        attempts.push(Reverse((arrived, arrived, 0)));
    }
    // When the partition has processed all appends.
    let mut free = Duration::ZERO;
    while let Some(Reverse((at, arrived, number))) = attempts.pop() {
        if arrived + DEADLINE <= at {
            outcome.unknown += 1;
            continue;
        }
        outcome.appends += 1;
        let start = free.max(at);
        if MAX_LOG_QUEUE < start - at {
            outcome.refused_appends += 1;
            outcome.refused += u32::from(number == 0);
            outcome.unknown += u32::from(number != 0);
            continue;
        }
        free = start + APPEND.0;
        let timeout = ATTEMPT_TIMEOUTS[number % ATTEMPT_TIMEOUTS.len()];
        let answer_at = free + APPEND.1;
        match answer_at <= at + timeout {
            true => {
                outcome.accepted += 1;
                waits.saturating_record((answer_at - arrived).as_millis() as u64);
            }
            false => attempts.push(Reverse((at + timeout, arrived, number + 1))),
        }
    }
    outcome.wait_ms = (waits.value_at_quantile(0.5), waits.value_at_quantile(0.99));
    outcome
}
