//! Tests of leases and runs when workers stop answering and when a new owner replaces
//! the previous one.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use oriolewall::catalog::Team;
use oriolewall::id::InstanceId;
use oriolewall::job_record::Request;
use oriolewall::order::{OrderOutcome, Refusal};
use oriolewall::resources::Resources;
use oriolewall::worker::RunKey;
use testutils::owner::{LEASE, OwnerFixture, STOP_TIME, step, submit, worker};

#[test]
fn a_silent_workers_lease_is_not_renewed() {
    // Regression (bench apmas-cellyard scale-1, LOST): repeated status requests renewed the
    // lease of a crashed worker, so its task was never placed elsewhere.
    let mut fixture = OwnerFixture::with_observed_workers(vec![worker("w1"), worker("w2")]);
    let mut long_running = step(1, 1000);
    long_running.lasting = true;
    fixture.add_request("job", submit("", vec![long_running]));
    fixture.advance_ms(100);
    let (id, key) = (fixture.starts[0].worker.clone(), fixture.starts[0].key.clone());
    fixture.report_status(&id, 700, vec![key], vec![]);
    for _ in 0..24 {
        fixture.advance_ms(450);
        fixture.fail_status(&id, OrderOutcome::Lost);
    }
    let restarted = fixture.starts.iter().filter(|it| it.worker != id).count();
    assert_eq!(restarted, 1, "the task is placed on another worker once its lease has ended");
}

#[test]
fn no_task_is_placed_twice_while_its_lease_may_be_valid() {
    let mut fixture = OwnerFixture::with_observed_workers(vec![worker("w1"), worker("w2")]);
    fixture.add_request("job", submit("", vec![step(1, 1000)]));
    fixture.advance_ms(100);
    let (id, key) = (fixture.starts[0].worker.clone(), fixture.starts[0].key.clone());
    fixture.report_status(&id, 700, vec![key], vec![]);
    fixture.advance_ms(100);
    // The status request in flight renews the lease until this time.
    let until = LEASE.as_millis() as u64;
    for _ in 0..10 {
        fixture.advance_ms(until / 10 - 10);
        fixture.fail_status(&id, OrderOutcome::Lost);
        assert_eq!(
            fixture.starts.len(),
            1,
            "the lease may be valid until the slowest clock has reached its end"
        );
    }
}

#[test]
fn a_worker_that_returns_to_the_list_keeps_its_runs() {
    // Regression (bench cic-oriolewall trouble-3, TWICE): the new owner took the worker for a
    // new incarnation and placed its task a second time.
    let mut fixture = OwnerFixture::with_observed_workers(vec![worker("w1")]);
    fixture.add_request("job", submit("", vec![step(1, 1000)]));
    fixture.advance_ms(100);
    fixture.confirm_start(0, 650);
    fixture.workers = vec![worker("w2")];
    fixture.replace_owner();
    fixture.refresh_config();
    fixture.advance_ms(50);
    fixture.report_status("w2", 500, vec![], vec![]);
    fixture.workers.push(worker("w1"));
    fixture.refresh_config();
    fixture.advance_ms(200);
    assert!(fixture.starts.is_empty(), "the task may still be running on w1");
}

#[test]
fn a_new_owner_starts_only_tasks_that_run_nowhere() {
    let mut fixture = OwnerFixture::with_observed_workers(vec![worker("w1"), worker("w2")]);
    fixture.add_request("job", submit("", vec![step(2, 1000)]));
    fixture.advance_ms(100);
    let keys: Vec<(InstanceId, RunKey)> = fixture.starts.iter().map(|it| (it.worker.clone(), it.key.clone())).collect();
    fixture.replace_owner();
    fixture.refresh_config();
    fixture.advance_ms(300);
    assert!(fixture.starts.is_empty(), "no worker has reported its status");
    // The first start order was carried out, the second was lost.
    fixture.report_status(&keys[0].0, 900, vec![keys[0].1.clone()], vec![]);
    fixture.report_status(&keys[1].0, 900, vec![], vec![]);
    fixture.advance_ms(100);
    assert_eq!(fixture.starts.len(), 1);
    assert_eq!(fixture.starts[0].key.task, keys[1].1.task);
    assert!(keys[1].1.run < fixture.starts[0].key.run, "run numbers are never reused");
}

