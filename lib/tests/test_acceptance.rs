//! Routes of callers' requests to the log. How they act together under load is tested in
//! `bench/tests/test_acceptance.rs`.

use std::net::SocketAddr;
use std::time::Duration;

use oriolewall::acceptance::{self, Avoided, Route, Router};

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7060))
}

#[test]
fn a_crowded_partition_is_left_to_aggregators_until_it_is_calm() {
    let mut router = Router::default();
    router.record_append(at(0), at(12));
    assert_eq!(router.route(), Route::Direct);
    router.record_append(at(100), at(60));
    assert_eq!(router.route(), Route::Aggregated);
    router.record_rate(at(500), 10);
    assert_eq!(router.route(), Route::Aggregated, "the reported rate may lag behind");
    router.record_rate(at(3000), 200);
    assert_eq!(router.route(), Route::Aggregated, "direct appends would crowd it again");
    router.record_rate(at(3000), 10);
    assert_eq!(router.route(), Route::Direct);
}

#[test]
fn owners_of_pools_aggregate_last() {
    let owners = (0..6).map(|it| (address(it), it < 3));
    let ranked = acceptance::rank_aggregators(7, owners);
    assert!(ranked[..3].iter().all(|it| (3..6).any(|number| address(number) == *it)));
    assert!(acceptance::is_aggregator(&ranked, ranked[0]));
    assert!(!acceptance::is_aggregator(&ranked, ranked[3]));
}

#[test]
fn instances_spread_over_the_aggregators_and_avoid_one_that_failed() {
    let ranked = acceptance::rank_aggregators(7, (0..6).map(|it| (address(it), false)));
    let mut avoided = Avoided::default();
    let picked = |avoided: &Avoided, instance: u8| avoided.pick(at(0), &ranked, address(instance));
    let mut used: Vec<SocketAddr> = (100..200).filter_map(|it| picked(&avoided, it)).collect();
    used.sort();
    used.dedup();
    assert_eq!(used.len(), 3);
    let failed = picked(&avoided, 100).unwrap();
    avoided.record_failure(at(0), failed);
    assert_ne!(picked(&avoided, 100), Some(failed));
    assert_eq!(avoided.pick(at(2001), &ranked, address(100)), Some(failed));
    (0..6).for_each(|it| avoided.record_failure(at(0), address(it)));
    assert_eq!(picked(&avoided, 100), None);
}

#[test]
fn an_instance_does_not_aggregate_for_itself() {
    let ranked = [address(1)];
    assert_eq!(Avoided::default().pick(at(0), &ranked, address(1)), None);
    assert_eq!(Avoided::default().pick(at(0), &[], address(1)), None);
}
