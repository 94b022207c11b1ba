//! Which tasks an owner places on which workers.

use std::collections::HashMap;
use std::sync::Arc;

use oriolewall::catalog::Team;
use oriolewall::id::TeamId;
use oriolewall::job_record::Request;
use oriolewall::order::RunOutcome;
use oriolewall::query::JobStatus;
use oriolewall::resources::Resources;
use testutils::owner::{OwnerFixture, queue, run_end, step, submit, time_at, worker};

#[test]
fn workers_are_never_filled_beyond_their_capacity() {
    let mut fixture = OwnerFixture::with_observed_workers(vec![worker("w1")]);
    fixture.add_request("job", submit("", vec![step(20, 3000)]));
    fixture.advance_ms(300);
    assert_eq!(fixture.starts.len(), 2);
}

#[test]
fn a_teams_running_tasks_stay_within_its_grant() {
    let mut fixture = OwnerFixture::new(vec![worker("w1")]);
    let team = Team {
        weight: 1.0,
        cap: Resources { cpu: 3000, mem: 0, gpu: 0 },
    };
    fixture.catalog.teams.insert(Arc::from("team"), team);
    fixture.refresh_config();
    fixture.advance_ms(50);
    fixture.report_status("w1", 500, vec![], vec![]);
    fixture.add_request("job", submit("team", vec![step(8, 1000)]));
    fixture.advance_ms(200);
    assert!(fixture.starts.is_empty(), "the team has no grant");
    fixture
        .owner
        .set_grants(HashMap::from([(Arc::from("team"), Resources { cpu: 2000, mem: 0, gpu: 0 })]));
    fixture.advance_ms(200);
    assert_eq!(fixture.starts.len(), 2);
}

#[test]
fn evacuated_zones_and_draining_workers_get_no_new_tasks() {
    let mut draining = worker("w1");
    draining.draining = true;
    let mut evacuated = worker("w2");
    evacuated.zone = Arc::from("zb");
    let mut fixture = OwnerFixture::new(vec![draining, evacuated]);
    fixture.catalog.evacuated_zones.insert(Arc::from("zb"));
    fixture.refresh_config();
    fixture.advance_ms(50);
    fixture.report_status("w1", 500, vec![], vec![]);
    fixture.report_status("w2", 500, vec![], vec![]);
    fixture.add_request("job", submit("", vec![step(1, 1000)]));
    fixture.advance_ms(300);
    assert!(fixture.starts.is_empty());
}

#[test]
fn a_zone_evacuated_before_the_start_order_gets_no_task() {
    let mut fixture = OwnerFixture::with_observed_workers(vec![worker("w1")]);
    fixture.confirms_commits = false;
    fixture.add_request("job", submit("", vec![step(1, 1000)]));
    fixture.advance_ms(100);
    fixture.catalog.evacuated_zones.insert(Arc::from("za"));
    fixture.refresh_config();
    fixture.owner.commit_confirmed(fixture.now);
    fixture.advance_ms(100);
    assert!(fixture.starts.is_empty());
}

#[test]
fn a_gang_starts_as_a_whole_with_one_run_number() {
    let mut fixture = OwnerFixture::new(vec![worker("w1"), worker("w2")]);
    fixture.advance_ms(50);
    fixture.report_status("w1", 500, vec![], vec![]);
    let mut gang = step(4, 3000);
    gang.gang = true;
    fixture.add_request("job", submit("", vec![gang]));
    fixture.advance_ms(200);
    assert!(fixture.starts.is_empty(), "w1 has capacity for two members only");
    fixture.report_status("w2", 500, vec![], vec![]);
    fixture.advance_ms(200);
    assert_eq!(fixture.starts.len(), 4);
    assert!(fixture.starts.iter().all(|it| it.key.run == 1));
    let key = fixture.starts[0].key.clone();
    let id = fixture.starts[0].worker.clone();
    fixture.report_status(&id, 900, vec![], vec![run_end(1, &key, RunOutcome::Done)]);
    fixture.advance_ms(100);
    assert_eq!(fixture.owner.job_status(&Arc::from("job"), None), Some(JobStatus::Completed));
}

#[test]
fn spread_limits_the_tasks_of_a_step_on_one_worker() {
    let mut fixture = OwnerFixture::with_observed_workers(vec![worker("w1"), worker("w2")]);
    let mut spread_step = step(3, 100);
    spread_step.spread = 1;
    fixture.add_request("job", submit("", vec![spread_step]));
    fixture.advance_ms(200);
    assert_eq!(fixture.starts.len(), 2);
}