#[test]
fn a_fenced_owner_gives_no_more_orders() {
    let mut fixture = OwnerFixture::with_observed_workers(vec![worker("w1")]);
    fixture.fail_status("w1", OrderOutcome::Refused(Refusal::Fenced));
    fixture.add_request("job", submit("", vec![step(1, 100)]));
    fixture.advance_ms(300);
    assert!(fixture.owner.is_fenced());
    assert!(fixture.starts.is_empty());
    assert_eq!(fixture.commits, 0);
}

#[test]
fn tasks_are_requeued_when_a_worker_starts_a_new_incarnation() {
    let mut fixture = OwnerFixture::with_observed_workers(vec![worker("w1")]);
    fixture.add_request("job", submit("", vec![step(1, 100)]));
    fixture.advance_ms(100);
    let key = fixture.starts[0].key.clone();
    fixture.report_status("w1", 700, vec![key], vec![]);
    fixture.workers[0].started_ms = 2000;
    fixture.refresh_config();
    fixture.advance_ms(100);
    fixture.report_incarnation("w1", 2000, 10, vec![], vec![]);
    fixture.advance_ms(100);
    assert_eq!(fixture.starts.len(), 2);
}

#[test]
fn successive_owners_do_not_restart_the_wait_for_a_silent_worker() {
    // Regression (bench apmas-cellyard trouble-2 --seed 548027342396, LOST): in a rolling
    // restart each owner waited for the longest lease, counted from its own start.
    let mut fixture = OwnerFixture::with_observed_workers(vec![worker("w1"), worker("w2")]);
    let mut long_running = step(1, 1000);
    long_running.lasting = true;
    fixture.add_request("job", submit("", vec![long_running]));
    fixture.advance_ms(100);
    let (silent, key) = (fixture.starts[0].worker.clone(), fixture.starts[0].key.clone());
    let other = if &*silent == "w1" { "w2" } else { "w1" };
    fixture.report_status(&silent, 700, vec![key], vec![]);
    fixture.advance_ms(100);
    fixture.fail_status(&silent, OrderOutcome::Lost);
    let mut started_after = None;
    for second in 0..14 {
        fixture.advance_ms(1000);
        fixture.fail_status(&silent, OrderOutcome::Lost);
        if !fixture.starts.is_empty() && 0 < second {
            started_after = Some(second);
            break;
        }
        fixture.replace_owner();
        fixture.refresh_config();
        fixture.advance_ms(20);
        fixture.report_status(other, 2000 + 1000 * second, vec![], vec![]);
        fixture.fail_status(&silent, OrderOutcome::Lost);
    }
    let started_after = started_after.expect("the task is placed on another worker");
    // An owner before the first one may have renewed leases that end 3 s + 5.15 s + 1 s later.
    assert!((4..=9).contains(&started_after), "{started_after} s");
}

