//! Requests that share an append to a partition.

use oriolewall::append_queue::AppendQueue;

#[test]
fn requests_that_arrive_during_an_append_share_the_next_one() {
    let mut queue = AppendQueue::default();
    queue.push(100, 1);
    assert_eq!(queue.next_batch(), Some(vec![1]));
    queue.push(100, 2);
    queue.push(100, 3);
    assert_eq!(queue.next_batch(), None, "an append is in flight");
    queue.finish();
    assert_eq!(queue.next_batch(), Some(vec![2, 3]));
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
    assert_eq!(queue.next_batch(), None);
}

#[test]
fn a_batch_stays_below_the_largest_append() {
    let mut queue = AppendQueue::default();
    for request in 0..10 {
        queue.push(300_000, request);
    }
    assert_eq!(queue.next_batch().map(|it| it.len()), Some(3));
    queue.finish();
    queue.push(5_000_000, 10);
    let mut batches = Vec::new();
    while let Some(batch) = queue.next_batch() {
        batches.push(batch.len());
        queue.finish();
    }
    assert_eq!(batches, [3, 3, 1, 1], "a unit that is larger than a batch goes alone");
}
