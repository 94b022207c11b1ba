//! Placement and urgency by what an owner has learned from runs.

use std::sync::Arc;

use oriolewall::job_record::Request;
use oriolewall::order::{ActiveRun, OrderOutcome, RunOutcome, StartOrder, WorkerStatus};
use oriolewall::spec::Step;
use oriolewall::worker::ListedWorker;
use testutils::owner::{OwnerFixture, run_end, step, submit, time_at, worker};

fn workers(count: usize) -> Vec<ListedWorker> {
    (0..count).map(|it| worker(&format!("w{it}"))).collect()
}

/// Milliseconds on the clocks of the workers.
fn clock_ms(fixture: &OwnerFixture) -> u64 {
    500 + (fixture.now.mono - time_at(50).mono).as_millis() as u64
}

/// Lets all tasks that were started run to their end, for a time that depends on their worker.
fn run_to_end(fixture: &mut OwnerFixture, sequence: &mut u64, run_ms: impl Fn(&str, u16) -> u64) {
    let mut open: Vec<StartOrder> = std::mem::take(&mut fixture.starts);
    let started_ms = clock_ms(fixture);
    for start in &open {
        fixture.answer_start(start, OrderOutcome::Done { clock_ms: started_ms });
    }
    while !open.is_empty() {
        fixture.advance_ms(100);
        let now_ms = clock_ms(fixture);
        let (ended, active): (Vec<StartOrder>, Vec<StartOrder>) = open
            .into_iter()
            .partition(|it| started_ms + run_ms(&it.worker, it.key.task.step) <= now_ms);
        for id in fixture.workers.iter().map(|it| it.id.clone()).collect::<Vec<_>>() {
            let ends = ended.iter().filter(|it| it.worker == id).map(|it| {
                *sequence += 1;
                run_end(*sequence, &it.key, RunOutcome::Done)
            });
            let ends = ends.collect();
            let percent = |step: u16| ((now_ms - started_ms) * 100 / run_ms(&id, step)).min(99) as u32;
            report(fixture, &id, now_ms, active.iter().filter(|it| it.worker == id), percent, ends);
        }
        open = active;
    }
    fixture.advance_ms(100);
}

fn report<'a>(
    fixture: &mut OwnerFixture,
    id: &str,
    clock_ms: u64,
    active: impl Iterator<Item = &'a StartOrder>,
    percent: impl Fn(u16) -> u32,
    ended: Vec<oriolewall::order::RunEnd>,
) {
    let active = active.map(|it| ActiveRun {
        key: it.key.clone(),
        checkpoint: Arc::from(""),
        percent: percent(it.key.task.step),
        measurement: None,
    });
    let status = WorkerStatus {
        clock_ms,
        started_ms: 1000,
        active: active.collect(),
        ended,
        has_unreadable_rows: false,
    };
    let contact = fixture.contact(id);
    fixture.owner.status_received(fixture.now, &Arc::from(id), contact, status);
}

fn image_step(count: u32, cpu: u64, image: &str) -> Step {
    Step {
        image: Arc::from(image),
        ..step(count, cpu)
    }
}

/// An owner whose workers have completed two rounds of tasks, with a run time for each worker.
fn trained(count: usize, run_ms: impl Fn(&str, u16) -> u64) -> OwnerFixture {
    let mut fixture = OwnerFixture::with_observed_workers(workers(count));
    let mut sequence = 0;
    for round in 0..3 {
        fixture.add_request(
            &format!("round{round}"),
            submit("", vec![image_step(8 * count as u32, 1000, "image")]),
        );
        fixture.advance_ms(100);
        assert_eq!(fixture.starts.len(), 8 * count);
        run_to_end(&mut fixture, &mut sequence, &run_ms);
    }
    fixture
}

fn places_of(fixture: &mut OwnerFixture, count: u32) -> Vec<String> {
    fixture.starts.clear();
    fixture.add_request("next", submit("", vec![image_step(count, 1000, "image")]));
    fixture.advance_ms(100);
    fixture.starts.iter().map(|it| it.worker.to_string()).collect()
}

#[test]
fn a_slow_worker_gets_work_last() {
    // The fullest worker with room, in the order of names, is w0: each job with a task there was
    // three times as late as the others.
    let mut fixture = trained(4, |id, _| if id == "w0" { 3000 } else { 1000 });
    let places = places_of(&mut fixture, 25);
    assert_eq!(places.iter().filter(|it| *it == "w0").count(), 1, "{places:?}");
    assert_eq!(
        places.last().map(|it| &**it),
        Some("w0"),
        "it gets work that no other worker has room for"
    );
}

