//! Callers and what they ask for.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;

/// A team and its demand.
#[derive(Clone, Debug)]
pub struct Team {
    /// Path of the team's node.
    pub path: String,
    /// Weight.
    pub weight: u64,
    /// Cap.
    pub cap: u64,
    /// Pools in order of preference.
    pub pools: String,
    /// Mean jobs a second.
    pub rate: f64,
    /// Mean run time.
    pub run: Duration,
    /// Part of its jobs that may run once only.
    pub once: f64,
    /// Part of its jobs that are urgent.
    pub urgent: f64,
    /// Part of its jobs that fail on any worker.
    pub poison: f64,
}

/// Demand of all teams.
#[derive(Clone, Debug)]
pub struct Load {
    /// The teams.
    pub teams: Vec<Team>,
    /// Time for which jobs are submitted.
    pub time: Duration,
    /// Whether teams ask five times their mean in turn, then a twentieth.
    pub rotation: Option<Duration>,
    /// Deadline of a job.
    pub deadline: Duration,
    /// Part of the jobs that are cancelled.
    pub cancelled: f64,
}

/// One job to be submitted.
#[derive(Clone, Debug)]
pub struct Draft {
    /// Index of its team.
    pub team: usize,
    /// Whether it may run once only.
    pub once: bool,
    /// Whether it is urgent.
    pub urgent: bool,
    /// Real run time.
    pub run: Duration,
    /// Run time that the caller declares.
    pub declared: Duration,
    /// Whether it fails on any worker.
    pub poison: bool,
    /// Whether the caller cancels it soon.
    pub cancelled: bool,
}

impl Load {
    /// Four teams of two organisations with a bit of everything.
    pub fn mixed(time: Duration) -> Load {
        let team = |path: &str, weight, cap, pools: &str, rate, run_ms, once| Team {
            path: path.to_owned(),
            weight,
            cap,
            pools: pools.to_owned(),
            rate,
            run: Duration::from_millis(run_ms),
            once,
            urgent: 0.1,
            poison: 0.01,
        };
        Load {
            teams: vec![
                team("org/utility/checks", 3, 12, "cells,shared", 20.0, 150, 0.3),
                team("org/utility/soak", 1, 6, "cells,shared", 0.7, 6_000, 0.5),
                team("org/consorcio/gazette", 2, 12, "index,shared", 20.0, 200, 0.6),
                team("org/consorcio/archive", 1, 8, "index,shared", 8.0, 400, 0.2),
            ],
            time,
            rotation: None,
            deadline: Duration::from_secs(20),
            cancelled: 0.03,
        }
    }

    /// Factor on a team's mean rate at a time: one team after the other asks
    /// five times its mean, then a twentieth.
    pub fn factor(&self, team: usize, at: Duration) -> f64 {
        const BURST: f64 = 5.0;
        const LULL: f64 = 0.05;
        let Some(turn) = self.rotation else {
            return 1.0;
        };
        let teams = self.teams.len() as u128;
        let turn_of = (at.as_millis() / turn.as_millis()) % teams;
        let since = (turn_of + teams - team as u128) % teams;
        match since {
            0 => BURST,
            1 => LULL,
            _ => 1.0,
        }
    }

    /// Time from now to the team's next job.
    pub fn gap(&self, rng: &mut StdRng, team: usize, at: Duration) -> Duration {
        let rate = self.teams[team].rate * self.factor(team, at);
        let uniform: f64 = rng.random_range(1e-9..1.0);
        Duration::from_secs_f64((-uniform.ln() / rate).min(5.0))
    }

    /// Draws a job; declared run times are far off.
    pub fn draft(&self, rng: &mut StdRng, team: usize) -> Draft {
        let mean = self.teams[team].run;
        let run = mean.mul_f64(rng.random_range(0.3..2.0));
        Draft {
            team,
            once: rng.random_bool(self.teams[team].once),
            urgent: rng.random_bool(self.teams[team].urgent),
            run,
            declared: run.mul_f64(rng.random_range(0.2..5.0)),
            poison: rng.random_bool(self.teams[team].poison),
            cancelled: rng.random_bool(self.cancelled),
        }
    }
}
