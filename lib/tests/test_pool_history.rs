//! Which pools an address of queues is known to have used, for orders of events in which a list of
//! pools by the queue's name was wrong.

use std::sync::Arc;

use oriolewall::catalog::Queue;
use oriolewall::id::PoolId;
use oriolewall::pool_history::{Address, History};
use testutils::owner::queue;

/// A history of versions, numbered from 1, each given by its queues: name, path and pool.
fn history(versions: &[&[(&str, &str, &str)]]) -> History {
    let mut history = History::default();
    for (index, queues) in versions.iter().enumerate() {
        let queues: Vec<Queue> = queues.iter().map(|(name, path, pool)| queue(name, path, pool)).collect();
        history.apply(index as u64 + 1, &queues);
    }
    history
}

/// The pool of an address, the version that assigned it, and its former pools.
fn pools(history: &History, path: &str) -> (String, u64, Vec<String>) {
    let assignment = history.assignment(&Address::from(format!("host{path}"))).unwrap();
    let name = |it: &PoolId| it.to_string();
    let former_pools = assignment.former_pools.iter().map(name).collect();
    (name(&assignment.pool), assignment.version, former_pools)
}

#[test]
fn an_address_keeps_its_former_pools_under_another_name() {
    // They were kept by the name, so the former owner was not asked and the job ran twice.
    let history = history(&[&[("q", "/q/", "a")], &[("r", "/q/", "b")], &[("s", "/q/", "c")]]);
    assert_eq!(pools(&history, "/q/"), ("c".into(), 3, vec!["a".into(), "b".into()]));
}

#[test]
fn an_address_without_a_queue_keeps_its_former_pools() {
    let history = history(&[&[("q", "/q/", "a")], &[], &[("q", "/q/", "b")], &[], &[("r", "/q/", "a")]]);
    assert_eq!(pools(&history, "/q/"), ("a".into(), 5, vec!["b".into()]));
}

#[test]
fn a_queue_that_is_back_in_its_first_pool_has_used_the_others() {
    let history = history(&[
        &[("q", "/q/", "a")],
        &[("q", "/q/", "b")],
        &[("q", "/q/", "c")],
        &[("q", "/q/", "a")],
    ]);
    assert_eq!(pools(&history, "/q/"), ("a".into(), 4, vec!["b".into(), "c".into()]));
}

#[test]
fn queues_that_exchange_their_addresses_exchange_no_former_pools() {
    let history = history(&[
        &[("q", "/q/", "a"), ("r", "/r/", "b"), ("s", "/s/", "c")],
        &[("r", "/q/", "b"), ("q", "/r/", "a"), ("s", "/s/", "c")],
    ]);
    assert_eq!(pools(&history, "/q/"), ("b".into(), 2, vec!["a".into()]));
    assert_eq!(pools(&history, "/r/"), ("a".into(), 2, vec!["b".into()]));
    assert!(pools(&history, "/s/").2.is_empty());
    assert_eq!(history.first_address(&Arc::from("q")), Some(&Address::from("host/q/")));
}

#[test]
fn a_submission_names_its_origin_only_if_the_name_of_its_queue_does_not_tell_it() {
    // An ordinary submission is stored as by earlier builds.
    let plain = queue("q", "/q/", "a");
    let mut history = history(&[&[("q", "/q/", "a")]]);
    assert_eq!(history.origin(&plain), None);
    let renamed = queue("q", "/r/", "a");
    history.apply(2, [&renamed]);
    assert_eq!(&*history.origin(&renamed).unwrap().address, "host/r/");
    let moved = queue("q", "/q/", "b");
    history.apply(3, [&moved]);
    assert_eq!(history.origin(&moved).unwrap().version, 3);
}

#[test]
fn an_instance_that_missed_configurations_names_the_origin_of_all_submissions() {
    let mut history = history(&[&[("q", "/q/", "a")]]);
    history.mark_incomplete();
    let origin = history.origin(&queue("q", "/q/", "a")).unwrap();
    assert_eq!((&*origin.address, origin.version), ("host/q/", 1));
}

#[test]
fn removed_queues_do_not_add_up() {
    let mut history = History::default();
    let kept = queue("kept", "/kept/", "a");
    history.apply(1, [&kept]);
    for version in 2..10_000 {
        let name = format!("q-{version}");
        history.apply(version, [&kept, &queue(&name, &format!("/{name}/"), "a")]);
    }
    let is_known = |name: &str| history.assignment(&Address::from(format!("host/{name}/"))).is_some();
    assert!(is_known("kept") && is_known("q-9999") && is_known("q-8001"));
    assert!(!is_known("q-2") && history.first_address(&Arc::from("q-2")).is_none());
}
