//! Tasks of the process that end by a panic.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use oriole_fleet::supervisor::{self, Backoff};

#[tokio::test]
async fn a_task_that_panics_is_started_again() {
    let (starts, panics) = (Arc::new(AtomicUsize::new(0)), AtomicUsize::new(0));
    let start = || {
        let starts = starts.clone();
        async move {
            assert!(2 <= starts.fetch_add(1, Ordering::SeqCst), "an odd entry");
        }
    };
    let panicked = || _ = panics.fetch_add(1, Ordering::SeqCst);
    tokio::time::timeout(Duration::from_secs(10), supervisor::run(start, panicked))
        .await
        .unwrap();
    assert_eq!((starts.load(Ordering::SeqCst), panics.load(Ordering::SeqCst)), (3, 2));
}

#[tokio::test]
async fn a_supervised_task_is_aborted_with_its_supervisor() {
    let held = Arc::new(());
    let start = || {
        let held = held.clone();
        async move {
            let _held = held;
            std::future::pending::<()>().await;
        }
    };
    let stopped = tokio::time::timeout(Duration::from_millis(50), supervisor::run(start, || ())).await;
    assert!(stopped.is_err());
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(Arc::strong_count(&held), 1);
}

#[test]
fn a_partition_whose_owner_panics_again_and_again_is_taken_less_and_less_often() {
    let mut backoff = Backoff::default();
    let mut now = Duration::from_secs(1000);
    assert!(backoff.is_over(now));
    let delays = [1, 2, 4, 8, 16, 16].map(Duration::from_secs);
    for delay in delays {
        assert_eq!(backoff.record_panic(now), delay);
        assert!(!backoff.is_over(now + delay - Duration::from_millis(1)));
        now += delay;
        assert!(backoff.is_over(now));
    }
    now += Duration::from_secs(500);
    assert_eq!(
        backoff.record_panic(now),
        Duration::from_secs(16),
        "it may have been with other instances"
    );
    now += Duration::from_secs(16);
    assert_eq!(backoff.record_panic(now + Duration::from_secs(601)), Duration::from_secs(1));
}
