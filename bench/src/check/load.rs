//! Callers and what they ask for.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;

/// A team and its demand.
#[derive(Clone, Debug)]
pub struct TeamLoad {
    /// Path of the team's node.
    pub path: String,
    /// Weight.
    pub weight: u64,
    /// Cap.
    pub cap: u64,
    /// Pools in order of preference.
    pub pools: String,
    /// Mean jobs a second.
    pub jobs_per_second: f64,
    /// Mean run time.
    pub mean_run_time: Duration,
    /// Part of its jobs that may run once only.
    pub run_once_share: f64,
    /// Part of its jobs that are urgent.
    pub urgent_share: f64,
    /// Part of its jobs that fail on any worker.
    pub poison_share: f64,
}

/// Demand of all teams.
#[derive(Clone, Debug)]
pub struct Load {
    /// The teams.
    pub teams: Vec<TeamLoad>,
    /// Time for which jobs are submitted.
    pub submit_time: Duration,
    /// Whether teams ask five times their mean in turn, then a twentieth.
    pub burst_time: Option<Duration>,
    /// Deadline of a job.
    pub deadline: Duration,
    /// Part of the jobs that are cancelled.
    pub cancelled_share: f64,
}

/// One job to be submitted.
#[derive(Clone, Debug)]
pub struct GeneratedJob {
    /// Index of its team.
    pub team: usize,
    /// Whether it may run once only.
    pub run_once: bool,
    /// Whether it is urgent.
    pub urgent: bool,
    /// Real run time.
    pub run_time: Duration,
    /// Run time that the caller declares.
    pub declared_run_time: Duration,
    /// Whether it fails on any worker.
    pub poison: bool,
    /// Whether the caller cancels it soon.
    pub cancelled: bool,
}

impl Load {
    /// Four teams of two organisations with a bit of everything.
    pub fn mixed(submit_time: Duration) -> Load {
        let team = |path: &str, weight, cap, pools: &str, jobs_per_second, run_ms, run_once_share| TeamLoad {
            path: path.to_owned(),
            weight,
            cap,
            pools: pools.to_owned(),
            jobs_per_second,
            mean_run_time: Duration::from_millis(run_ms),
            run_once_share,
            urgent_share: 0.1,
            poison_share: 0.01,
        };
        Load {
            teams: vec![
                team("org/utility/checks", 3, 12, "cells,shared", 20.0, 150, 0.3),
                team("org/utility/soak", 1, 6, "cells,shared", 0.7, 6_000, 0.5),
                team("org/consorcio/gazette", 2, 12, "index,shared", 20.0, 200, 0.6),
                team("org/consorcio/archive", 1, 8, "index,shared", 8.0, 400, 0.2),
            ],
            submit_time,
            burst_time: None,
            deadline: Duration::from_secs(20),
            cancelled_share: 0.03,
        }
    }

    /// Factor on a team's mean rate at a time: one team after the other asks
    /// five times its mean, then a twentieth.
    pub fn rate_factor(&self, team: usize, at: Duration) -> f64 {
        const BURST: f64 = 5.0;
        const LULL: f64 = 0.05;
        let Some(burst_time) = self.burst_time else {
            return 1.0;
        };
        let teams = self.teams.len() as u128;
        let bursting_team = (at.as_millis() / burst_time.as_millis()) % teams;
        let since = (bursting_team + teams - team as u128) % teams;
        match since {
            0 => BURST,
            1 => LULL,
            _ => 1.0,
        }
    }

    /// Time from now to the team's next job.
    pub fn time_to_next_job(&self, rng: &mut StdRng, team: usize, at: Duration) -> Duration {
        let rate = self.teams[team].jobs_per_second * self.rate_factor(team, at);
        let uniform: f64 = rng.random_range(1e-9..1.0);
        Duration::from_secs_f64((-uniform.ln() / rate).min(5.0))
    }

    /// Draws a job; declared run times are far off.
    pub fn generate_job(&self, rng: &mut StdRng, team: usize) -> GeneratedJob {
        let mean = self.teams[team].mean_run_time;
        let run_time = mean.mul_f64(rng.random_range(0.3..2.0));
        GeneratedJob {
            team,
            run_once: rng.random_bool(self.teams[team].run_once_share),
            urgent: rng.random_bool(self.teams[team].urgent_share),
            run_time,
            declared_run_time: run_time.mul_f64(rng.random_range(0.2..5.0)),
            poison: rng.random_bool(self.teams[team].poison_share),
            cancelled: rng.random_bool(self.cancelled_share),
        }
    }
}
