//! Load of a simulation: how often teams submit jobs, and which jobs.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;

/// Settings of a team and the jobs that it submits.
#[derive(Clone, Debug)]
pub struct TeamLoad {
    /// Path of the team in the settings tree.
    pub path: String,
    /// Weight in fair sharing.
    pub weight: u64,
    /// Cap on running tasks, in slots.
    pub cap: u64,
    /// Pools in order of preference, separated by commas.
    pub pools: String,
    /// Mean number of jobs submitted per second.
    pub jobs_per_second: f64,
    /// Run time from which the actual ones are generated; see [`Load::generate_job`].
    pub nominal_run_time: Duration,
    /// Fraction of the jobs that must not be repeated.
    pub run_once_share: f64,
    /// Fraction of the jobs that are urgent.
    pub urgent_share: f64,
    /// Fraction of the jobs that fail on every worker.
    pub poison_share: f64,
}

/// Load of all teams.
#[derive(Clone, Debug)]
pub struct Load {
    /// Teams that submit jobs; jobs and faults refer to them by index.
    pub teams: Vec<TeamLoad>,
    /// Duration of the submission of jobs.
    pub submit_time: Duration,
    /// Length of a burst, if the teams have bursts in turn; see [`Load::rate_factor`].
    pub burst_time: Option<Duration>,
    /// Time from the submission of a job to its deadline.
    pub deadline: Duration,
    /// Fraction of the jobs that their callers cancel.
    pub cancelled_share: f64,
}

/// A generated job that a caller will submit.
#[derive(Clone, Debug)]
pub struct GeneratedJob {
    /// Index of its team in [`Load::teams`].
    pub team: usize,
    /// Whether it must not be repeated.
    pub run_once: bool,
    /// Whether it is urgent.
    pub urgent: bool,
    /// Actual run time.
    pub run_time: Duration,
    /// Run time that the caller expects.
    pub expected_run_time: Duration,
    /// Whether it fails on every worker.
    pub poison: bool,
    /// Whether the caller cancels it after half its run time.
    pub cancelled: bool,
}

impl Load {
    /// Four teams of two organisations with short and long, repeatable and once-only jobs.
    pub fn mixed(submit_time: Duration) -> Load {
        let team = |path: &str, weight, cap, pools: &str, jobs_per_second, run_ms, run_once_share| TeamLoad {
            path: path.to_owned(),
            weight,
            cap,
            pools: pools.to_owned(),
            jobs_per_second,
            nominal_run_time: Duration::from_millis(run_ms),
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

    /// Factor on a team's mean rate at a time. With bursts, one team after the other
    /// submits at five times its mean rate, then at a twentieth of it for as long.
    pub fn rate_factor(&self, team: usize, at: Duration) -> f64 {
        const BURST: f64 = 5.0;
        const LULL: f64 = 0.05;
        let Some(burst_time) = self.burst_time else {
            return 1.0;
        };
        let team_count = self.teams.len() as u128;
        let bursting_team = (at.as_millis() / burst_time.as_millis()) % team_count;
        let bursts_since = (bursting_team + team_count - team as u128) % team_count;
        match bursts_since {
            0 => BURST,
            1 => LULL,
            _ => 1.0,
        }
    }

    /// Random time from `at` to the team's next job: exponentially distributed, five
    /// seconds at most.
    pub fn time_to_next_job(&self, rng: &mut StdRng, team: usize, at: Duration) -> Duration {
        let rate = self.teams[team].jobs_per_second * self.rate_factor(team, at);
        let uniform: f64 = rng.random_range(1e-9..1.0);
        Duration::from_secs_f64((-uniform.ln() / rate).min(5.0))
    }

    /// Generates a job. The actual run time is 0.3 to 2 times the nominal one, the
    /// expected run time 0.2 to 5 times the actual one, so that estimates are unreliable.
    pub fn generate_job(&self, rng: &mut StdRng, team: usize) -> GeneratedJob {
        let nominal = self.teams[team].nominal_run_time;
        let run_time = nominal.mul_f64(rng.random_range(0.3..2.0));
        GeneratedJob {
            team,
            run_once: rng.random_bool(self.teams[team].run_once_share),
            urgent: rng.random_bool(self.teams[team].urgent_share),
            run_time,
            expected_run_time: run_time.mul_f64(rng.random_range(0.2..5.0)),
            poison: rng.random_bool(self.teams[team].poison_share),
            cancelled: rng.random_bool(self.cancelled_share),
        }
    }
}
