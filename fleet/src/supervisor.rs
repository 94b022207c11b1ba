//! Restarts tasks of the process that must not end, and bounds how often others are restarted.

use std::future::Future;
use std::time::Duration;

use tokio::task::JoinSet;

/// Time from a panic until the task is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Time from the first panic of a partition's owner until the partition may be owned here again.
/// It doubles with each further panic.
const FIRST_BACKOFF: Duration = Duration::from_secs(1);
/// Upper limit of that time.
const MAX_BACKOFF: Duration = Duration::from_secs(16);
/// Time without a panic after which panics count from one again. The partition may have been
/// with other instances for most of it.
const QUIET_TIME: Duration = Duration::from_secs(600);

/// Delays the restart of a task that panics again and again.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    panics: u32,
    retry_at: Duration,
}

impl Backoff {
    /// Records a panic and returns the time until the task may be started again.
    pub fn record_panic(&mut self, now: Duration) -> Duration {
        if self.retry_at + QUIET_TIME < now {
            self.panics = 0;
        }
        let delay = FIRST_BACKOFF.saturating_mul(1 << self.panics.min(16)).min(MAX_BACKOFF);
        self.panics += 1;
        self.retry_at = now + delay;
        delay
    }

    /// Whether the task may be started.
    pub fn is_over(&self, now: Duration) -> bool {
        self.retry_at <= now
    }
}

/// Runs a task and starts it again each time it panics, after a call to `panicked`. Ends when the
/// task ends without a panic; the task is aborted when this future is dropped.
pub async fn run<S, T, P>(mut start: S, mut panicked: P)
where
    S: FnMut() -> T,
    T: Future<Output = ()> + Send + 'static,
    P: FnMut(),
{
    let mut task = JoinSet::new();
    loop {
        task.spawn(start());
        match task.join_next().await {
            Some(Err(err)) if err.is_panic() => panicked(),
            _ => return,
        }
        tokio::time::sleep(RESTART_DELAY).await;
    }
}
