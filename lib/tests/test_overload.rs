//! The order of jobs while a pool has less room than work: replays of bursts.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use oriolewall::catalog::{Queue, Team};
use oriolewall::id::InstanceId;
use oriolewall::job_record::Request;
use oriolewall::order::RunOutcome;
use oriolewall::query::JobStatus;
use oriolewall::resources::Resources;
use oriolewall::worker::RunKey;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use testutils::owner::{OwnerFixture, queue, run_end, step, submit, time_at, worker};

const CORES: u64 = 16;
const TICK_MS: u64 = 10;

/// A job of a replay.
#[derive(Clone, Debug)]
struct Arrival {
    at_ms: u64,
    queue: &'static str,
    team: String,
    steps: u32,
    tasks: u32,
    cpu: u64,
}

impl Arrival {
    /// Work, millicores times seconds.
    fn work(&self) -> u64 {
        u64::from(self.steps * self.tasks) * self.cpu
    }

    /// Objective of the fixture's queue.
    fn objective_ms(&self) -> u64 {
        u64::from(self.steps) * 1500 + 600
    }

    fn request(&self) -> Request {
        let steps = (0..self.steps).map(|index| {
            let mut step = step(self.tasks, self.cpu);
            step.need.mem = 1;
            step.after = (0..index as u16).rev().take(1).collect();
            step
        });
        let Request::Submit(mut submission) = submit(&self.team, steps.collect()) else {
            unreachable!("it is a submission");
        };
        submission.queue = Arc::from(self.queue);
        submission.received_ms = time_at(self.at_ms).wall_ms();
        Request::Submit(submission)
    }
}

/// Time from arrival to end of each job, milliseconds; `None` if it has not ended.
fn replay(workers: usize, weights: &[(&str, f64)], arrivals: &[Arrival], until_ms: u64) -> Vec<Option<u64>> {
    let listed = (0..workers).map(|index| {
        let mut worker = worker(&format!("w{index:02}"));
        worker.capacity.cpu = CORES * 1000;
        worker
    });
    let mut fixture = OwnerFixture::with_observed_workers(listed.collect());
    for (team, weight) in weights {
        let cap = Resources::default();
        fixture.catalog.teams.insert(Arc::from(*team), Team { weight: *weight, cap });
    }
    let urgent = queue("urgent", "/u/", "pool");
    let other = Queue {
        priority: 1,
        ..queue("queue", "/q/", "pool")
    };
    fixture.configure(2, &[urgent, other]);
    let mut running: BTreeMap<InstanceId, Vec<(RunKey, u64)>> = BTreeMap::new();
    let mut sequences: HashMap<InstanceId, u64> = HashMap::new();
    let mut ended: Vec<Option<u64>> = vec![None; arrivals.len()];
    let id = |index: usize| format!("{index:016x}");
    let mut submitted = 0;
    loop {
        let now_ms = (fixture.now.mono - time_at(0).mono).as_millis() as u64;
        if until_ms <= now_ms {
            return ended;
        }
        while submitted < arrivals.len() && arrivals[submitted].at_ms <= now_ms {
            fixture.add_request(&id(submitted), arrivals[submitted].request());
            submitted += 1;
        }
        let first = fixture.starts.len();
        fixture.advance_ms(TICK_MS);
        let clock_ms = now_ms + TICK_MS + 450;
        for index in first..fixture.starts.len() {
            fixture.confirm_start(index, clock_ms);
            let start = fixture.starts[index].clone();
            running.entry(start.worker).or_default().push((start.key, now_ms + 1000));
        }
        for (id, runs) in &mut running {
            let (done, left): (Vec<_>, Vec<_>) = std::mem::take(runs).into_iter().partition(|(_, at)| *at <= now_ms);
            *runs = left;
            if done.is_empty() {
                continue;
            }
            let sequence = sequences.entry(id.clone()).or_default();
            let ends = done.iter().map(|(key, _)| {
                *sequence += 1;
                run_end(*sequence, key, RunOutcome::Done)
            });
            let ends = ends.collect();
            let active = runs.iter().map(|(key, _)| key.clone()).collect();
            fixture.report_status(id, clock_ms, active, ends);
        }
        for (index, end) in ended.iter_mut().enumerate().take(submitted).filter(|(_, it)| it.is_none()) {
            let status = fixture.owner.job_status(&Arc::from(id(index)), None);
            if status == Some(JobStatus::Completed) {
                *end = Some(now_ms + TICK_MS - arrivals[index].at_ms);
            }
        }
    }
}

fn burst(seed: u64) -> Vec<Arrival> {
    let mut random = StdRng::seed_from_u64(seed);
    let jobs = (0..1740).map(|index| Arrival {
        at_ms: 100 + index * 6000 / 1740,
        queue: "queue",
        team: format!("team{}", random.random_range(0..20)),
        steps: if random.random_bool(0.6) { 2 } else { 1 },
        tasks: random.random_range(2..=14),
        cpu: 1500,
    });
    jobs.collect()
}

/// Most jobs that could be in time if their work could be divided at will (M. Moore, An n Job, One
/// Machine Sequencing Algorithm, Management Science 1968): of the jobs in order of their deadlines,
/// the largest is left out whenever one ends late.
fn upper_bound(workers: usize, arrivals: &[Arrival]) -> usize {
    let mut jobs: Vec<&Arrival> = arrivals.iter().collect();
    jobs.sort_by_key(|it| it.at_ms + it.objective_ms());
    let mut kept: std::collections::BinaryHeap<u64> = Default::default();
    let mut work = 0;
    for job in jobs {
        kept.push(job.work());
        work += job.work();
        if workers as u64 * CORES * (job.at_ms + job.objective_ms()) < work {
            work -= kept.pop().expect("a job was just added");
        }
    }
    kept.len()
}