#[test]
fn labels_restrict_the_workers() {
    let mut fixture = OwnerFixture::with_observed_workers(vec![worker("w1")]);
    let mut labelled = step(1, 100);
    labelled.label = Arc::from("b");
    fixture.add_request("job", submit("", vec![labelled]));
    fixture.advance_ms(200);
    assert!(fixture.starts.is_empty());
}

#[test]
fn same_rack_tasks_run_on_one_rack() {
    let mut other_rack = worker("w2");
    other_rack.rack = Arc::from("r2");
    other_rack.capacity.cpu = 6000;
    let mut fixture = OwnerFixture::new(vec![worker("w1"), other_rack]);
    fixture.advance_ms(50);
    fixture.report_status("w1", 500, vec![], vec![]);
    fixture.report_status("w2", 500, vec![], vec![]);
    let mut same_rack_step = step(4, 1500);
    same_rack_step.same_rack = true;
    fixture.add_request("job", submit("", vec![same_rack_step]));
    fixture.advance_ms(200);
    assert!(fixture.starts.iter().all(|it| &*it.worker == "w1"));
}

#[test]
fn a_late_job_that_can_still_be_of_use_goes_before_one_that_cannot() {
    // Replays a backlog: the objective is 2.1 s, so results are of use for 6.3 s. The oldest
    // job, which would end later than that, went first and made the next one too late as well.
    let mut fixture = OwnerFixture::with_observed_workers(vec![worker("w1")]);
    fixture.now = time_at(4500);
    for (id, age_ms) in [("useful", 4500), ("overdue", 6000)] {
        let Request::Submit(mut submission) = submit("", vec![step(8, 1000)]) else {
            unreachable!("it is a submission");
        };
        submission.received_ms = time_at(4500).wall_ms() - age_ms;
        fixture.add_request(id, Request::Submit(submission));
    }
    fixture.advance_ms(50);
    let placed: Vec<&str> = fixture.starts.iter().map(|it| &*it.key.task.job).collect();
    assert!(!placed.is_empty() && placed.iter().all(|it| *it == "useful"), "{placed:?}");
}

#[test]
fn a_full_pool_does_not_hold_up_the_other_pools_of_its_owner() {
    // Regression (users' day late-orders-and-restarts, LOST): a pass ended after 33 jobs that
    // had no room, so 282 free workers of another pool of the owner got no tasks.
    let mut other_worker = worker("w2");
    other_worker.pool = Arc::from("other");
    let mut fixture = OwnerFixture::with_observed_workers(vec![worker("w1"), other_worker]);
    fixture.configure(2, &[queue("queue", "/q/", "pool"), queue("other", "/o/", "other")]);
    for index in 0..50 {
        fixture.add_request(&format!("full{index:02}"), submit("", vec![step(1, 8000)]));
    }
    let Request::Submit(mut submission) = submit("", vec![step(2, 8000)]) else {
        unreachable!("it is a submission");
    };
    submission.queue = Arc::from("other");
    submission.pool = Arc::from("other");
    fixture.add_request("later", Request::Submit(submission));
    fixture.advance_ms(100);
    let placed: Vec<(&str, &str)> = fixture.starts.iter().map(|it| (&*it.key.task.job, &*it.worker)).collect();
    assert!(placed.contains(&("later", "w2")), "{placed:?}");
}

#[test]
fn a_team_at_its_limit_does_not_hold_up_the_other_teams() {
    // A pass left out the rest of the pool's jobs after 33 that were not placed, also if these
    // waited for their team's limit and the pool had room.
    let (full, other): (TeamId, TeamId) = (Arc::from("full"), Arc::from("other"));
    let cap = |cpu: u64| Resources { cpu, mem: 0, gpu: 0 };
    let mut fixture = OwnerFixture::with_observed_workers(vec![worker("w1")]);
    for team in [&full, &other] {
        let settings = Team {
            weight: 1.0,
            cap: cap(4000),
        };
        fixture.catalog.teams.insert(team.clone(), settings);
    }
    fixture.refresh_config();
    fixture.owner.set_grants(HashMap::from([(full, cap(1000)), (other, cap(4000))]));
    for index in 0..50 {
        fixture.add_request(&format!("full{index:02}"), submit("full", vec![step(1, 1000)]));
    }
    fixture.add_request("later", submit("other", vec![step(2, 1000)]));
    fixture.advance_ms(100);
    let placed = fixture.starts.iter().filter(|it| &*it.key.task.job == "later").count();
    assert_eq!((placed, fixture.starts.len()), (2, 3));
}
