//! Tests of the scheduler of a pool, each of one rule or one kind of failure.

use std::sync::Arc;
use std::time::Duration;

use oriolewall::catalog::{Queue, Team};
use oriolewall::id::{InstanceId, TeamId};
use oriolewall::job_record::{Request, Submission, TaskState};
use oriolewall::order::{Action, ActiveRun, OrderOutcome, Refusal, RunOutcome, WorkerStatus};
use oriolewall::query::JobStatus;
use oriolewall::resources::Resources;
use oriolewall::scheduler::Scheduler;
use oriolewall::spec::JobSpec;
use oriolewall::time_limits::TimeLimits;
use oriolewall::worker::RunKey;
use testutils::owner::{LEASE, OwnerFixture, run_end, step, submit, task, time_at, time_limits, worker};

#[test]
fn no_run_starts_before_its_placement_is_logged() {
    let mut fixture = OwnerFixture::new(vec![worker("w1")]);
    fixture.confirms_commits = false;
    fixture.advance_ms(50);
    fixture.report_status("w1", 500, vec![], vec![]);
    fixture.add_request("job", submit("", vec![step(2, 1000)]));
    fixture.advance_ms(100);
    assert!(fixture.starts.is_empty(), "the log has not confirmed the commit");
    fixture.owner.commit_confirmed(fixture.now);
    fixture.advance_ms(10);
    assert_eq!(fixture.starts.len(), 2);
}

#[test]
fn a_step_waits_for_its_dependencies() {
    let mut fixture = OwnerFixture::new(vec![worker("w1")]);
    let mut dependent = step(1, 1000);
    dependent.after = [0].into_iter().collect();
    fixture.advance_ms(50);
    fixture.report_status("w1", 500, vec![], vec![]);
    fixture.add_request("job", submit("", vec![step(1, 1000), dependent]));
    fixture.advance_ms(100);
    assert_eq!(fixture.starts.len(), 1);
    let first = fixture.starts[0].key.clone();
    fixture.report_status("w1", 700, vec![], vec![run_end(1, &first, RunOutcome::Done)]);
    fixture.advance_ms(100);
    assert_eq!(fixture.starts[1].key.task, task("job", 1, 0));
}

#[test]
fn an_ended_run_is_acknowledged_only_when_it_is_logged() {
    let mut fixture = OwnerFixture::with_observed_workers(vec![worker("w1")]);
    fixture.add_request("job", submit("", vec![step(2, 1000)]));
    fixture.advance_ms(100);
    let keys: Vec<RunKey> = fixture.starts.iter().map(|it| it.key.clone()).collect();
    fixture.confirms_commits = false;
    fixture.status_requests.clear();
    fixture.report_status("w1", 700, vec![keys[1].clone()], vec![run_end(1, &keys[0], RunOutcome::Done)]);
    fixture.advance_ms(1200);
    assert!(
        !fixture.status_requests.is_empty(),
        "leases are renewed although the commit is delayed"
    );
    assert!(fixture.status_requests.iter().all(|(_, ack_cursor, _)| *ack_cursor == 0));
}

#[test]
fn a_repeated_request_is_kept_until_the_job_is_logged() {
    // Regression (bench cic-oriolewall trouble-3, LOST): a repeated request was removed from
    // the log before the job had a record there, so that the job was lost.
    let mut fixture = OwnerFixture::new(vec![]);
    fixture.add_request("job", submit("", vec![step(1, 1000)]));
    fixture.add_request("job", submit("", vec![step(1, 1000)]));
    fixture.advance_ms(4000);
    assert!(fixture.stored.contains_key("job") || fixture.removed_requests.is_empty());
}

#[test]
fn unknown_runs_are_stopped_and_use_capacity() {
    let mut fixture = OwnerFixture::new(vec![worker("w1")]);
    fixture.advance_ms(50);
    let unknown_run = RunKey {
        task: task("unknown", 0, 0),
        run: 3,
    };
    fixture.report_status("w1", 500, vec![unknown_run.clone()], vec![]);
    fixture.add_request("job", submit("", vec![step(1, 1000)]));
    fixture.advance_ms(100);
    assert_eq!(fixture.stops, vec![unknown_run]);
    assert!(fixture.starts.is_empty(), "the resources of the unknown run are not known");
}