#[test]
fn a_new_owner_interrupts_no_task_while_an_earlier_stop_order_may_be_in_flight() {
    // Regression (bench cic-oriolewall grown scale-2, AVAIL): the new owner counted a task as
    // at work that was being stopped, and stopped another task of the step.
    let mut fixture = OwnerFixture::new(vec![worker("w1"), worker("w2"), worker("w3")]);
    fixture.advance_ms(50);
    for id in ["w1", "w2", "w3"] {
        fixture.report_status(id, 500, vec![], vec![]);
    }
    let mut long_running = step(2, 8000);
    long_running.lasting = true;
    long_running.optional = 1;
    fixture.add_request("job", submit("", vec![long_running]));
    fixture.advance_ms(100);
    let placed: Vec<(InstanceId, RunKey)> = fixture.starts.iter().map(|it| (it.worker.clone(), it.key.clone())).collect();
    fixture.replace_owner();
    fixture.refresh_config();
    fixture.advance_ms(20);
    let spare = ["w1", "w2", "w3"]
        .into_iter()
        .find(|id| placed.iter().all(|(it, _)| **it != **id))
        .unwrap();
    fixture.report_status(spare, 900, vec![], vec![]);
    for (id, key) in &placed {
        fixture.report_status(id, 900, vec![key.clone()], vec![]);
    }
    fixture
        .owner
        .vacate(fixture.now, &placed[0].0, fixture.now.mono + Duration::from_secs(4), true);
    fixture.advance_ms(100);
    assert!(
        fixture.stops.is_empty(),
        "a stop order of the earlier owner may be in flight for the other task"
    );
    for (id, key) in &placed {
        fixture.report_status(id, 900 + STOP_TIME.as_millis() as u64, vec![key.clone()], vec![]);
    }
    fixture.advance_ms(100);
    assert_eq!(fixture.stops, vec![placed[0].1.clone()]);
}

#[test]
fn successive_owners_do_not_restart_the_wait_for_an_unlisted_worker() {
    // Regression (bench apmas-cellyard hunt-0351-15, LOST): after a permanent crash of the
    // worker no owner could call it, and none recorded when its leases end.
    let mut fixture = OwnerFixture::with_observed_workers(vec![worker("w1")]);
    let mut long_running = step(1, 1000);
    long_running.lasting = true;
    fixture.add_request("job", submit("", vec![long_running]));
    fixture.advance_ms(100);
    fixture.confirm_start(0, 650);
    fixture.workers = vec![worker("w2")];
    let mut second = 0;
    while second < 20 {
        fixture.replace_owner();
        fixture.refresh_config();
        fixture.advance_ms(20);
        fixture.report_status("w2", 2000 + 1000 * second, vec![], vec![]);
        fixture.advance_ms(1000);
        if !fixture.starts.is_empty() {
            break;
        }
        second += 1;
    }
    // The previous owner may have renewed leases that end 3 s + 5.15 s + 1 s later.
    assert!((8..=10).contains(&second), "{second} s");
}

#[test]
fn a_lease_is_not_renewed_while_the_log_records_its_worker_as_silent() {
    let mut fixture = OwnerFixture::with_observed_workers(vec![worker("w1")]);
    fixture.add_request("job", submit("", vec![step(1, 1000)]));
    fixture.advance_ms(100);
    let key = fixture.starts[0].key.clone();
    fixture.report_status("w1", 700, vec![key.clone()], vec![]);
    fixture.advance_ms(100);
    fixture.fail_status("w1", OrderOutcome::Lost);
    fixture.advance_ms(100);
    assert!(fixture.stored.contains_key("w/w1"));
    fixture.confirms_commits = false;
    fixture.report_status("w1", 1200, vec![key], vec![]);
    fixture.status_requests.clear();
    fixture.advance_ms(600);
    assert!(fixture.status_requests.iter().all(|(_, _, until)| until.is_none()));
    fixture.owner.commit_confirmed(fixture.now);
    fixture.report_status("w1", 1900, vec![], vec![]);
}

#[test]
fn a_cancelled_jobs_run_counts_against_the_cap_under_the_next_owner() {
    // Regression (test_pool_world seed 845, QUOTA): the worker was silent, and the next owner
    // restored runs of open jobs only.
    let mut fixture = OwnerFixture::new(vec![worker("w1"), worker("w2")]);
    let cap = Resources { cpu: 1000, mem: 0, gpu: 0 };
    fixture.catalog.teams.insert(Arc::from("team"), Team { weight: 1.0, cap });
    fixture.refresh_config();
    fixture.owner.set_grants(HashMap::from([(Arc::from("team"), cap)]));
    fixture.advance_ms(50);
    fixture.report_status("w1", 500, vec![], vec![]);
    fixture.add_request("job", submit("team", vec![step(1, 1000)]));
    fixture.advance_ms(100);
    assert_eq!(fixture.starts.len(), 1);
    fixture.confirm_start(0, 650);
    fixture.add_request(
        "job",
        Request::Cancel {
            at_ms: 0,
            team: None,
            addressee: None,
        },
    );
    fixture.advance_ms(100);
    fixture.replace_owner();
    fixture.refresh_config();
    fixture.owner.set_grants(HashMap::from([(Arc::from("team"), cap)]));
    fixture.add_request("next", submit("team", vec![step(1, 1000)]));
    fixture.report_status("w2", 900, vec![], vec![]);
    fixture.advance_ms(100);
    assert!(
        fixture.starts.is_empty(),
        "the cancelled run may be in progress until its worker answers"
    );
    fixture.report_status("w1", 900, vec![], vec![]);
    fixture.advance_ms(100);
    assert_eq!(fixture.starts.len(), 1);
}