/// Jobs in time and all jobs.
type Served = (usize, usize);

fn rate(served: Served) -> f64 {
    served.0 as f64 / served.1.max(1) as f64
}

/// Number of jobs that ended within `factor` times their objective.
fn served<'a, I>(factor: u64, jobs: I) -> Served
where
    I: IntoIterator<Item = &'a (&'a Arrival, Option<u64>)>,
{
    jobs.into_iter().fold((0, 0), |(served, all), (job, end)| {
        let is_served = end.is_some_and(|it| it <= factor * job.objective_ms());
        (served + usize::from(is_served), all + 1)
    })
}

fn by_team(factor: u64, jobs: &[(&Arrival, Option<u64>)]) -> BTreeMap<String, f64> {
    let teams: std::collections::BTreeSet<&String> = jobs.iter().map(|(job, _)| &job.team).collect();
    let of_team = |team: &String| rate(served(factor, jobs.iter().filter(|(job, _)| job.team == *team)));
    teams.into_iter().map(|it| (it.clone(), of_team(it))).collect()
}

#[test]
fn a_burst_is_served_by_size_with_bounds_for_teams_and_large_jobs() {
    let (mut in_time, mut bound, mut useful, mut largest) = (0, 0, 0, 0);
    let mut worst = 0.0;
    for seed in [1, 2, 3] {
        let arrivals = burst(seed);
        let ended = replay(62, &[], &arrivals, 45_000);
        let jobs: Vec<(&Arrival, Option<u64>)> = arrivals.iter().zip(ended).collect();
        assert!(jobs.iter().all(|(_, end)| end.is_some()), "accepted work is done, even late");
        in_time += served(1, &jobs).0;
        useful += served(3, &jobs).0;
        bound += upper_bound(62, &arrivals);
        let mut by_size = jobs.clone();
        by_size.sort_by_key(|it| std::cmp::Reverse(it.0.work()));
        largest += served(3, &by_size[..jobs.len() / 10]).0;
        let mut teams: Vec<f64> = by_team(1, &jobs).into_values().collect();
        teams.sort_by(f64::total_cmp);
        worst += (teams[0] + teams[1]) / 2.0 / 3.0;
    }
    let jobs = 3 * 1740;
    let rate = |served: usize| served as f64 / jobs as f64;
    println!("of {jobs}: in time {in_time}, bound {bound}, useful {useful}, largest tenth {largest}, worst teams {worst:.2}");
    assert!(0.7 * rate(bound) <= rate(in_time), "{in_time} jobs in time of {bound}");
    assert!(
        0.5 * rate(useful) <= 10.0 * rate(largest),
        "{largest} of the largest tenth, {useful} of all"
    );
    assert!(0.7 * rate(in_time) <= worst, "{worst} of the worst tenth of teams");
}

#[test]
fn a_team_with_many_times_its_usual_load_waits_behind_its_own_work() {
    for seed in [1, 2, 3] {
        let mut random = StdRng::seed_from_u64(seed);
        let mut arrivals: Vec<Arrival> = Vec::new();
        // Five teams, together 0.8 of the pool; one of them sends 5.5 times its load, in small jobs.
        let cores = (40 * CORES) as f64;
        for at_ms in (100..12_000).step_by(5) {
            for team in 0..5 {
                let (steps, tasks, times) = match team {
                    0 => (1, random.random_range(2..=8), 5.5),
                    _ => (if random.random_bool(0.6) { 2 } else { 1 }, random.random_range(2..=14), 1.0),
                };
                let mean_work = if team == 0 { 5.0 * 1.5 } else { 1.6 * 8.0 * 1.5 };
                if random.random_bool(0.8 * cores / 5.0 / mean_work * times * 0.005) {
                    arrivals.push(Arrival {
                        at_ms,
                        queue: "queue",
                        team: format!("team{team}"),
                        steps,
                        tasks,
                        cpu: 1500,
                    });
                }
            }
        }
        let ended = replay(40, &[], &arrivals, 30_000);
        let jobs: Vec<(&Arrival, Option<u64>)> = arrivals.iter().zip(ended).collect();
        let teams = by_team(1, &jobs);
        let bound = upper_bound(40, &arrivals);
        println!("in time by team {teams:.2?}, of all {:?}, bound {bound}", served(1, &jobs));
        let others = served(1, jobs.iter().filter(|(job, _)| job.team != "team0"));
        assert!(0.85 <= rate(others), "{others:?} of the other teams' jobs");
    }
}

#[test]
fn a_large_task_finds_room_while_small_ones_keep_the_pool_full() {
    // A task of three quarters of a worker, of the highest priority, waited until the small tasks
    // that fit into the room of each one that ended were done.
    let small = |index: u64| Arrival {
        at_ms: 100 + index * 25,
        queue: "queue",
        team: "team".to_owned(),
        steps: 1,
        tasks: 2,
        cpu: 1500,
    };
    let mut arrivals: Vec<Arrival> = (0..400).map(small).collect();
    let large = arrivals.partition_point(|it| it.at_ms < 2000);
    let urgent = Arrival {
        at_ms: 2000,
        queue: "urgent",
        tasks: 1,
        cpu: 12_000,
        ..small(0)
    };
    arrivals.insert(large, urgent);
    let ended = replay(2, &[], &arrivals, 12_000);
    assert!(ended[large].is_some_and(|it| it <= 3 * 2100), "{:?}", ended[large]);
}
