//! Callers that submit jobs with the keys of their teams, each to an entry chosen at
//! random, and repeat the request until the job has an outcome.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use oriole_daemon::api::{JobResponse, KEY_HEADER, SubmitRequest};
use oriole_daemon::client::{Call, Client, Response};
use oriole_daemon::node::Clock;
use oriolewall::id::JobId;
use oriolewall::job::{Class, Repeat};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};
use uuid::Uuid;

use super::cluster::{Cluster, EntryAddrs};
use crate::history::{EventKind, History};
use crate::standin::serve::lock;

/// Time for which an entry holds a request open while the job runs.
const WAIT_MS: u64 = 2_000;
/// Deadline of a job, counted from its submission.
const DEADLINE_MS: u64 = 15_000;
const CALL_TIMEOUT: Duration = Duration::from_secs(8);
/// Seed of the first team's jobs; each further team has the next one.
const SEED: u64 = 7;

/// Settings and load of a team.
#[derive(Clone, Copy, Debug)]
pub(super) struct Team {
    /// Path of the team below `org/`.
    pub(super) name: &'static str,
    /// Pools in order of preference, separated by commas.
    pub(super) pools: &'static str,
    pub(super) weight: u64,
    /// Cap on running tasks, in slots.
    pub(super) cap: u64,
    /// Number of jobs submitted per second.
    pub(super) jobs_per_second: f64,
    /// Run time that callers expect; the actual one is 0.5 to 2 times as long.
    pub(super) expected_run_ms: u64,
    /// Whether the jobs are of the urgent class.
    pub(super) urgent: bool,
    /// Whether the jobs must not be repeated.
    pub(super) run_once: bool,
}

impl Team {
    /// Id of the team's key with a number, from 1 on.
    pub(super) fn key_id(&self, index: usize) -> String {
        format!("{}-{index}", self.name.replace('/', "-"))
    }

    /// Secret of the team's key with a number.
    pub(super) fn secret(&self, index: usize) -> String {
        format!("secret-of-{}-{index}", self.name)
    }
}

/// Numbers of one team's jobs, in total and by outcome.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Tally {
    pub(super) jobs: usize,
    pub(super) done: usize,
    pub(super) failed: usize,
    pub(super) not_run: usize,
    pub(super) unknown: usize,
    /// Jobs without an outcome: refused by an entry, or given up by the caller.
    pub(super) without_outcome: usize,
    /// Sum of the run times of the jobs that are done, milliseconds.
    pub(super) slot_ms: u64,
    /// Longest time from submission to the outcome, or until the caller gave up.
    pub(super) max_latency: Duration,
}

impl Tally {
    /// Number of jobs that got an outcome, were refused or were given up.
    pub(super) fn answered(&self) -> usize {
        self.done + self.failed + self.not_run + self.unknown + self.without_outcome
    }
}

/// Running callers, one task for each team.
pub(super) struct Callers {
    stop: watch::Sender<bool>,
    tasks: Vec<JoinHandle<Tally>>,
}

#[derive(Clone)]
struct Caller {
    client: Client,
    entry_addrs: EntryAddrs,
    history: History,
    clock: Clock,
    team: Team,
}

impl Callers {
    /// Starts one task for each team, which submits jobs at the rate of the team.
    pub(super) fn start(cluster: &Cluster, teams: &[Team]) -> Callers {
        let (stop, stopped) = watch::channel(false);
        let caller = |team: &Team| Caller {
            client: Client::new(),
            entry_addrs: cluster.entry_addrs.clone(),
            history: cluster.history.clone(),
            clock: Clock::new(),
            team: *team,
        };
        let tasks = teams.iter().enumerate().map(|(index, team)| {
            let seed = SEED + index as u64;
            tokio::spawn(submit_jobs(caller(team), stopped.clone(), seed))
        });
        Callers {
            tasks: tasks.collect(),
            stop,
        }
    }

    /// Stops submitting, waits for the outcomes of open jobs and returns the tally of
    /// each team.
    pub(super) async fn finish(self) -> Vec<Tally> {
        let _ = self.stop.send(true);
        let mut tallies = Vec::new();
        for task in self.tasks {
            tallies.push(task.await.unwrap_or_default());
        }
        tallies
    }
}

