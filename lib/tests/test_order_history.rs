//! Waits between the orders of successive fleet coordinators.

use std::sync::Arc;
use std::time::Duration;

use oriolewall::order_history::OrderHistory;

const WAIT: Duration = Duration::from_millis(3500);
const ORDER_TIME: Duration = Duration::from_millis(1500);

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn names(names: &[&str]) -> Vec<Arc<str>> {
    names.iter().map(|it| Arc::from(*it)).collect()
}

#[test]
fn a_successor_waits_for_instances_with_recent_orders_only() {
    let mut first = OrderHistory::restore(at(0), WAIT, ORDER_TIME, None);
    assert!(first.may_order(at(0), "a"));
    first.record(at(0), &names(&["a"]));
    let record = first.record(at(4000), &names(&["b"]));
    let second = OrderHistory::restore(at(4100), WAIT, ORDER_TIME, Some(&record));
    assert!(second.may_order(at(4100), "c"));
    assert!(!second.may_order(at(5000), "a"), "its order is 5 s old only now");
    assert!(second.may_order(at(5200), "a"));
    assert!(!second.may_order(at(7500), "b"));
    assert!(second.may_order(at(7700), "b"));
}

#[test]
fn a_second_change_of_the_coordinator_does_not_restart_the_wait() {
    // Replays large, trouble-3, 33 to 39 s: two hand-overs, and no instance moved for 5 s
    // although the last orders to most of them were long ago.
    let mut first = OrderHistory::restore(at(0), WAIT, ORDER_TIME, None);
    let record = first.record(at(0), &names(&["a"]));
    let mut second = OrderHistory::restore(at(100), WAIT, ORDER_TIME, Some(&record));
    let record = second.record(at(2000), &names(&["b"]));
    let third = OrderHistory::restore(at(2100), WAIT, ORDER_TIME, Some(&record));
    assert!(!third.may_order(at(3500), "a"), "within the bound of the first order");
    assert!(third.may_order(at(3800), "a"));
    assert!(!third.may_order(at(5500), "b"));
}

#[test]
fn the_wait_for_an_instance_that_two_coordinators_ordered_is_the_longer_one() {
    let mut first = OrderHistory::restore(at(0), WAIT, ORDER_TIME, None);
    let record = first.record(at(0), &names(&["a"]));
    let mut second = OrderHistory::restore(at(100), WAIT, ORDER_TIME, Some(&record));
    let record = second.record(at(3700), &names(&["a"]));
    let third = OrderHistory::restore(at(3800), WAIT, ORDER_TIME, Some(&record));
    assert!(!third.may_order(at(7200), "a"));
}

#[test]
fn a_record_of_names_alone_stands_for_the_full_wait() {
    let record = rmp_serde::to_vec(&names(&["a"])).unwrap();
    let history = OrderHistory::restore(at(0), WAIT, ORDER_TIME, Some(&record));
    assert!(!history.may_order(at(3400), "a"));
    assert!(history.may_order(at(3600), "a"));
    let damaged = OrderHistory::restore(at(0), WAIT, ORDER_TIME, Some(b"\xc1"));
    assert!(damaged.may_order(at(0), "a"));
}