#[test]
fn workers_of_the_same_speed_are_filled_as_if_nothing_was_learned() {
    let mut fixture = trained(4, |_, _| 1000);
    let places = places_of(&mut fixture, 9);
    assert_eq!(places, [vec!["w0"; 8], vec!["w1"]].concat());
}

#[test]
fn a_worker_is_not_slow_without_similar_ones() {
    let mut fixture = trained(2, |id, _| if id == "w0" { 3000 } else { 1000 });
    assert_eq!(places_of(&mut fixture, 1), ["w0"]);
}

#[test]
fn a_worker_on_which_no_task_makes_progress_gets_none_then_one() {
    // Such a worker was used as soon as no other one had room, and held each task for 2.5 s.
    let mut fixture = OwnerFixture::with_observed_workers(workers(2));
    fixture.add_request("first", submit("", vec![step(4, 1000)]));
    fixture.advance_ms(100);
    let stalled = std::mem::take(&mut fixture.starts);
    assert!(stalled.iter().all(|it| &*it.worker == "w0"));
    for start in &stalled {
        fixture.answer_start(start, OrderOutcome::Done { clock_ms: 550 });
    }
    for _ in 0..3 {
        fixture.advance_ms(1000);
        let now_ms = clock_ms(&fixture);
        report(&mut fixture, "w0", now_ms, stalled.iter(), |_| 0, vec![]);
        report(&mut fixture, "w1", now_ms, [].iter(), |_| 0, vec![]);
    }
    let ends = (1..)
        .zip(&stalled)
        .map(|(number, it)| run_end(number, &it.key, RunOutcome::Stopped));
    let ends = ends.collect();
    let now_ms = clock_ms(&fixture);
    report(&mut fixture, "w0", now_ms, [].iter(), |_| 0, ends);
    fixture.add_request("second", submit("", vec![step(20, 1000)]));
    fixture.advance_ms(1000);
    assert_eq!(fixture.starts.len(), 8, "only w1 gets tasks");
    assert!(fixture.starts.iter().all(|it| &*it.worker == "w1"));
    // It was found out 3 s after the start, and 4 s pass until it is tried again.
    fixture.advance_ms(3100);
    let on_suspect: Vec<StartOrder> = fixture.starts.iter().filter(|it| &*it.worker == "w0").cloned().collect();
    assert_eq!(on_suspect.len(), 1, "after the pause it gets one task");
    fixture.answer_start(
        &on_suspect[0],
        OrderOutcome::Done {
            clock_ms: clock_ms(&fixture),
        },
    );
    fixture.advance_ms(300);
    let now_ms = clock_ms(&fixture);
    report(&mut fixture, "w0", now_ms, on_suspect.iter(), |_| 20, vec![]);
    fixture.advance_ms(200);
    let on_suspect = fixture.starts.iter().filter(|it| &*it.worker == "w0").count();
    assert_eq!(on_suspect, 8, "it makes progress again");
}

#[test]
fn the_only_worker_of_a_pool_gets_work_although_its_tasks_made_no_progress() {
    // A pause would leave the jobs of the pool undone, if the tasks and not the worker hang.
    let mut fixture = OwnerFixture::with_observed_workers(workers(1));
    fixture.add_request("first", submit("", vec![step(1, 1000)]));
    fixture.advance_ms(100);
    let stalled = std::mem::take(&mut fixture.starts);
    fixture.answer_start(&stalled[0], OrderOutcome::Done { clock_ms: 550 });
    for _ in 0..3 {
        fixture.advance_ms(1000);
        let now_ms = clock_ms(&fixture);
        report(&mut fixture, "w0", now_ms, stalled.iter(), |_| 0, vec![]);
    }
    fixture.add_request("second", submit("", vec![step(3, 1000)]));
    fixture.advance_ms(100);
    assert_eq!(fixture.starts.len(), 3);
}

#[test]
fn a_job_whose_submitted_run_time_is_ten_times_too_long_can_still_be_in_time() {
    // By the submitted times both jobs end 6.4 s after their objective, so the order of names
    // decided. The tasks of the second take a second.
    let mut fixture = OwnerFixture::with_observed_workers(workers(1));
    let long = |image: &str| Step {
        estimate_ms: 10_000,
        ..image_step(8, 1000, image)
    };
    let mut sequence = 0;
    fixture.add_request("train", submit("", vec![long("short")]));
    fixture.advance_ms(100);
    run_to_end(&mut fixture, &mut sequence, |_, _| 1000);
    for (id, image) in [("a", "unknown"), ("b", "short")] {
        let Request::Submit(mut submission) = submit("", vec![long(image)]) else {
            unreachable!("it is a submission");
        };
        submission.received_ms = fixture.now.wall_ms() - 12_000;
        fixture.add_request(id, Request::Submit(submission));
    }
    fixture.advance_ms(100);
    let placed: Vec<&str> = fixture.starts.iter().map(|it| &*it.key.task.job).collect();
    assert_eq!(placed, ["b"; 8]);
}

