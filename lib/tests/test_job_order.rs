//! The order of jobs of a pool that has less room than work.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use oriolewall::id::TeamId;
use oriolewall::job_order::{Job, Shortage, Urgency};
use oriolewall::resources::Resources;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const CAPACITY: Resources = Resources {
    cpu: 1_000_000,
    mem: 0,
    gpu: 0,
};

fn job(id: &str, team: &str, work: i64) -> Job {
    Job {
        id: Arc::from(id),
        team: Arc::from(team),
        urgency: Urgency::InTime,
        priority: 0,
        is_new: true,
        slack_ms: 1000,
        work,
        received_ms: 0,
        share: 0.01,
    }
}

fn sorted(jobs: Vec<Job>) -> Vec<String> {
    let sorted = Shortage::default().sort(jobs, |_| 1.0);
    sorted.iter().map(|it| it.id.to_string()).collect()
}

#[test]
fn jobs_go_by_priority_then_by_whether_they_can_be_in_time_then_by_size() {
    let jobs = vec![
        job("large", "a", 9),
        job("small", "a", 1),
        Job {
            urgency: Urgency::Late,
            ..job("late", "a", 1)
        },
        Job {
            urgency: Urgency::Late,
            priority: 1,
            ..job("late-low", "a", 1)
        },
        Job {
            priority: 1,
            ..job("low", "a", 1)
        },
        Job {
            is_new: false,
            ..job("begun", "a", 9)
        },
        Job {
            urgency: Urgency::LongRunning,
            priority: 1,
            ..job("long-running", "a", 0)
        },
    ];
    let order = ["long-running", "begun", "small", "large", "late", "low", "late-low"];
    assert_eq!(sorted(jobs), order);
}

#[test]
fn the_oldest_job_of_a_team_gets_a_turn_among_smaller_ones() {
    // While smaller jobs arrive, the number of times that the oldest is passed over is bounded.
    let mut jobs: Vec<Job> = (0..100).map(|it| job(&format!("small{it:03}"), "a", 1)).collect();
    jobs.iter_mut().for_each(|it| it.received_ms = 10);
    jobs.push(job("oldest", "a", 9));
    let position = sorted(jobs).iter().position(|it| it == "oldest");
    assert!(position.is_some_and(|it| it < 32), "{position:?}");
}

#[test]
fn no_team_is_below_its_weighted_share_while_it_has_work() {
    for seed in 0..12 {
        let mut random = StdRng::seed_from_u64(seed);
        let teams = random.random_range(2..8);
        let teams: Vec<(TeamId, f64, u64)> = (0..teams)
            .map(|it| {
                let weight = f64::from(random.random_range(1..5));
                (Arc::from(format!("team{it}")), weight, random.random_range(2_000..20_000))
            })
            .collect();
        let weights: HashMap<TeamId, f64> = teams.iter().map(|(team, weight, _)| (team.clone(), *weight)).collect();
        let mut shortage = Shortage::default();
        let mut running: Vec<(TeamId, u64, u32)> = Vec::new();
        let mut totals: HashMap<TeamId, u64> = HashMap::new();
        for round in 0..800_u32 {
            running.retain(|(_, _, until)| round < *until);
            let mut used: HashMap<TeamId, Resources> = HashMap::new();
            for (team, cpu, _) in &running {
                used.entry(team.clone()).or_default().cpu += cpu;
                if 400 <= round {
                    *totals.entry(team.clone()).or_default() += cpu;
                }
            }
            let mut free = CAPACITY.cpu - used.values().map(|it| it.cpu).sum::<u64>();
            shortage
                .shares
                .update(Duration::from_millis(u64::from(round) * 25), &CAPACITY, used);
            // Each team has more work than it can get, in jobs of its own size.
            let jobs = teams.iter().flat_map(|(team, _, cpu)| {
                (0..60).map(move |it| Job {
                    team: team.clone(),
                    share: *cpu as f64 / CAPACITY.cpu as f64,
                    ..job(&format!("{team}-{it}"), team, *cpu as i64)
                })
            });
            for job in shortage.sort(jobs.collect(), |it| weights[it]) {
                let cpu = teams.iter().find(|it| it.0 == job.team).map_or(0, |it| it.2);
                // Whether a smaller job may take the room is not a question of the order.
                if free < cpu {
                    break;
                }
                free -= cpu;
                shortage.job_started(&job.team);
                running.push((job.team, cpu, round + random.random_range(20..60)));
            }
        }
        let all_weights: f64 = weights.values().sum();
        for (team, weight, cpu) in &teams {
            let mean = totals.get(team).copied().unwrap_or(0) as f64 / 400.0 / CAPACITY.cpu as f64;
            let share = weight / all_weights;
            // A team is served once it is below its share, so it lacks a job or two at most.
            let tolerance = 2.0 * *cpu as f64 / CAPACITY.cpu as f64 + 0.1 * share;
            assert!(share - tolerance <= mean, "seed {seed}: {team} has {mean:.3}, share {share:.3}");
        }
    }
}