#[test]
fn a_job_fails_after_the_max_attempts_of_its_queue() {
    let mut fixture = OwnerFixture::with_observed_workers(vec![worker("w1")]);
    fixture.add_request("job", submit("", vec![step(1, 1000)]));
    for number in 1..=2 {
        fixture.advance_ms(100);
        let key = fixture.starts.last().unwrap().key.clone();
        fixture.report_status("w1", 500 + 200 * number, vec![], vec![run_end(number, &key, RunOutcome::Failed)]);
    }
    fixture.advance_ms(200);
    assert_eq!(fixture.starts.len(), 2);
    assert_eq!(fixture.owner.job_status(&Arc::from("job"), None), Some(JobStatus::Failed));
}

#[test]
fn stopped_runs_do_not_count_as_failures() {
    let mut fixture = OwnerFixture::with_observed_workers(vec![worker("w1")]);
    fixture.add_request("job", submit("", vec![step(1, 1000)]));
    for number in 1..=4 {
        fixture.advance_ms(100);
        let key = fixture.starts.last().unwrap().key.clone();
        fixture.report_status("w1", 500 + 200 * number, vec![], vec![run_end(number, &key, RunOutcome::Stopped)]);
    }
    fixture.advance_ms(100);
    assert_eq!(fixture.starts.len(), 5);
}

#[test]
fn occurrences_start_at_their_scheduled_time() {
    let mut fixture = OwnerFixture::with_observed_workers(vec![worker("w1")]);
    let request = Request::Submit(Submission {
        queue: Arc::from("queue"),
        pool: Arc::from("pool"),
        team: Arc::from(""),
        received_ms: time_at(0).wall_ms(),
        spec: Arc::new(JobSpec {
            payload: Arc::from(""),
            steps: vec![step(1, 100)],
            repeat: 2,
            start_at_ms: time_at(1000).wall_ms(),
            interval_ms: 1000,
        }),
        origin: None,
    });
    fixture.add_request("job", request);
    fixture.advance_ms(850);
    assert!(fixture.starts.is_empty());
    fixture.advance_ms(300);
    assert_eq!(fixture.starts.len(), 1);
    fixture.advance_ms(1000);
    assert_eq!(fixture.starts.len(), 2);
}

#[test]
fn a_refused_start_is_repeated_with_a_new_run_number() {
    let mut fixture = OwnerFixture::with_observed_workers(vec![worker("w1")]);
    fixture.add_request("job", submit("", vec![step(1, 100)]));
    fixture.advance_ms(100);
    let start = fixture.starts[0].clone();
    fixture.answer_start(&start, OrderOutcome::Refused(Refusal::Late));
    fixture.advance_ms(100);
    assert_eq!(fixture.starts.len(), 2);
    assert_eq!(fixture.starts[1].key.run, 2);
    assert_eq!(fixture.stored_record("job").tasks[0].state, TaskState::Placed(Arc::from("w1")));
}

#[test]
fn a_start_in_a_queue_with_advice_carries_a_ticket() {
    let mut fixture = OwnerFixture::new(vec![worker("w1"), worker("w2")]);
    let mut queue = Queue::clone(&fixture.catalog.queues["queue"]);
    queue.needs_advice = true;
    fixture.catalog.queues.insert(queue.name.clone(), Arc::new(queue));
    fixture.refresh_config();
    fixture.advance_ms(50);
    fixture.report_status("w1", 500, vec![], vec![]);
    fixture.report_status("w2", 500, vec![], vec![]);
    fixture.add_request("job", submit("", vec![step(1, 1000)]));
    fixture.advance_ms(200);
    assert!(fixture.starts.is_empty());
    assert_eq!(fixture.advice_requests.len(), 1, "one request for advice is in flight");
    let (step, _) = fixture.advice_requests[0].clone();
    let approved = vec![(InstanceId::from("w2"), Arc::from("ticket"))];
    fixture.owner.advice_received(fixture.now, step, approved, Duration::from_secs(3));
    fixture.advance_ms(100);
    assert_eq!(fixture.starts.len(), 1);
    assert_eq!(&*fixture.starts[0].worker, "w2");
    assert_eq!(fixture.starts[0].ticket.as_deref(), Some("ticket"));
}

