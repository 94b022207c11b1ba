//! Jobs whose records or requests make the owner panic.

use std::sync::Arc;

use oriolewall::job_record::{JobKey, JobRecord, Request};
use oriolewall::order::RunOutcome;
use oriolewall::worker::RunKey;
use testutils::owner::{OwnerFixture, run_end, step, submit, task, worker};

fn key(id: &str) -> JobKey {
    Arc::from(id)
}

/// Records of two jobs of two tasks each, all of which run on `w1`.
fn records_of_running_jobs() -> (JobRecord, JobRecord) {
    let mut fixture = OwnerFixture::with_observed_workers(vec![worker("w1")]);
    for id in ["bad", "good"] {
        fixture.add_request(id, submit("", vec![step(2, 1000)]));
    }
    fixture.advance_ms(200);
    assert_eq!(fixture.starts.len(), 4);
    (fixture.stored_record("bad"), fixture.stored_record("good"))
}

/// An owner that has taken over, and the panic message of a record without one of its tasks.
fn owner_with_malformed_record() -> (OwnerFixture, String) {
    let (mut bad, good) = records_of_running_jobs();
    bad.tasks.truncate(1);
    let mut fixture = OwnerFixture::new(vec![]);
    let panic = fixture.owner.try_apply(&key("bad"), |it| it.load_job(key("bad"), bad)).unwrap_err();
    fixture.owner.load_job(key("good"), good);
    fixture.workers.push(worker("w1"));
    fixture.refresh_config();
    fixture.advance_ms(50);
    (fixture, panic)
}

fn run(job: &str, index: u32) -> RunKey {
    RunKey {
        task: task(job, 0, index),
        run: 1,
    }
}

fn all_runs() -> Vec<RunKey> {
    vec![run("bad", 0), run("bad", 1), run("good", 0), run("good", 1)]
}

#[test]
fn a_record_that_makes_the_owner_panic_leaves_other_jobs_alone() {
    let (mut fixture, panic) = owner_with_malformed_record();
    assert!(panic.contains("out of bounds"), "{panic}");
    assert!(fixture.owner.is_quarantined(&key("bad")));
    fixture.report_status("w1", 5000, all_runs(), vec![]);
    fixture.advance_ms(200);
    assert_eq!(fixture.owner.job_count(), 1);
    assert!(fixture.stops.iter().all(|it| &*it.task.job == "bad"), "{:?}", fixture.stops);
    let ends = vec![
        run_end(1, &run("good", 0), RunOutcome::Done),
        run_end(2, &run("good", 1), RunOutcome::Done),
    ];
    fixture.report_status("w1", 5500, vec![], ends);
    fixture.advance_ms(200);
    assert!(fixture.stored_record("good").tasks.iter().all(|it| it.run == 1));
    assert!(fixture.starts.is_empty());
}

#[test]
fn no_task_of_a_quarantined_job_runs_again() {
    let (mut fixture, _) = owner_with_malformed_record();
    fixture.report_status("w1", 5000, all_runs(), vec![]);
    fixture.advance_ms(200);
    assert!(fixture.stops.contains(&run("bad", 0)) && fixture.stops.contains(&run("bad", 1)));
    fixture.add_request("bad", submit("", vec![step(2, 1000)]));
    fixture.report_status("w1", 6000, vec![run("good", 0), run("good", 1)], vec![]);
    fixture.advance_ms(4000);
    assert!(fixture.starts.is_empty(), "{:?}", fixture.starts);
    assert!(fixture.owner.is_quarantined(&key("bad")));
    assert!(fixture.removed_requests.is_empty(), "its submission stays in the log");
    assert!(!fixture.stored.contains_key("bad"), "its record is not written again");
}

#[test]
fn a_done_run_of_a_quarantined_job_is_marked_in_the_log_before_its_end_is_acknowledged() {
    let (mut fixture, _) = owner_with_malformed_record();
    fixture.confirms_commits = false;
    fixture.status_requests.clear();
    let active = vec![run("good", 0), run("good", 1)];
    fixture.report_status("w1", 5000, active.clone(), vec![run_end(1, &run("bad", 0), RunOutcome::Done)]);
    fixture.advance_ms(1000);
    assert!(fixture.status_requests.iter().all(|(_, ack_cursor, _)| *ack_cursor == 0));
    let (mut fixture, _) = owner_with_malformed_record();
    fixture.report_status("w1", 5000, active, vec![run_end(1, &run("bad", 0), RunOutcome::Done)]);
    fixture.advance_ms(1000);
    assert!(fixture.stored.contains_key("q/bad"));
    assert!(fixture.status_requests.iter().any(|(_, ack_cursor, _)| *ack_cursor == 1));
}

#[test]
fn a_request_that_makes_the_owner_panic_stops_the_runs_of_its_job_only() {
    let mut fixture = OwnerFixture::with_observed_workers(vec![worker("w1")]);
    for id in ["bad", "good"] {
        fixture.add_request(id, submit("", vec![step(2, 1000)]));
    }
    fixture.advance_ms(200);
    for index in 0..4 {
        fixture.confirm_start(index, 700);
    }
    let (now, cancel) = (
        fixture.now,
        Request::Cancel {
            at_ms: 0,
            team: None,
            addressee: None,
        },
    );
    let applied = fixture.owner.try_apply(&key("bad"), |it| {
        it.add_request(now, key("bad"), cancel);
        panic!("an odd request");
    });
    assert_eq!(applied.unwrap_err(), "an odd request");
    fixture.advance_ms(300);
    fixture.report_status("w1", 5000, all_runs(), vec![]);
    fixture.advance_ms(300);
    assert!(!fixture.stops.is_empty());
    assert!(fixture.stops.iter().all(|it| &*it.task.job == "bad"), "{:?}", fixture.stops);
    fixture.report_status("w1", 6000, vec![run("good", 0), run("good", 1)], vec![]);
    fixture.advance_ms(1000);
    assert_eq!(fixture.starts.len(), 4, "no task runs again");
    assert!(fixture.removed_cancels.is_empty(), "the request stays in the log");
    assert!(fixture.owner.job_status(&key("good"), None).is_some());
}
