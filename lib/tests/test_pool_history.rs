//! Which pools an address of queues is known to have used, for orders of events in which a list of
//! pools by the queue's name was wrong.

use std::collections::HashMap;
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

/// A history of an instance that started late and read the records of another one.
fn restored(history: &History, version: u64) -> History {
    let records = history.changes_since(&HashMap::new()).into_iter();
    let mut restored = History::default();
    restored.restore(version, records.filter_map(|(address, it)| Some((address, it?))), false);
    restored
}

#[test]
fn an_instance_that_starts_late_knows_recorded_moves() {
    // The log had dropped the earlier configurations, and the former owner was not asked.
    let before = history(&[&[("q", "/q/", "a"), ("r", "/r/", "c")], &[("s", "/q/", "b"), ("r", "/r/", "c")]]);
    let mut late = restored(&before, 2);
    let newest = [queue("s", "/q/", "b"), queue("r", "/r/", "c")];
    late.apply(2, &newest);
    assert_eq!(pools(&late, "/q/"), ("b".into(), 2, vec!["a".into()]));
    assert_eq!(late.first_address(&Arc::from("q")), Some(&Address::from("host/q/")));
    assert_eq!(late.origin(&newest[1]), None);
    late.apply(3, [&queue("t", "/q/", "c")]);
    assert_eq!(pools(&late, "/q/"), ("c".into(), 3, vec!["a".into(), "b".into()]));
}

#[test]
fn an_instance_that_missed_configurations_names_the_origin_of_all_submissions() {
    let before = history(&[&[("q", "/q/", "a")]]);
    let mut late = restored(&before, 1);
    let queue = queue("q", "/q/", "a");
    late.apply(3, [&queue]);
    let origin = late.origin(&queue).unwrap();
    assert_eq!((&*origin.address, origin.version), ("host/q/", 1));
}

#[test]
fn only_changes_are_recorded() {
    let mut history = history(&[&[("q", "/q/", "a"), ("r", "/r/", "b")]]);
    let recorded: HashMap<_, _> = history
        .changes_since(&HashMap::new())
        .into_iter()
        .map(|(address, it)| (address, it.unwrap()))
        .collect();
    assert_eq!(recorded.len(), 2);
    history.apply(2, [&queue("q", "/q/", "a"), &queue("r", "/r/", "a")]);
    let changes: Vec<_> = history.changes_since(&recorded).into_iter().map(|(address, _)| address).collect();
    assert_eq!(changes, [Address::from("host/r/")]);
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