#[test]
fn best_effort_tasks_are_throttled_while_others_miss_their_target() {
    let mut fixture = OwnerFixture::with_observed_workers(vec![worker("w1")]);
    let mut long_running = step(1, 1000);
    long_running.lasting = true;
    long_running.target_ms = 100;
    let mut best_effort = step(1, 1000);
    best_effort.fill = true;
    fixture.add_request("serving", submit("", vec![long_running]));
    fixture.add_request("filling", submit("", vec![best_effort]));
    fixture.advance_ms(1000);
    assert_eq!(fixture.starts.len(), 2);
    let report_response_time = |fixture: &mut OwnerFixture, clock_ms: u64, response_ms: u64| {
        let active = fixture.starts.iter().map(|it| ActiveRun {
            key: it.key.clone(),
            checkpoint: Arc::from(""),
            percent: 100,
            measurement: Some(response_ms),
        });
        let status = WorkerStatus {
            clock_ms,
            started_ms: 1000,
            active: active.collect(),
            ended: vec![],
            has_unreadable_rows: false,
        };
        let contact = fixture.contact("w1");
        fixture.owner.status_received(fixture.now, &Arc::from("w1"), contact, status);
        fixture.advance_ms(700);
    };
    for round in 0..4 {
        report_response_time(&mut fixture, 2000 + 700 * round, 150);
    }
    let speeds: Vec<u32> = fixture.speed_orders.iter().map(|(_, percent)| *percent).collect();
    assert_eq!(speeds, vec![50, 25, 0]);
    report_response_time(&mut fixture, 6000, 20);
    assert_eq!(fixture.speed_orders.last().unwrap().1, 20);
}

#[test]
fn vacate_without_wait_leaves_a_busy_worker_in_service() {
    let mut fixture = OwnerFixture::with_observed_workers(vec![worker("w1")]);
    fixture.add_request("first", submit("", vec![step(1, 1000)]));
    fixture.advance_ms(100);
    let until = fixture.now.mono + LEASE;
    assert!(!fixture.owner.vacate(fixture.now, &Arc::from("w1"), until, false));
    fixture.add_request("next", submit("", vec![step(1, 1000)]));
    fixture.advance_ms(100);
    assert_eq!(fixture.starts.len(), 2);
    assert!(!fixture.owner.vacate(fixture.now, &Arc::from("w1"), until, true));
    fixture.add_request("last", submit("", vec![step(1, 1000)]));
    fixture.advance_ms(100);
    assert_eq!(fixture.starts.len(), 2, "the worker is being emptied");
}

#[test]
fn a_job_of_another_team_is_unknown_to_the_caller() {
    // Any valid key read and cancelled any team's job by its id.
    let mut fixture = OwnerFixture::with_observed_workers(vec![worker("w1")]);
    let (own, other): (Option<TeamId>, Option<TeamId>) = (Some(Arc::from("own")), Some(Arc::from("other")));
    let team = Team {
        weight: 1.0,
        cap: Resources::default(),
    };
    fixture.catalog.teams.insert(Arc::from("own"), team);
    fixture.refresh_config();
    fixture.add_request(
        "early",
        Request::Cancel {
            at_ms: 0,
            team: other.clone(),
            addressee: None,
        },
    );
    fixture.add_request("early", submit("own", vec![step(1, 1000)]));
    fixture.add_request("job", submit("own", vec![step(1, 1000)]));
    fixture.add_request(
        "job",
        Request::Cancel {
            at_ms: 0,
            team: other.clone(),
            addressee: None,
        },
    );
    fixture.advance_ms(100);
    let job = Arc::from("job");
    assert_eq!(fixture.owner.job_status(&job, other.as_ref()), None);
    assert_eq!(fixture.owner.job_status(&job, own.as_ref()), Some(JobStatus::Running));
    assert_eq!(
        fixture.owner.job_status(&Arc::from("early"), own.as_ref()),
        Some(JobStatus::Running)
    );
    assert_eq!(fixture.owner.job_status(&job, None), Some(JobStatus::Running), "on a public queue");
    fixture.add_request(
        "job",
        Request::Cancel {
            at_ms: 0,
            team: own.clone(),
            addressee: None,
        },
    );
    fixture.advance_ms(100);
    assert_eq!(fixture.owner.job_status(&job, own.as_ref()), Some(JobStatus::Cancelled));
}