#[test]
fn a_start_order_whose_run_is_removed_before_it_is_sent_is_dropped() {
    // Regression (test_pool_world seeds 1878 and 2806, QUOTA): the order reached a new
    // incarnation of the worker, whose clock was far below the expiry of the order.
    let mut fixture = OwnerFixture::with_observed_workers(vec![worker("w1")]);
    fixture.add_request("job", submit("", vec![step(1, 1000)]));
    fixture.confirms_commits = false;
    fixture.advance_ms(100);
    assert_eq!(fixture.commits, 1);
    fixture.owner.commit_confirmed(fixture.now);
    fixture.workers[0].started_ms = 2000;
    fixture.refresh_config();
    fixture.advance_ms(10);
    assert!(fixture.starts.is_empty());
}

#[test]
fn requests_that_waited_for_a_new_owner_are_no_arrivals() {
    // Replays large, scale-2: a new owner read 200 waiting jobs at once, and the forecast of
    // its pool asked for eight times the fleet.
    let mut fixture = OwnerFixture::new(vec![worker("w1")]);
    for job in 0..200 {
        let id = Arc::from(format!("job-{job}"));
        fixture.owner.load_request(fixture.now, id, submit("", vec![step(8, 1000)]));
    }
    let load = fixture.owner.pool_loads(fixture.now).remove("pool").unwrap();
    assert_eq!((load.waiting, load.arriving), (200 * 8 * 1000, 0));
}

#[test]
fn a_worker_without_runs_that_missed_an_answer_is_asked_again() {
    // Regression (users' day zone-loss-and-roll, LOST): a worker that refused its only task as
    // unreachable was never asked again, so it took no tasks until the end of the day.
    let mut fixture = OwnerFixture::with_observed_workers(vec![worker("w1")]);
    fixture.add_request("job", submit("", vec![step(1, 1000)]));
    fixture.advance_ms(200);
    let start = fixture.starts[0].clone();
    fixture.fail_status("w1", OrderOutcome::Lost);
    fixture.answer_start(&start, OrderOutcome::Refused(Refusal::Unreachable));
    for _ in 0..5 {
        fixture.status_requests.clear();
        fixture.advance_ms(500);
        assert_eq!(fixture.status_requests.len(), 1, "the worker is listed");
        fixture.fail_status("w1", OrderOutcome::Refused(Refusal::Unreachable));
    }
    fixture.advance_ms(500);
    fixture.report_status("w1", 5000, vec![], vec![]);
    fixture.advance_ms(100);
    assert_eq!(fixture.starts.len(), 2, "the worker answers again");
}

#[test]
fn waiting_work_is_late_once_its_objective_cannot_be_met() {
    // The objective is 1.5 times the second that the tasks take, and 600 ms: from 1,100 ms on a job
    // that has not started misses it.
    let mut fixture = OwnerFixture::new(vec![]);
    fixture.add_request("job", submit("", vec![step(3, 1000)]));
    fixture.advance_ms(1000);
    assert!(fixture.owner.late_work(fixture.now).is_empty());
    fixture.advance_ms(200);
    let late = fixture.owner.late_work(fixture.now);
    assert_eq!(late.into_iter().collect::<Vec<_>>(), [(Arc::from("pool"), 3000)]);
}
