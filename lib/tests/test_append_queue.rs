//! Requests that share an append to a partition.

use oriolewall::append_queue::{AppendQueue, MAX_BATCH_BYTES};

fn next<T>(queue: &mut AppendQueue<T>) -> Option<Vec<T>> {
    let batch = queue.next_batch()?;
    Some(batch.into_iter().map(|it| it.unit).collect())
}

#[test]
fn requests_that_arrive_during_an_append_share_the_next_one() {
    let mut queue = AppendQueue::default();
    queue.push(100, 1);
    assert_eq!(next(&mut queue), Some(vec![1]));
    queue.push(100, 2);
    queue.push(100, 3);
    assert_eq!(next(&mut queue), None, "an append is in flight");
    queue.finish();
    assert_eq!(next(&mut queue), Some(vec![2, 3]));
}

#[test]
fn only_a_request_that_was_not_sent_can_be_withdrawn() {
    // A caller is told that its job has not run only if the request never left.
    let mut queue = AppendQueue::default();
    let sent = queue.push(100, 1);
    queue.next_batch();
    let waiting = queue.push(100, 2);
    assert_eq!(queue.withdraw(sent), None);
    assert_eq!(queue.withdraw(waiting), Some(2));
    queue.finish();
    assert_eq!(next(&mut queue), None);
}

#[test]
fn refused_requests_are_sent_again_first_or_withdrawn() {
    // A refused append had no effect. Its requests wait like ones that were never sent, and the
    // next append waits until the refusal is over.
    let mut queue = AppendQueue::default();
    let first = queue.push(100, 1);
    queue.push(100, 2);
    let batch = queue.next_batch().unwrap();
    queue.push(100, 3);
    queue.put_back(batch);
    assert_eq!(next(&mut queue), None, "the refused append still counts");
    assert_eq!(queue.withdraw(first), Some(1));
    queue.finish();
    assert_eq!(next(&mut queue), Some(vec![2, 3]));
}

#[test]
fn the_wait_grows_with_each_full_append() {
    let mut queue = AppendQueue::new(2, MAX_BATCH_BYTES);
    assert_eq!((queue.in_flight(), queue.appends_waiting(0)), (0, 0));
    (0..4).for_each(|it| _ = queue.push(600_000, it));
    assert_eq!(queue.appends_waiting(100), 3);
    assert!(queue.next_batch().is_some() && queue.next_batch().is_some());
    assert!(queue.next_batch().is_none(), "two are in flight");
    assert_eq!((queue.in_flight(), queue.appends_waiting(0)), (2, 2));
}

#[test]
fn a_batch_stays_below_the_largest_append() {
    let mut queue = AppendQueue::default();
    for request in 0..10 {
        queue.push(300_000, request);
    }
    assert_eq!(next(&mut queue).map(|it| it.len()), Some(3));
    queue.finish();
    queue.push(5_000_000, 10);
    let mut batches = Vec::new();
    while let Some(batch) = next(&mut queue) {
        batches.push(batch.len());
        queue.finish();
    }
    assert_eq!(batches, [3, 3, 1, 1], "a unit that is larger than a batch goes alone");
}