/// Submits jobs at the team's rate until `stop` turns true, then waits for their outcomes.
async fn submit_jobs(caller: Caller, mut stop: watch::Receiver<bool>, seed: u64) -> Tally {
    let mut rng = StdRng::seed_from_u64(seed);
    let tally = Arc::new(Mutex::new(Tally::default()));
    let mut jobs = JoinSet::new();
    let mut ticks = tokio::time::interval(Duration::from_secs_f64(1.0 / caller.team.jobs_per_second));
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            _ = stop.wait_for(|it| *it) => break,
        }
        let run_ms = caller.team.expected_run_ms * rng.random_range(50..200) / 100;
        let key_index = 1 + usize::from(rng.random_bool(0.8));
        let first_entry = rng.random_range(0..1_000);
        jobs.spawn(run_job(caller.clone(), run_ms, key_index, first_entry, tally.clone()));
    }
    while jobs.join_next().await.is_some() {}
    *lock(&tally)
}

/// Submits one job, waits for its outcome and counts it in the tally.
async fn run_job(caller: Caller, run_ms: u64, key_index: usize, first_entry: usize, tally: Arc<Mutex<Tally>>) {
    let id = Uuid::now_v7();
    let submitted_at = Instant::now();
    let path = format!("org/{}", caller.team.name);
    let key_id = caller.team.key_id(key_index);
    let invoke = EventKind::Invoke {
        team: path,
        key: key_id.clone(),
        once: caller.team.run_once,
    };
    caller.history.record_for_job(caller.now_ms(), id, invoke);
    let key = format!("{key_id}.{}", caller.team.secret(key_index));
    let outcome = caller.submit_until_answered(id, &key, run_ms, first_entry).await;
    let mut tally = lock(&tally);
    tally.jobs += 1;
    tally.max_latency = tally.max_latency.max(submitted_at.elapsed());
    match outcome.as_str() {
        "done" => {
            tally.done += 1;
            tally.slot_ms += run_ms;
        }
        "failed" => tally.failed += 1,
        "not_run" => tally.not_run += 1,
        "unknown" => tally.unknown += 1,
        _ => tally.without_outcome += 1,
    }
}

impl Caller {
    fn now_ms(&self) -> u64 {
        self.clock.now().wall_ms()
    }

    /// Address of an entry; an index beyond the last one wraps around.
    fn entry_addr(&self, index: usize) -> SocketAddr {
        let addrs = lock(&self.entry_addrs);
        addrs[index % addrs.len()]
    }

    /// Submits a job and repeats the request with the same id until it has an outcome;
    /// returns the outcome, or `none` after twice the deadline. A request that fails is
    /// repeated at the next entry.
    async fn submit_until_answered(&self, id: JobId, key: &str, run_ms: u64, first_entry: usize) -> String {
        let request = SubmitRequest {
            id,
            class: if self.team.urgent { Class::Urgent } else { Class::Normal },
            repeat: if self.team.run_once { Repeat::Forbidden } else { Repeat::Allowed },
            expected_ms: self.team.expected_run_ms,
            deadline_ms: DEADLINE_MS,
            wait_ms: WAIT_MS,
            payload: format!("ms:{run_ms}"),
        };
        let body = Bytes::from(serde_json::to_vec(&request).unwrap_or_default());
        let give_up_at = Instant::now() + Duration::from_millis(2 * DEADLINE_MS);
        let mut entry = first_entry;
        while Instant::now() < give_up_at {
            let call = Call::post(self.entry_addr(entry), "/v1/jobs", body.clone(), CALL_TIMEOUT).header(KEY_HEADER, key);
            match self.client.call(call).await {
                Ok(response) if response.status.as_u16() == 202 => {}
                Ok(response) => return self.record_answer(id, &response),
                Err(oriolewall::platform::Error::Unavailable | oriolewall::platform::Error::Undelivered) => entry += 1,
                // No entry fails during the tour, so only a planned stop can lose a response.
                Err(oriolewall::platform::Error::Lost) => {
                    self.history.record_for_job(self.now_ms(), id, EventKind::Cut { planned: true });
                    entry += 1;
                }
            }
        }
        "none".to_owned()
    }

    /// Records the answer to a job in the history and returns its outcome. A refusal, as
    /// of a withdrawn key, is not recorded, since it is no outcome of the job.
    fn record_answer(&self, id: JobId, response: &Response) -> String {
        let Ok(job_response) = serde_json::from_slice::<JobResponse>(&response.body) else {
            return "refused".to_owned();
        };
        let outcome = match (job_response.state.as_str(), job_response.success) {
            ("done", Some(false)) => "failed",
            (state, _) => state,
        };
        let body = job_response.answer.unwrap_or_default();
        self.history.record_for_job(
            self.now_ms(),
            id,
            EventKind::Answer {
                outcome: outcome.to_owned(),
                body,
            },
        );
        outcome.to_owned()
    }
}
