//! What instances say while their view of the log is outdated: they were paused, cut off or killed, or
//! their partitions were reassigned, before they had read what the log has acknowledged.

use std::time::Duration;

use rustix::process::Signal;

use crate::scenario::{CONFIG_TIME, Scenario};

/// Time after which an accepted job is known (`visible_ms`), and some more.
const VISIBLE_TIME: Duration = Duration::from_millis(3020);
/// Time for which an instance is paused: its partitions have been reassigned, and its view is older
/// than a job may be unknown.
const PAUSE: Duration = Duration::from_millis(4200);
const TASK_TIME: Duration = Duration::from_millis(300);
const JOB: &str = "00000000000000c7";
const PATH: &str = "/q1/00000000000000c7";
/// Path of the job by which the owner of the first pool was found.
const FIRST_PATH: &str = "/q1/00000000000000a0";

/// Starts instances of which one owns the first pool, and all know it. Returns it and another one.
async fn start(name: &str) -> (Scenario, usize, usize) {
    let scenario = Scenario::start(name).await;
    let owner = scenario.settled_owner_of(0).await;
    // An instance without partitions may know an earlier owner for 2 s.
    check_known(&scenario, FIRST_PATH).await;
    let other = scenario.instances().find(|it| *it != owner).expect("there are several");
    (scenario, owner, other)
}

async fn submit(scenario: &Scenario, instance: usize) {
    assert_eq!(scenario.submit_tasks(instance, 1, JOB, 100, TASK_TIME).await, 200);
}

/// Reads a path at a paused instance, which finds the request when it continues.
async fn get_on_wake(scenario: &Scenario, instance: usize, path: &str) -> u16 {
    let mut answer = std::pin::pin!(scenario.get(instance, path));
    tokio::select! {
        status = &mut answer => panic!("a paused instance answers {status}"),
        () = tokio::time::sleep(Duration::from_millis(100)) => {}
    }
    scenario.continue_paused(instance);
    answer.await
}

/// Waits until all instances know a job; none of them denies it until then.
async fn check_known(scenario: &Scenario, path: &str) {
    for instance in scenario.instances() {
        let mut status = 0;
        for _ in 0..60 {
            status = scenario.get(instance, path).await;
            assert_ne!(status, 410, "at entry-{instance}");
            if status == 200 {
                break;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        assert_eq!(status, 200, "at entry-{instance}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_owner_that_was_paused_denies_no_job_accepted_meanwhile() {
    // LOST: it answered by what it had read before the pause.
    let (mut scenario, owner, other) = start("paused-owner").await;
    scenario.signal(owner, Signal::STOP);
    submit(&scenario, other).await;
    tokio::time::sleep(PAUSE).await;
    assert_ne!(get_on_wake(&scenario, owner, PATH).await, 410);
    check_known(&scenario, PATH).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn owners_that_are_cut_off_from_the_log_deny_no_job_that_they_have_not_read() {
    // LOST: an owner denied jobs until 4.5 s after the log had last answered.
    let (scenario, owner, other) = start("cut-owners").await;
    scenario.silence_waiting_reads(owner);
    submit(&scenario, other).await;
    for instance in scenario.instances() {
        scenario.cut_log(instance, Duration::from_millis(5000));
    }
    tokio::time::sleep(VISIBLE_TIME).await;
    for instance in scenario.instances() {
        let refusal = scenario.get_error(instance, PATH).await;
        assert_eq!(refusal, (503, "requests_outdated".to_owned()), "at entry-{instance}");
    }
    tokio::time::sleep(Duration::from_millis(2000)).await;
    check_known(&scenario, PATH).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_that_its_owner_had_not_read_when_it_was_killed_is_known_to_the_next_one() {
    let (mut scenario, owner, other) = start("killed-owner").await;
    scenario.silence_waiting_reads(owner);
    submit(&scenario, other).await;
    scenario.signal(owner, Signal::KILL);
    tokio::time::sleep(VISIBLE_TIME).await;
    scenario.start_again(owner);
    check_known(&scenario, PATH).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_is_known_if_the_partitions_are_reassigned_while_the_read_of_its_owner_is_silent() {
    let (scenario, owner, other) = start("reassigned").await;
    scenario.silence_waiting_reads(owner);
    submit(&scenario, other).await;
    for _ in 0..3 {
        scenario.reassign_partitions();
        tokio::time::sleep(VISIBLE_TIME / 3).await;
    }
    check_known(&scenario, PATH).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_instance_that_was_paused_denies_no_queue_added_meanwhile() {
    // CONFIG: it answered 404 by the configuration from before the pause.
    let (mut scenario, _, other) = start("paused-configuration").await;
    scenario.signal(other, Signal::STOP);
    scenario.add_queue(2, "added");
    tokio::time::sleep(CONFIG_TIME + Duration::from_millis(500)).await;
    assert_ne!(get_on_wake(&scenario, other, "/added/").await, 404);
    tokio::time::sleep(CONFIG_TIME).await;
    assert_eq!(scenario.get(other, "/added/").await, 200);
}
