//! Fair sharing among teams, team queues and the quarantine of failing workers.

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
fn the_team_with_the_least_usage_per_weight_is_next() {
    let (a, b): (TeamId, TeamId) = ("org/a".into(), "org/b".into());
    let usage = |used, weight| WeightedUsage { used, weight };
    assert_eq!(share::most_underserved([(&a, usage(3, 1)), (&b, usage(5, 2))]), Some(&b));
    assert_eq!(share::most_underserved([(&a, usage(2, 1)), (&b, usage(4, 2))]), Some(&a));
}

#[test]
fn unused_share_goes_to_the_other_teams_by_weight() {
    let demand = |slots, weight| SlotDemand { slots, weight };
    let shares = share::weighted_max_min(12.0, &[demand(2.0, 1.0), demand(100.0, 1.0), demand(100.0, 3.0)]);
    let rounded: Vec<i64> = shares.iter().map(|it| (it * 10.0).round() as i64).collect();
    assert_eq!(rounded, [20, 25, 75]);
}

#[test]
fn queues_are_bounded_per_team() {
    let (a, b): (TeamId, TeamId) = ("org/a".into(), "org/b".into());
    let mut queues = TeamQueues::default();
    assert_eq!(queues.push(&a, Class::Normal, job(1), 1), Ok(()));
    assert_eq!(queues.push(&a, Class::Urgent, job(2), 1), Err(Full));
    assert_eq!(queues.push(&b, Class::Urgent, job(3), 1), Ok(()));
    assert_eq!(queues.front(&a, Class::Normal), Some(job(1)));
    assert_eq!(queues.teams_with(Class::Urgent).collect::<Vec<_>>(), [&b]);
    assert!(queues.remove(&a, Class::Normal, job(1)));
    assert_eq!(queues.len(&a), 0);
}

#[test]
fn a_worker_on_which_every_job_fails_is_quarantined_and_probed() {
    let worker: InstanceId = "w1".into();
    let mut health = WorkerHealth::default();
    let now = Duration::from_secs(1);
    for value in 1..=3 {
        assert!(health.accepts_jobs(now, &worker));
        health.record_failure(now, &worker, job(value), &BTreeSet::new());
    }
    assert!(!health.accepts_jobs(now, &worker));
    let later = now + Duration::from_secs(2);
    assert!(health.accepts_jobs(later, &worker));
    health.record_placement(&worker);
    assert!(!health.accepts_jobs(later, &worker), "one probe at a time");
    health.record_success(&worker);
    assert!(health.accepts_jobs(later, &worker));
}

#[test]
fn a_poison_job_does_not_quarantine_workers() {
    let mut health = WorkerHealth::default();
    let now = Duration::from_secs(1);
    let poison = job(7);
    for index in 0..5 {
        let worker: InstanceId = format!("w{index}").into();
        for _ in 0..5 {
            health.record_failure(now, &worker, poison, &BTreeSet::new());
        }
        assert!(health.accepts_jobs(now, &worker));
    }
}
