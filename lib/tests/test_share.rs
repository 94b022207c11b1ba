//! Shares, queues and the judgement of workers.

use std::collections::BTreeSet;
use std::time::Duration;

use oriolewall::health::WorkerHealth;
use oriolewall::id::{InstanceId, JobId, TeamId};
use oriolewall::job::Class;
use oriolewall::queue::{Full, TeamQueues};
use oriolewall::share::{self, SlotDemand, WeightedUsage};
use uuid::Uuid;

fn job(value: u128) -> JobId {
    Uuid::from_u128(value)
}

#[test]
fn the_team_furthest_below_its_share_is_next() {
    let (a, b): (TeamId, TeamId) = ("org/a".into(), "org/b".into());
    let ratio = |used, weight| WeightedUsage { used, weight };
    assert_eq!(share::most_underserved([(&a, ratio(3, 1)), (&b, ratio(5, 2))]), Some(&b));
    assert_eq!(share::most_underserved([(&a, ratio(2, 1)), (&b, ratio(4, 2))]), Some(&a));
}

#[test]
fn what_one_team_leaves_goes_to_the_others_by_weight() {
    let want = |slots, weight| SlotDemand { slots, weight };
    let given = share::weighted_max_min(12.0, &[want(2.0, 1.0), want(100.0, 1.0), want(100.0, 3.0)]);
    let rounded: Vec<i64> = given.iter().map(|it| (it * 10.0).round() as i64).collect();
    assert_eq!(rounded, [20, 25, 75]);
}

#[test]
fn queues_are_bounded_per_team_and_do_not_mix() {
    let (a, b): (TeamId, TeamId) = ("org/a".into(), "org/b".into());
    let mut queues = TeamQueues::default();
    assert_eq!(queues.push(&a, Class::Normal, job(1), 1), Ok(()));
    assert_eq!(queues.push(&a, Class::Urgent, job(2), 1), Err(Full));
    assert_eq!(queues.push(&b, Class::Urgent, job(3), 1), Ok(()));
    assert_eq!(queues.front(&a, Class::Normal), Some(job(1)));
    assert_eq!(queues.teams_waiting(Class::Urgent).collect::<Vec<_>>(), [&b]);
    assert!(queues.remove(&a, Class::Normal, job(1)));
    assert_eq!(queues.len(&a), 0);
}

#[test]
fn a_worker_that_fails_everything_is_set_aside_and_probed() {
    let worker: InstanceId = "w1".into();
    let mut ward = WorkerHealth::default();
    let now = Duration::from_secs(1);
    for value in 1..=3 {
        assert!(ward.accepts_jobs(now, &worker));
        ward.record_failure(now, &worker, job(value), &BTreeSet::new());
    }
    assert!(!ward.accepts_jobs(now, &worker));
    let later = now + Duration::from_secs(2);
    assert!(ward.accepts_jobs(later, &worker));
    ward.record_placement(&worker);
    assert!(!ward.accepts_jobs(later, &worker), "one probe at a time");
    ward.record_success(&worker);
    assert!(ward.accepts_jobs(later, &worker));
}

#[test]
fn a_poison_job_does_not_set_a_pool_aside() {
    let mut ward = WorkerHealth::default();
    let now = Duration::from_secs(1);
    let poison = job(7);
    for index in 0..5 {
        let worker: InstanceId = format!("w{index}").into();
        for _ in 0..5 {
            ward.record_failure(now, &worker, poison, &BTreeSet::new());
        }
        assert!(ward.accepts_jobs(now, &worker));
    }
}
