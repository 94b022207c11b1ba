//! Answers that are overdue.

use std::future::Future;
use std::time::Duration;

use tokio::time::Instant;

/// Delay of a timer from which this process runs late.
const LATE: Duration = Duration::from_millis(50);
/// Time that a process which runs late gets to read answers that have arrived.
const CATCH_UP_TIME: Duration = Duration::from_millis(100);

/// Waits for an answer, and returns `None` once it is overdue. A process that was paused, or is short
/// of processor time, first reads the answers that have arrived meanwhile.
pub(crate) async fn answer_within<F>(answer: &mut F, time: Duration) -> Option<F::Output>
where
    F: Future + Unpin,
{
    let mut overdue_at = Instant::now() + time;
    loop {
        if let Ok(answer) = tokio::time::timeout_at(overdue_at, &mut *answer).await {
            return Some(answer);
        }
        if overdue_at.elapsed() < LATE {
            return None;
        }
        overdue_at = Instant::now() + CATCH_UP_TIME;
    }
}
