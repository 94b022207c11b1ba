//! Jobs that cannot be placed delay only themselves.

use std::sync::Arc;

use oriolewall::catalog::Queue;
use oriolewall::id::TeamId;
use oriolewall::job_record::Request;
use oriolewall::spec::Step;
use testutils::owner::{OwnerFixture, queue, step, submit, time_at, worker};

/// A long-running step whose tasks take little room.
fn lasting(count: u32) -> Step {
    let mut step = step(count, 1);
    step.need.mem = 1;
    step.lasting = true;
    step
}

fn fixture(workers: usize) -> OwnerFixture {
    let workers = (0..workers).map(|it| worker(&format!("w{it}"))).collect();
    OwnerFixture::with_observed_workers(workers)
}

/// Time on the workers' clocks.
fn clock_ms(fixture: &OwnerFixture) -> u64 {
    (fixture.now.mono - time_at(0).mono).as_millis() as u64 + 450
}

/// Lets the owner act and answers its start orders in time.
fn advance_and_confirm(fixture: &mut OwnerFixture, ms: u64) {
    for _ in 0..ms / 50 {
        let first = fixture.starts.len();
        fixture.advance_ms(50);
        for index in first..fixture.starts.len() {
            fixture.confirm_start(index, clock_ms(fixture));
        }
    }
}

/// Adds long-running jobs that are blocked and then ten short jobs. Returns how many of these have
/// started a second later.
fn started_beside<F>(fixture: &mut OwnerFixture, blocked: usize, request: F) -> usize
where
    F: Fn(usize) -> Request,
{
    for index in 0..blocked {
        fixture.add_request(&format!("blocked{index:05}"), request(index));
    }
    let mut placed = None;
    while placed != Some(fixture.starts.len()) {
        placed = Some(fixture.starts.len());
        advance_and_confirm(fixture, 200);
    }
    for index in 0..10 {
        fixture.add_request(&format!("short{index}"), submit("", vec![step(1, 100)]));
    }
    advance_and_confirm(fixture, 1000);
    let is_short = |job: &str| job.starts_with("short");
    fixture.starts.iter().filter(|it| is_short(&it.key.task.job)).count()
}

#[test]
fn tasks_beyond_the_spread_do_not_hold_up_other_jobs() {
    // Regression (review/2, LOST): after the loss of one of eight workers, 34 jobs with a task
    // for each of them kept all other jobs of the pool from running.
    for blocked in [34, 1000] {
        let started = started_beside(&mut fixture(7), blocked, |_| {
            let mut spread = lasting(8);
            spread.spread = 1;
            submit("", vec![spread])
        });
        assert_eq!(started, 10, "beside {blocked} jobs");
    }
}

#[test]
fn tasks_with_a_label_that_no_worker_has_do_not_hold_up_other_jobs() {
    for blocked in [34, 1000] {
        let started = started_beside(&mut fixture(7), blocked, |_| {
            let mut labelled = lasting(1);
            labelled.label = Arc::from("b");
            submit("", vec![labelled])
        });
        assert_eq!(started, 10, "beside {blocked} jobs");
    }
}

#[test]
fn tasks_that_no_worker_can_hold_do_not_hold_up_other_jobs() {
    for blocked in [34, 1000] {
        let started = started_beside(&mut fixture(7), blocked, |index| {
            let mut large = lasting(1);
            // Neither amount contains another one.
            large.need.cpu = 4000 + index as u64;
            large.need.mem = 20_000 - index as u64;
            submit("", vec![large])
        });
        assert_eq!(started, 10, "beside {blocked} jobs");
    }
}

#[test]
fn tasks_that_need_the_room_of_long_running_ones_do_not_hold_up_other_jobs() {
    // No room is kept free for a task that would get none by it, least of all the only worker's.
    for (workers, blocked, cpu) in [(1, 34, 1000), (1, 34, 5000), (7, 1000, 5000)] {
        let mut fixture = fixture(workers);
        let mut running = lasting(workers as u32);
        running.spread = 1;
        running.need.cpu = cpu;
        fixture.add_request("running", submit("", vec![running]));
        advance_and_confirm(&mut fixture, 200);
        let started = started_beside(&mut fixture, blocked, |_| {
            let mut large = lasting(1);
            large.need.cpu = 7500;
            submit("", vec![large])
        });
        assert_eq!(started, 10, "beside {blocked} jobs on {workers} workers");
        let before = fixture.starts.len();
        for index in 0..10 {
            fixture.add_request(&format!("later{index}"), submit("", vec![step(1, 100)]));
        }
        advance_and_confirm(&mut fixture, 200);
        assert_eq!(
            fixture.starts.len() - before,
            10,
            "later beside {blocked} jobs on {workers} workers"
        );
    }
}

#[test]
fn gangs_without_room_do_not_hold_up_other_jobs() {
    for blocked in [34, 1000] {
        let started = started_beside(&mut fixture(7), blocked, |_| {
            let mut gang = step(8, 5000);
            gang.gang = true;
            gang.lasting = true;
            submit("", vec![gang])
        });
        assert_eq!(started, 10, "beside {blocked} jobs");
    }
}

#[test]
fn tasks_without_approval_do_not_hold_up_other_jobs() {
    for blocked in [34, 1000] {
        let mut fixture = fixture(7);
        let approved = Queue {
            needs_advice: true,
            ..queue("approved", "/a/", "pool")
        };
        fixture.configure(2, &[queue("queue", "/q/", "pool"), approved]);
        let started = started_beside(&mut fixture, blocked, |_| {
            let Request::Submit(mut submission) = submit("", vec![lasting(1)]) else {
                unreachable!("it is a submission");
            };
            submission.queue = Arc::from("approved");
            Request::Submit(submission)
        });
        assert_eq!(started, 10, "beside {blocked} jobs");
        // The service is asked for each of them, however many get no answer.
        advance_and_confirm(&mut fixture, 2000);
        assert_eq!(fixture.advice_requests.len(), blocked);
    }
}

#[test]
fn tasks_beyond_the_limit_of_a_team_do_not_hold_up_its_other_jobs() {
    let team: TeamId = Arc::from("team");
    let mut fixture = fixture(7);
    let cap = lasting(1).need.times(100);
    fixture
        .catalog
        .teams
        .insert(team.clone(), oriolewall::catalog::Team { weight: 1.0, cap });
    fixture.refresh_config();
    fixture.owner.set_grants([(team, cap)].into());
    for index in 0..34 {
        let mut large = lasting(1);
        large.need = cap.times(2);
        fixture.add_request(&format!("blocked{index}"), submit("team", vec![large]));
    }
    fixture.add_request("later", submit("team", vec![lasting(5)]));
    advance_and_confirm(&mut fixture, 200);
    assert_eq!(fixture.starts.len(), 5);
}

#[test]
fn each_blocked_job_is_placed_soon_after_its_reason_is_gone() {
    // A pass repeats only some of the failed searches; none of them may be left out for long.
    let mut fixture = fixture(7);
    let blocked = 4000;
    let started = started_beside(&mut fixture, blocked, |_| {
        let mut spread = lasting(8);
        spread.spread = 1;
        submit("", vec![spread])
    });
    assert_eq!(started, 10);
    let before = fixture.starts.len();
    fixture.workers.push(worker("w7"));
    fixture.refresh_config();
    fixture.advance_ms(50);
    let clock_ms = clock_ms(&fixture);
    fixture.report_status("w7", clock_ms, vec![], vec![]);
    advance_and_confirm(&mut fixture, 2000);
    assert_eq!(fixture.starts.len() - before, blocked);
}
