//! Callers of the tour: each sends jobs with its team's key to any entry and
//! follows them to their outcome.

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
use crate::standin::http::lock;

const WAIT_MS: u64 = 2_000;
const DEADLINE_MS: u64 = 15_000;
const CALL_TIMEOUT: Duration = Duration::from_secs(8);
const SEED: u64 = 7;

/// A team and its load.
#[derive(Clone, Copy, Debug)]
pub(super) struct Team {
    pub(super) name: &'static str,
    pub(super) pools: &'static str,
    pub(super) weight: u64,
    pub(super) cap: u64,
    pub(super) per_second: f64,
    pub(super) run_ms: u64,
    pub(super) urgent: bool,
    pub(super) once: bool,
}

impl Team {
    pub(super) fn key_id(&self, index: usize) -> String {
        format!("{}-{index}", self.name.replace('/', "-"))
    }

    pub(super) fn secret(&self, index: usize) -> String {
        format!("secret-of-{}-{index}", self.name)
    }
}

/// What became of one team's jobs.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Tally {
    pub(super) jobs: usize,
    pub(super) done: usize,
    pub(super) failed: usize,
    pub(super) not_run: usize,
    pub(super) unknown: usize,
    pub(super) refused: usize,
    pub(super) slot_ms: u64,
    pub(super) slowest: Duration,
}

impl Tally {
    pub(super) fn answered(&self) -> usize {
        self.done + self.failed + self.not_run + self.unknown + self.refused
    }
}

/// All callers.
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
    /// Starts one stream of jobs per team.
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
            tokio::spawn(stream(caller(team), stopped.clone(), seed))
        });
        Callers {
            tasks: tasks.collect(),
            stop,
        }
    }

    /// Stops sending and waits for all outcomes.
    pub(super) async fn finish(self) -> Vec<Tally> {
        let _ = self.stop.send(true);
        let mut tallies = Vec::new();
        for task in self.tasks {
            tallies.push(task.await.unwrap_or_default());
        }
        tallies
    }
}

async fn stream(caller: Caller, mut stop: watch::Receiver<bool>, seed: u64) -> Tally {
    let mut rng = StdRng::seed_from_u64(seed);
    let tally = Arc::new(Mutex::new(Tally::default()));
    let mut jobs = JoinSet::new();
    let mut ticks = tokio::time::interval(Duration::from_secs_f64(1.0 / caller.team.per_second));
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            _ = stop.wait_for(|it| *it) => break,
        }
        let run_ms = caller.team.run_ms * rng.random_range(50..200) / 100;
        let key_index = 1 + usize::from(rng.random_bool(0.8));
        let first = rng.random_range(0..1_000);
        jobs.spawn(follow(caller.clone(), run_ms, key_index, first, tally.clone()));
    }
    while jobs.join_next().await.is_some() {}
    *lock(&tally)
}

/// Submits one job and follows it until it has an outcome.
async fn follow(caller: Caller, run_ms: u64, key_index: usize, first: usize, tally: Arc<Mutex<Tally>>) {
    let id = Uuid::now_v7();
    let began = Instant::now();
    let path = format!("org/{}", caller.team.name);
    let key = caller.team.key_id(key_index);
    let invoke = EventKind::Invoke {
        team: path,
        key: key.clone(),
        once: caller.team.once,
    };
    caller.history.record_for_job(caller.now_ms(), id, invoke);
    let key = format!("{key}.{}", caller.team.secret(key_index));
    let outcome = caller.outcome(id, &key, run_ms, first).await;
    let mut tally = lock(&tally);
    tally.jobs += 1;
    tally.slowest = tally.slowest.max(began.elapsed());
    match outcome.as_str() {
        "done" => {
            tally.done += 1;
            tally.slot_ms += run_ms;
        }
        "failed" => tally.failed += 1,
        "not_run" => tally.not_run += 1,
        "unknown" => tally.unknown += 1,
        _ => tally.refused += 1,
    }
}

impl Caller {
    fn now_ms(&self) -> u64 {
        self.clock.now().wall_ms()
    }

    fn pick(&self, index: usize) -> SocketAddr {
        let addrs = lock(&self.entry_addrs);
        addrs[index % addrs.len()]
    }

    /// Submits, and repeats with the same id at other entries until there is an outcome.
    async fn outcome(&self, id: JobId, key: &str, run_ms: u64, first: usize) -> String {
        let submit = SubmitRequest {
            id,
            class: if self.team.urgent { Class::Urgent } else { Class::Normal },
            repeat: if self.team.once { Repeat::Forbidden } else { Repeat::Allowed },
            expected_ms: self.team.run_ms,
            deadline_ms: DEADLINE_MS,
            wait_ms: WAIT_MS,
            payload: format!("ms:{run_ms}"),
        };
        let body = Bytes::from(serde_json::to_vec(&submit).unwrap_or_default());
        let until = Instant::now() + Duration::from_millis(2 * DEADLINE_MS);
        let mut entry = first;
        while Instant::now() < until {
            let call = Call::post(self.pick(entry), "/v1/jobs", body.clone(), CALL_TIMEOUT).header(KEY_HEADER, key);
            match self.client.call(call).await {
                Ok(response) if response.status.as_u16() == 202 => {}
                Ok(response) => return self.note(id, &response),
                Err(oriolewall::platform::Error::Unavailable | oriolewall::platform::Error::Undelivered) => entry += 1,
                Err(oriolewall::platform::Error::Lost) => {
                    self.history.record_for_job(self.now_ms(), id, EventKind::Cut { planned: true });
                    entry += 1;
                }
            }
        }
        "none".to_owned()
    }

    /// Notes an outcome in the history; refusals of the key are none.
    fn note(&self, id: JobId, response: &Response) -> String {
        let Ok(view) = serde_json::from_slice::<JobResponse>(&response.body) else {
            return "refused".to_owned();
        };
        let outcome = match (view.state.as_str(), view.success) {
            ("done", Some(false)) => "failed",
            (state, _) => state,
        };
        let body = view.answer.unwrap_or_default();
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