#[test]
fn a_worker_that_leaves_the_list_for_a_moment_keeps_its_runs() {
    // Its newest entry is odd, so it names no worker until the next good one.
    let mut fixture = OwnerFixture::with_observed_workers(vec![worker("w1"), worker("w2")]);
    fixture.add_request("job", submit("", vec![step(1, 1000)]));
    fixture.advance_ms(50);
    fixture.confirm_start(0, 600);
    let (id, key) = (fixture.starts[0].worker.clone(), fixture.starts[0].key.clone());
    fixture.workers.retain(|it| it.id != id);
    fixture.refresh_config();
    fixture.status_requests.clear();
    for round in 0..100 {
        fixture.report_status(&id, 700 + 150 * round, vec![key.clone()], vec![]);
        fixture.owner.confirm_ownership(fixture.now.mono);
        fixture.advance_ms(150);
    }
    assert_eq!(fixture.starts.len(), 1, "the run goes on for longer than three leases");
    let renewals = fixture.status_requests.iter().filter(|(it, _, until)| *it == id && until.is_some());
    assert!(10 < renewals.count(), "its leases are renewed");
    // It gets no new tasks meanwhile, and takes them again once it is listed.
    fixture.add_request("next", submit("", vec![step(2, 6000)]));
    fixture.advance_ms(200);
    assert!(fixture.starts[1..].iter().all(|it| it.worker != id));
    assert_eq!(fixture.starts.len(), 2, "the other worker has room for one");
    fixture.workers.push(worker(&id));
    fixture.refresh_config();
    fixture.report_status(&id, 16_000, vec![key.clone()], vec![]);
    fixture.advance_ms(200);
    assert_eq!(fixture.starts.len(), 3);
    fixture.report_status(
        &id,
        16_500,
        vec![fixture.starts[2].key.clone()],
        vec![run_end(1, &key, RunOutcome::Done)],
    );
    assert_eq!(
        fixture.owner.job_status(&Arc::from("job"), None),
        Some(JobStatus::Running),
        "the end is not in the log yet"
    );
    fixture.advance_ms(100);
    assert_eq!(fixture.owner.job_status(&Arc::from("job"), None), Some(JobStatus::Completed));
}

#[test]
fn a_task_whose_given_up_run_is_done_does_not_run_again() {
    let mut fixture = OwnerFixture::with_observed_workers(vec![worker("w1")]);
    fixture.add_request("job", submit("", vec![step(1, 1000)]));
    fixture.advance_ms(100);
    let key = fixture.starts[0].key.clone();
    fixture.report_status("w1", 700, vec![key.clone()], vec![]);
    fixture.advance_ms(100);
    fixture.fail_status("w1", OrderOutcome::Lost);
    fixture.advance_ms(2 * LEASE.as_millis() as u64);
    fixture.report_status("w1", 12_000, vec![], vec![run_end(1, &key, RunOutcome::Done)]);
    fixture.advance_ms(200);
    assert_eq!(fixture.starts.len(), 1);
    assert_eq!(fixture.owner.job_status(&Arc::from("job"), None), Some(JobStatus::Completed));
}

#[test]
fn a_silent_worker_off_the_list_keeps_its_runs_until_their_leases_end() {
    let mut fixture = OwnerFixture::with_observed_workers(vec![worker("w1"), worker("w2")]);
    fixture.add_request("job", submit("", vec![step(1, 1000)]));
    fixture.advance_ms(50);
    fixture.confirm_start(0, 600);
    let (id, key) = (fixture.starts[0].worker.clone(), fixture.starts[0].key.clone());
    fixture.report_status(&id, 700, vec![key], vec![]);
    fixture.advance_ms(100);
    fixture.workers.retain(|it| it.id != id);
    fixture.refresh_config();
    fixture.fail_status(&id, OrderOutcome::Lost);
    fixture.advance_ms(LEASE.as_millis() as u64 - 200);
    assert_eq!(fixture.starts.len(), 1);
    // The leases of an earlier owner may last longer than those of this one.
    fixture.advance_ms(5000);
    assert_eq!(fixture.starts.len(), 2);
    assert_ne!(fixture.starts[1].worker, id);
}

#[test]
fn a_new_owner_sets_the_speed_of_inherited_best_effort_runs() {
    let mut fixture = OwnerFixture::with_observed_workers(vec![worker("w1")]);
    let mut fill = step(1, 1000);
    fill.fill = true;
    fixture.add_request("job", submit("", vec![fill]));
    fixture.advance_ms(100);
    let key = fixture.starts[0].key.clone();
    fixture.confirm_start(0, 650);
    fixture.report_status("w1", 700, vec![key.clone()], vec![]);
    fixture.advance_ms(100);
    // An earlier owner has ordered a speed of zero here.
    fixture.replace_owner();
    fixture.refresh_config();
    fixture.advance_ms(100);
    fixture.report_status("w1", 900, vec![key.clone()], vec![]);
    fixture.advance_ms(2000);
    fixture.report_status("w1", 2900, vec![key.clone()], vec![]);
    fixture.advance_ms(100);
    assert!(!fixture.speed_orders.is_empty(), "the run stays suspended for ever");
}