/// An owner of six workers on which tasks of image `a` took twice as long beside those of `b`.
fn with_interference() -> OwnerFixture {
    let mut fixture = OwnerFixture::with_observed_workers(workers(6));
    let mut sequence = 0;
    for round in 0..2 {
        fixture.add_request(&format!("alone{round}"), submit("", vec![image_step(24, 2000, "a")]));
        fixture.advance_ms(100);
        run_to_end(&mut fixture, &mut sequence, |_, _| 1000);
    }
    for round in 0..2 {
        for worker in 0..6 {
            let steps = vec![image_step(1, 4000, "a"), image_step(1, 4000, "b")];
            fixture.add_request(&format!("both{round}{worker}"), submit("", steps));
            fixture.advance_ms(50);
        }
        assert_eq!(fixture.starts.len(), 12);
        run_to_end(&mut fixture, &mut sequence, |_, step| if step == 0 { 2000 } else { 2100 });
    }
    fixture.add_request("a", submit("", vec![image_step(1, 1000, "a")]));
    fixture.advance_ms(100);
    assert_eq!(&*fixture.starts[0].worker, "w0");
    fixture.starts.clear();
    fixture
}

#[test]
fn images_that_interfere_are_placed_apart() {
    // Both went to the fullest worker with room, and the first took twice as long there.
    let mut fixture = with_interference();
    for (id, image, worker) in [("b", "b", "w1"), ("c", "c", "w0"), ("a2", "a", "w0")] {
        fixture.add_request(id, submit("", vec![image_step(1, 500, image)]));
        fixture.advance_ms(100);
        let start = fixture.starts.pop().unwrap();
        assert_eq!((&*start.key.task.job, &*start.worker), (id, worker));
    }
}

#[test]
fn images_that_interfere_share_a_worker_if_no_other_has_room() {
    // A preference that left a task waiting would cost more than the slowdown.
    let mut fixture = with_interference();
    fixture.add_request("c", submit("", vec![image_step(5, 8000, "c")]));
    fixture.advance_ms(100);
    fixture.starts.clear();
    fixture.add_request("b", submit("", vec![image_step(1, 1000, "b")]));
    fixture.advance_ms(100);
    assert_eq!(&*fixture.starts[0].worker, "w0");
}

#[test]
fn interfering_images_take_few_more_workers_than_their_tasks_would_fill() {
    // Each task of `b` avoids the workers with `a`; without a bound each would open another one.
    let mut fixture = with_interference();
    let steps = (0..6)
        .map(|_| image_step(1, 1000, "b"))
        .chain((0..6).map(|_| image_step(1, 1000, "a")));
    fixture.add_request("next", submit("", steps.collect()));
    fixture.advance_ms(100);
    let mut used: Vec<&str> = fixture.starts.iter().map(|it| &*it.worker).collect();
    assert_eq!(used.len(), 12);
    used.sort_unstable();
    used.dedup();
    assert!(used.len() <= 3, "13 tasks fill 1.6 workers: {used:?}");
}

#[test]
fn tasks_are_placed_as_without_learning_while_nothing_stands_out() {
    bolero::check!()
        .with_iterations(200)
        .with_type::<Vec<(u8, u8, bool)>>()
        .for_each(|jobs| {
            let starts_of = |learns: bool| {
                let fixture = OwnerFixture::with_observed_workers(workers(5));
                let mut fixture = OwnerFixture {
                    owner: fixture.owner.with_learning(learns),
                    ..fixture
                };
                let (mut sequence, mut starts) = (0, Vec::new());
                for (round, jobs) in jobs.chunks(4).take(6).enumerate() {
                    for (number, (count, cpu, is_other)) in jobs.iter().enumerate() {
                        let image = if *is_other { "a" } else { "b" };
                        let step = image_step(u32::from(count % 16) + 1, 20 * u64::from(*cpu) + 100, image);
                        fixture.add_request(&format!("{round}.{number}"), submit("", vec![step]));
                        fixture.advance_ms(50);
                    }
                    starts.extend(fixture.starts.iter().map(|it| (it.worker.clone(), it.key.clone())));
                    run_to_end(&mut fixture, &mut sequence, |_, _| 1000);
                }
                starts
            };
            assert_eq!(starts_of(true), starts_of(false));
        });
}
