//! The limit on the runs that an owner starts at the same time, under more load than its
//! processor can carry.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use oriolewall::job_record::TaskKey;
use oriolewall::order::{OrderOutcome, Refusal};
use oriolewall::start_window::{Answer, Window};
use oriolewall::worker::RunKey;
use testutils::owner::{OwnerFixture, step, submit, worker};

/// Starts that the processor of the simulated owner can carry through in a second.
const CAPACITY: u32 = 100;
/// Processor time of one half of a start: sending the order, or handling its answer.
const HALF: Duration = Duration::from_millis(500 / CAPACITY as u64);
/// Time after which a worker refuses an order.
const EXPIRY: Duration = Duration::from_secs(1);
/// Time between two placements.
const ROUND: Duration = Duration::from_millis(25);

/// Work of the simulated owner: a run, when its order was decided, and whether the worker has
/// answered in time; `None` before the order is sent.
type Work = (RunKey, Duration, Option<bool>);

/// Starts and refusals during a simulation.
#[derive(Debug, Default, PartialEq, Eq)]
struct Outcome {
    started: u32,
    late: u32,
    unsettled: usize,
}

fn run(number: u32) -> RunKey {
    let task = TaskKey {
        job: Arc::from("job"),
        turn: 0,
        step: 0,
        index: number,
    };
    RunKey { task, run: 1 }
}

/// Runs an owner to whom `backlog` tasks are given at once and `offered` in each second of a time.
/// A task whose start was refused waits again. Without a window all of them are ordered at once.
fn simulate(mut window: Option<Window>, backlog: u32, offered: u32, time: Duration) -> Outcome {
    let mut result = Outcome::default();
    let mut work: VecDeque<Work> = VecDeque::new();
    let mut number = 0;
    let mut waiting = f64::from(backlog);
    let (mut now, mut next_round) = (Duration::ZERO, Duration::ZERO);
    while now < time {
        while next_round <= now {
            next_round += ROUND;
            waiting += f64::from(offered) * ROUND.as_secs_f64();
            while 1.0 <= waiting && !window.as_ref().is_some_and(Window::is_full) {
                waiting -= 1.0;
                number += 1;
                if let Some(window) = &mut window {
                    window.add(run(number));
                    window.order(now, &run(number));
                }
                work.push_back((run(number), now, None));
            }
        }
        let Some((key, decided_at, answer)) = work.pop_front() else {
            now = next_round;
            continue;
        };
        now += HALF;
        match answer {
            None => work.push_back((key, decided_at, Some(now <= decided_at + EXPIRY))),
            Some(is_started) => {
                let answer = match is_started {
                    true => Answer::Started,
                    false => Answer::Late,
                };
                result.started += u32::from(is_started);
                result.late += u32::from(!is_started);
                waiting += f64::from(u8::from(!is_started));
                if let Some(window) = &mut window {
                    window.settle(now, &key, answer);
                }
            }
        }
    }
    result.unsettled = work.len();
    result
}

#[test]
fn an_overloaded_owner_starts_as_much_as_it_can_carry_through() {
    // Without the limit nearly each start was refused as late for as long as the load lasted.
    let time = Duration::from_secs(20);
    for quarters in [1, 2, 4, 8, 12, 40] {
        let offered = CAPACITY * quarters / 4;
        let result = simulate(Some(Window::default()), 0, offered, time);
        let possible = offered.min(CAPACITY) * 20;
        println!(
            "offered {offered}: {result:?} without a limit {:?}",
            simulate(None, 0, offered, time)
        );
        assert!(possible * 9 / 10 <= result.started, "offered {offered}: {result:?}");
        assert!(result.late * 100 <= result.started, "offered {offered}: {result:?}");
    }
}

#[test]
fn a_backlog_drains_in_the_time_that_the_processor_allows() {
    for backlog in [700, 7000] {
        let time = Duration::from_secs(u64::from(backlog / CAPACITY) + 2);
        let result = simulate(Some(Window::default()), backlog, 0, time);
        println!(
            "backlog {backlog}: {result:?} without a limit {:?}",
            simulate(None, backlog, 0, time)
        );
        assert_eq!(result.started, backlog, "{result:?}");
        assert!(result.late * 100 <= result.started, "{result:?}");
    }
}

/// An owner of one large worker with more waiting tasks than it may start at the same time.
fn owner_with_many_tasks() -> OwnerFixture {
    let mut large = worker("w1");
    large.capacity.cpu = 1_000_000;
    large.capacity.mem = 1_000_000;
    let mut fixture = OwnerFixture::with_observed_workers(vec![large]);
    for job in 0..60 {
        fixture.add_request(&format!("job-{job}"), submit("", vec![step(10, 100)]));
    }
    fixture.advance_ms(100);
    fixture
}

#[test]
fn waiting_tasks_are_not_placed_beyond_the_limit() {
    let limit = Window::default().limit();
    let mut fixture = owner_with_many_tasks();
    assert_eq!(fixture.starts.len(), limit);
    fixture.advance_ms(100);
    assert_eq!(fixture.starts.len(), limit, "no order was answered");
    for index in 0..limit / 4 {
        fixture.confirm_start(index, 650);
    }
    fixture.advance_ms(100);
    assert_eq!(fixture.starts.len(), limit + limit / 2, "the limit grows with answers in time");
}

#[test]
fn starts_that_come_too_late_halve_the_limit_once() {
    let limit = Window::default().limit();
    let mut fixture = owner_with_many_tasks();
    for start in fixture.starts.clone() {
        fixture.answer_start(&start, OrderOutcome::Refused(Refusal::Late));
    }
    fixture.advance_ms(100);
    assert_eq!(fixture.starts.len(), limit + limit / 2);
}

#[test]
fn late_answers_of_a_few_workers_leave_the_limit_alone() {
    // Every third answer comes over a bad link.
    let mut window = Window::default();
    let limit = window.limit();
    for number in 0..1000 {
        let ordered_at = Duration::from_secs(u64::from(number));
        window.add(run(number));
        window.order(ordered_at, &run(number));
        let time = Duration::from_millis(if number % 3 == 0 { 800 } else { 20 });
        assert!(!window.settle(ordered_at + time, &run(number), Answer::Started));
    }
    assert_eq!(window.limit(), limit, "and it does not grow while it is not needed");
}
