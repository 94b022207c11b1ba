//! Promises while open connections of an instance to the log are silent and new ones work.

use std::time::{Duration, Instant};

use crate::scenario::{CONFIG_TIME, Scenario};
use crate::site::Faults;

/// Time after which an accepted job is known (`visible_ms`).
const VISIBLE_TIME: Duration = Duration::from_millis(3000);
/// Time in which a silent connection counts as a disturbance (`contactMs`).
const CONTACT_TIME: Duration = Duration::from_millis(3000);
/// Time by which a promise that is checked has been due.
const CHECK_DELAY: Duration = Duration::from_millis(20);
/// Time between two jobs, each of which has the owner read anew.
const GAP: Duration = Duration::from_millis(100);
const TASK_TIME: Duration = Duration::from_millis(300);

/// Submits jobs to the first pool, so that the read that waits for the next one was sent just now.
async fn submit_some(scenario: &Scenario, instance: usize, first: u64) {
    for number in first..first + 4 {
        let id = format!("{number:016x}");
        assert_eq!(scenario.submit_tasks(instance, 1, &id, 100, TASK_TIME).await, 200);
        tokio::time::sleep(GAP).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_accepted_job_is_known_while_the_read_of_its_owner_is_silent() {
    // LOST: an owner answered that a job does not exist while the read that would have told it of
    // the job had been silent for 3 s.
    let scenario = Scenario::start("silent-requests").await;
    let owner = scenario.settled_owner_of(0).await;
    let other = scenario.instances().find(|it| *it != owner).expect("there are several");
    for round in 0..2 {
        submit_some(&scenario, other, 0x100 * (round + 1)).await;
        scenario.silence_waiting_reads(owner);
        let job = format!("{:016x}", 0xd0 + round);
        assert_eq!(scenario.submit_tasks(other, 1, &job, 100, TASK_TIME).await, 200);
        tokio::time::sleep(VISIBLE_TIME + CHECK_DELAY).await;
        for instance in scenario.instances() {
            assert_eq!(scenario.get(instance, &format!("/q1/{job}")).await, 200, "at entry-{instance}");
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cancelled_job_starts_no_further_step_while_the_read_of_its_owner_is_silent() {
    // UNASKED: the owner learned of the cancel 3.5 s later, and had started the next step.
    let scenario = Scenario::start("silent-cancel").await;
    let owner = scenario.settled_owner_of(0).await;
    let other = scenario.instances().find(|it| *it != owner).expect("there are several");
    let job = "00000000000000e1";
    // The first step ends 3.2 s after the read has fallen silent.
    let steps = [CONTACT_TIME + Duration::from_millis(200) + 4 * GAP, TASK_TIME];
    assert_eq!(scenario.submit_steps(other, 1, job, 100, &steps).await, 200);
    submit_some(&scenario, other, 0x100).await;
    scenario.silence_waiting_reads(owner);
    assert_eq!(scenario.cancel(other, 1, job).await, 200);
    tokio::time::sleep(steps[0] + TASK_TIME).await;
    scenario.check_promises(job);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_configuration_is_applied_while_the_read_that_waits_for_it_is_silent() {
    // CONFIG: an instance answered 404 for a queue that had been added 2.7 s before.
    let scenario = Scenario::start("silent-configuration").await;
    for instance in scenario.instances() {
        let version = 2 * (instance as u64 + 1);
        scenario.add_queue(version, &format!("early{instance}"));
        tokio::time::sleep(Duration::from_millis(150)).await;
        scenario.silence_waiting_reads(instance);
        let since = tokio::time::Instant::now();
        tokio::time::sleep(Duration::from_millis(300)).await;
        let added = format!("late{instance}");
        scenario.add_queue(version + 1, &added);
        let applied_at = tokio::time::Instant::now() + CONFIG_TIME;
        tokio::time::sleep_until(applied_at.max(since + CONTACT_TIME) + CHECK_DELAY).await;
        assert_eq!(scenario.get(instance, &format!("/{added}/")).await, 200, "at entry-{instance}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_owner_denies_no_accepted_job_while_its_connections_fall_silent_again_and_again() {
    // The connections that replace silent ones fall silent too, for longer than a job may be unknown.
    let scenario = Scenario::start("silent-series").await;
    let owner = scenario.settled_owner_of(0).await;
    let other = scenario.instances().find(|it| *it != owner).expect("there are several");
    submit_some(&scenario, other, 0x100).await;
    let mut accepted = Vec::new();
    for round in 0..8 {
        scenario.silence_log(owner);
        let job = format!("{:016x}", 0xf0 + round);
        assert_eq!(scenario.submit_tasks(other, 1, &job, 100, TASK_TIME).await, 200);
        accepted.push((Instant::now(), job));
        tokio::time::sleep(Duration::from_millis(600)).await;
        for (at, job) in &accepted {
            if VISIBLE_TIME < at.elapsed() {
                let status = scenario.get(other, &format!("/q1/{job}")).await;
                assert_ne!(status, 410, "{job} in round {round}");
            }
        }
    }
    tokio::time::sleep(VISIBLE_TIME).await;
    for (_, job) in &accepted {
        assert_eq!(scenario.get(other, &format!("/q1/{job}")).await, 200, "{job}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_instance_that_cannot_read_the_configuration_denies_no_queue() {
    // CONFIG: 404 for a queue that had been added after the instance was cut off from the log.
    let scenario = Scenario::start("cut-off").await;
    // The pool of an owner that is cut off changes hands, and its queues are refused meanwhile.
    let owner = scenario.settled_owner_of(0).await;
    let cut = scenario.instances().find(|it| *it != owner).expect("there are several");
    assert_eq!(scenario.get(cut, "/added/").await, 404);
    scenario.cut_log(cut, CONFIG_TIME * 3);
    scenario.add_queue(2, "added");
    tokio::time::sleep(CONFIG_TIME + CHECK_DELAY).await;
    assert_eq!(scenario.get(cut, "/added/").await, 503);
    assert_eq!(scenario.get(owner, "/added/").await, 200);
    tokio::time::sleep(CONFIG_TIME * 4).await;
    assert_eq!(scenario.get(cut, "/added/").await, 200);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn running_tasks_keep_their_leases_while_the_connections_to_their_workers_are_silent() {
    // A status request that renews leases was given up after 2.4 s, later than the leases end that
    // the request before it had renewed.
    for lease_max in [6_000, 10_000] {
        let changes = [("lease_max_ms", lease_max.to_string())];
        let scenario = Scenario::start_with_settings(&format!("silent-workers-{lease_max}"), Faults::Standard, &changes).await;
        let owner = scenario.settled_owner_of(0).await;
        let job = "00000000000000b1";
        assert_eq!(scenario.submit_tasks(0, 1, job, 300, Duration::from_secs(12)).await, 200);
        for _ in 0..2 {
            // Another point of the interval of status requests in each round.
            tokio::time::sleep(Duration::from_millis(1700)).await;
            scenario.silence_workers(owner);
        }
        tokio::time::sleep(Duration::from_secs(10)).await;
        let lapsed = scenario.lines_with(job, "\"lapsed\"");
        assert!(lapsed.is_empty(), "{lapsed:#?}");
        scenario.check_promises(job);
    }
}