#[test]
fn a_lost_speed_order_is_repeated() {
    let mut fixture = OwnerFixture::with_observed_workers(vec![worker("w1")]);
    let mut long_running = step(1, 1000);
    long_running.lasting = true;
    long_running.target_ms = 100;
    let mut best_effort = step(1, 1000);
    best_effort.fill = true;
    fixture.add_request("serving", submit("", vec![long_running]));
    fixture.add_request("filling", submit("", vec![best_effort]));
    fixture.advance_ms(1000);
    let keys: Vec<_> = fixture.starts.iter().map(|it| it.key.clone()).collect();
    let report = |fixture: &mut OwnerFixture, clock_ms: u64, response_ms: u64| {
        let active = keys.iter().map(|key| ActiveRun {
            key: key.clone(),
            checkpoint: Arc::from(""),
            percent: 100,
            measurement: Some(response_ms),
        });
        let status = WorkerStatus {
            clock_ms,
            started_ms: 1000,
            active: active.collect(),
            ..Default::default()
        };
        let contact = fixture.contact("w1");
        fixture.owner.status_received(fixture.now, &Arc::from("w1"), contact, status);
        fixture.advance_ms(700);
    };
    for round in 0..4 {
        report(&mut fixture, 2000 + 700 * round, 150);
    }
    for round in 0..5 {
        report(&mut fixture, 6000 + 700 * round, 20);
    }
    assert_eq!(fixture.speed_orders.last().unwrap().1, 100);
    let orders = fixture.speed_orders.len();
    let contact = fixture.contact("w1");
    fixture.owner.order_answered(&Arc::from("w1"), contact, OrderOutcome::Lost);
    for round in 0..10 {
        report(&mut fixture, 12_000 + 700 * round, 20);
    }
    assert!(orders < fixture.speed_orders.len(), "the run keeps the lower speed for ever");
}

#[test]
fn a_job_whose_start_orders_are_lost_is_still_queued() {
    // Regression (users' day late-orders-and-restarts, MIXED): orders got no answer for seconds,
    // and jobs that were placed but not begun were missing from the count.
    let queue: Arc<str> = Arc::from("queue");
    let mut fixture = OwnerFixture::with_observed_workers(vec![worker("w1"), worker("w2")]);
    fixture.add_request("lost", submit("", vec![step(1, 8000)]));
    fixture.add_request("begun", submit("", vec![step(1, 8000)]));
    fixture.advance_ms(100);
    assert_eq!(fixture.starts.len(), 2);
    assert_eq!(fixture.owner.queued_jobs(&queue), 2, "neither order is answered");
    for start in fixture.starts.clone() {
        let outcome = match &*start.key.task.job {
            "begun" => OrderOutcome::Done { clock_ms: 600 },
            _ => OrderOutcome::Lost,
        };
        fixture.answer_start(&start, outcome);
    }
    assert_eq!(fixture.owner.queued_jobs(&queue), 1);
    // The order was carried out, and only its answer was lost.
    let lost = fixture.starts.iter().find(|it| &*it.key.task.job == "lost").unwrap().clone();
    fixture.report_status(&lost.worker, 700, vec![lost.key], vec![]);
    assert_eq!(fixture.owner.queued_jobs(&queue), 0);
}

#[test]
fn a_status_request_is_sent_again_before_the_leases_end_that_the_one_before_renewed() {
    // Running tasks lapsed: a request on a silent connection was given up after 2.4 s, whatever the
    // length of the leases.
    for lease_ms in [1000, 1800, 3600, 4500, 6000] {
        let mut fixture = OwnerFixture::new(vec![worker("w1")]);
        let limits = TimeLimits {
            lease: Duration::from_millis(lease_ms),
            ..time_limits()
        };
        fixture.owner = Scheduler::new(limits, fixture.now, fixture.now.mono);
        fixture.refresh_config();
        fixture.advance_ms(50);
        fixture.report_status("w1", 500, vec![], vec![]);
        fixture.add_request("job", submit("", vec![step(1, 1000)]));
        fixture.advance_ms(100);
        let run = fixture.starts[0].key.clone();
        fixture.report_status("w1", 700, vec![run], vec![]);
        fixture.pause_ms(60);
        let actions = fixture.owner.poll(fixture.now);
        let limits = actions.iter().find_map(|it| match it {
            Action::FetchStatus { wait, overdue_after, .. } => Some((*wait, *overdue_after)),
            _ => None,
        });
        let (wait, overdue_after) = limits.expect("the leases are renewed");
        let overdue_after = overdue_after.expect("the leases hang on the answer");
        let sent_again = wait + Duration::from_millis(60) + overdue_after;
        assert!(
            sent_again + Duration::from_millis(200) <= Duration::from_millis(lease_ms),
            "{lease_ms}: {wait:?}"
        );
    }
}
