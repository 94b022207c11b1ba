//! Stand-in runners: lives under one id, runs, leases on the runner's own clock, fencing tokens.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Answer, Request, Server};
use crate::json::{self, Json};
use crate::record::Record;
use crate::store::Store;

/// Longest lease (`holdMaxMs`), milliseconds of the runner's clock.
const LEASE_MAX_MS: u64 = 10_000;
/// Time that a stop takes (`stopTimeoutMs` is 200).
const STOP_TIME: Duration = Duration::from_millis(100);
const HEARTBEAT: Duration = Duration::from_millis(1500);
const TICK: Duration = Duration::from_millis(5);
const ENDS_PAGE: usize = 500;

/// A run, from its start to its end.
#[derive(Clone, Debug)]
pub struct Run {
    pub task: String,
    pub attempt: u64,
    pub runner: String,
    pub started: Duration,
    pub ended: Option<(Duration, &'static str)>,
    /// Whether it fails once its work is done.
    fails: bool,
}

struct Life {
    born_ms: u64,
    began: Instant,
    token: u64,
    /// End of the lease on the runner's clock; 0 if it holds none.
    lease_ms: u64,
    /// Index in the list of all runs, when its work is done, when a stop takes effect.
    active: Vec<(usize, Instant, Instant, Option<Instant>)>,
    ends: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    /// Highest run of each task that was stopped or has ended here.
    barred: HashMap<String, u64>,
    server: Option<Server>,
}

struct State {
    life: Option<Life>,
    last_heartbeat: Option<Instant>,
    sequence: u64,
    /// The next start is not answered; it is kept here.
    keep_next_start: bool,
    kept_start: Option<Json>,
}

/// A runner with one id and address.
pub struct Runner {
    pub id: String,
    service: String,
    zone: String,
    cpu: u64,
    addr: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
    runs: Arc<Mutex<Vec<Run>>>,
    store: Arc<Store>,
    record: Arc<Record>,
}

/// What all runners share.
#[derive(Clone)]
pub struct Fleet {
    pub store: Arc<Store>,
    pub record: Arc<Record>,
    pub runs: Arc<Mutex<Vec<Run>>>,
}

impl Runner {
    /// Starts a runner of a service.
    pub fn start(fleet: &Fleet, id: &str, service: &str, zone: &str, cpu: u64, addr: SocketAddr) -> std::io::Result<Arc<Runner>> {
        let runner = Arc::new(Runner {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            cpu,
            addr,
            state: Mutex::new(State {
                life: None,
                last_heartbeat: None,
                sequence: 0,
                keep_next_start: false,
                kept_start: None,
            }),
            changed: Condvar::new(),
            runs: fleet.runs.clone(),
            store: fleet.store.clone(),
            record: fleet.record.clone(),
        });
        runner.begin_life(None)?;
        let ticker = runner.clone();
        thread::spawn(move || {
            loop {
                ticker.tick();
                thread::sleep(TICK);
            }
        });
        Ok(runner)
    }

    /// Begins a life: nothing runs, no token was seen, the clock begins anew. An order that was
    /// kept is carried out right after the start.
    pub fn begin_life(self: &Arc<Runner>, late_order: Option<Json>) -> std::io::Result<()> {
        let born_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let mut state = self.state.lock().unwrap();
        state.life = Some(Life {
            born_ms,
            began: Instant::now(),
            token: 0,
            lease_ms: 0,
            active: Vec::new(),
            ends: Vec::new(),
            last_end: 0,
            barred: HashMap::new(),
            server: None,
        });
        if let Some(order) = late_order {
            let (status, answer) = self.run_start(&mut state, &order);
            self.record.say(format!(
                "{}: carries out late {} run {}: {status} {answer}",
                self.id,
                order.get("task").text(),
                order.get("attempt").number()
            ));
        }
        let runner = self.clone();
        let server = Server::start(self.addr, move |request| runner.handle(request))?;
        if let Some(life) = &mut state.life {
            life.server = Some(server);
        }
        drop(state);
        self.heartbeat();
        Ok(())
    }

    /// Crashes: everything ends, connections are reset.
    pub fn crash(&self) {
        let mut state = self.state.lock().unwrap();
        self.advance(&mut state);
        let Some(life) = state.life.take() else {
            return;
        };
        for (index, ..) in &life.active {
            self.end_run(*index, "crashed");
        }
        drop(state);
        if let Some(server) = life.server {
            server.end();
        }
    }

    /// Leaves the next start unanswered and keeps it.
    pub fn keep_next_start(&self) {
        self.state.lock().unwrap().keep_next_start = true;
    }

    /// Answers starts again.
    pub fn answer_starts(&self) {
        self.state.lock().unwrap().keep_next_start = false;
    }

    pub fn kept_start(&self) -> Option<Json> {
        self.state.lock().unwrap().kept_start.clone()
    }

    /// Writes the entry in the list of runners.
    fn heartbeat(&self) {
        let mut state = self.state.lock().unwrap();
        state.sequence += 1;
        state.last_heartbeat = Some(Instant::now());
        let Some(life) = &state.life else {
            return;
        };
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\
             \"coldRemainingMs\":0,\"sequence\":{},\"capacity\":{{\"cpu\":{},\"memMb\":256000,\"gpu\":0}},\"labels\":[\"a\",\"r1-1\"],\"born\":{}}}",
            self.service, self.addr, self.zone, state.sequence, self.cpu, life.born_ms
        );
        drop(state);
        self.store.put("keyed.servers", &self.id, &entry);
    }

    fn tick(&self) {
        let mut state = self.state.lock().unwrap();
        self.advance(&mut state);
        let is_due = state.last_heartbeat.is_some_and(|it| it + HEARTBEAT <= Instant::now());
        let has_lapsed = state.last_heartbeat.is_some_and(|it| it + HEARTBEAT * 3 <= Instant::now());
        let is_alive = state.life.is_some();
        if !is_alive && has_lapsed {
            state.last_heartbeat = None;
            drop(state);
            self.store.put("keyed.servers", &self.id, "");
        } else if is_alive && is_due {
            drop(state);
            self.heartbeat();
        }
    }

    /// Carries out what was due by now: ends of work, stops, the end of the lease.
    fn advance(&self, state: &mut State) {
        let Some(life) = &mut state.life else {
            return;
        };
        let now = Instant::now();
        let has_lapsed = life.lease_ms != 0 && life.lease_ms <= life.clock_ms();
        let mut ended = Vec::new();
        life.active.retain(|(index, _, done_at, stopped_at)| {
            let how = match () {
                () if *done_at <= now && self.runs.lock().unwrap()[*index].fails => "failed",
                () if *done_at <= now => "done",
                () if stopped_at.is_some_and(|it| it <= now) => "stopped",
                () if has_lapsed => "lapsed",
                () => return true,
            };
            ended.push((*index, how));
            false
        });
        for (index, how) in &ended {
            let (task, attempt) = self.end_run(*index, how);
            life.last_end += 1;
            let barred = life.barred.entry(task.clone()).or_default();
            *barred = attempt.max(*barred);
            life.ends.push((life.last_end, task, attempt, how));
        }
        if !ended.is_empty() {
            self.changed.notify_all();
        }
    }

    fn end_run(&self, index: usize, how: &'static str) -> (String, u64) {
        let mut runs = self.runs.lock().unwrap();
        let run = &mut runs[index];
        run.ended = Some((self.record.now(), how));
        self.record
            .note(format!("{}: run {} of {} has ended {how}", self.id, run.attempt, run.task));
        (run.task.clone(), run.attempt)
    }

    fn handle(&self, request: &Request) -> Answer {
        let body = json::parse(&request.body);
        let mut state = self.state.lock().unwrap();
        self.advance(&mut state);
        if request.headers.get("x-expect-instance").is_some_and(|it| *it != self.id) {
            return Answer::Send(421, b"{}".to_vec());
        }
        if state.keep_next_start && request.path == "/run-start" {
            state.keep_next_start = false;
            self.record.say(format!(
                "trouble: {} leaves the start of {} run {} unanswered",
                self.id,
                body.get("task").text(),
                body.get("attempt").number()
            ));
            state.kept_start = Some(body);
            return Answer::Silence;
        }
        let Some(life) = &mut state.life else {
            return Answer::Close;
        };
        let clock_ms = life.clock_ms();
        let token = body.get("fencingToken").number();
        if token < life.token {
            return Answer::Send(409, format!("{{\"clockMs\":{clock_ms},\"reason\":\"fence\"}}").into_bytes());
        }
        life.token = token;
        match request.path.as_str() {
            "/run-start" => {
                let (status, answer) = self.run_start(&mut state, &body);
                Answer::Send(status, answer.into_bytes())
            }
            "/run-stop" => {
                let (task, attempt) = (body.get("task").text(), body.get("attempt").number());
                let runs = self.runs.lock().unwrap();
                let is_it = |index: usize| runs[index].task == task && runs[index].attempt == attempt;
                match life.active.iter_mut().find(|(index, ..)| is_it(*index)) {
                    Some((_, _, _, stopped_at)) => *stopped_at = stopped_at.or(Some(Instant::now() + STOP_TIME)),
                    None => {
                        let barred = life.barred.entry(task.to_owned()).or_default();
                        *barred = attempt.max(*barred);
                    }
                }
                Answer::Send(200, format!("{{\"clockMs\":{clock_ms}}}").into_bytes())
            }
            "/hold" => {
                life.extend_lease(body.get("deadlineMs").number());
                let cursor = body.get("ackCursor").number();
                life.ends.retain(|it| cursor < it.0);
                let born_ms = life.born_ms;
                let deadline = Instant::now() + Duration::from_millis(body.get("waitMs").number().min(2000));
                loop {
                    let Some(life) = state.life.as_ref().filter(|it| it.born_ms == born_ms) else {
                        return Answer::Close;
                    };
                    let now = Instant::now();
                    if !life.ends.is_empty() || deadline <= now {
                        return Answer::Send(200, self.status(life).into_bytes());
                    }
                    state = self.changed.wait_timeout(state, deadline - now).unwrap().0;
                    self.advance(&mut state);
                }
            }
            _ => Answer::Send(200, format!("{{\"clockMs\":{clock_ms}}}").into_bytes()),
        }
    }

    /// Carries out an order to start a run.
    fn run_start(&self, state: &mut State, body: &Json) -> (u16, String) {
        let Some(life) = &mut state.life else {
            return (503, "{}".to_owned());
        };
        let clock_ms = life.clock_ms();
        let (task, attempt) = (body.get("task").text(), body.get("attempt").number());
        let deadline_ms = body.get("deadlineMs").number();
        let refuse = |reason: &str| (409, format!("{{\"clockMs\":{clock_ms},\"reason\":\"{reason}\"}}"));
        life.token = life.token.max(body.get("fencingToken").number());
        let mut runs = self.runs.lock().unwrap();
        if life
            .active
            .iter()
            .any(|(index, ..)| runs[*index].task == task && runs[*index].attempt == attempt)
        {
            return (200, format!("{{\"clockMs\":{clock_ms}}}"));
        }
        if life.barred.get(task).is_some_and(|it| attempt <= *it) {
            life.extend_lease(deadline_ms);
            return refuse("old");
        }
        if deadline_ms <= clock_ms {
            return refuse("late");
        }
        life.extend_lease(deadline_ms);
        let payload = body.get("spec").text();
        let work = work_ms(task, payload);
        let now = Instant::now();
        runs.push(Run {
            task: task.to_owned(),
            attempt,
            runner: self.id.clone(),
            started: self.record.now(),
            ended: None,
            fails: payload.contains(";fail;") || payload.contains(";fail-first;") && attempt == 1,
        });
        life.active.push((runs.len() - 1, now, now + Duration::from_millis(work), None));
        self.record.note(format!(
            "{}: starts run {attempt} of {task}, token {}",
            self.id,
            body.get("fencingToken").number()
        ));
        (200, format!("{{\"clockMs\":{clock_ms}}}"))
    }

    fn status(&self, life: &Life) -> String {
        let runs = self.runs.lock().unwrap();
        let now = Instant::now();
        let row = |(index, began, done_at, _): &(usize, Instant, Instant, Option<Instant>)| {
            let percent = 100.0 * (now - *began).as_secs_f64() / (*done_at - *began).as_secs_f64().max(0.001);
            let run = &runs[*index];
            format!("[\"{}\",{},\"\",{},1]", run.task, run.attempt, percent.min(99.0) as u64)
        };
        let active: Vec<String> = life.active.iter().map(row).collect();
        let end = |(sequence, task, attempt, how): &(u64, String, u64, &str)| format!("[{sequence},\"{task}\",{attempt},\"{how}\",\"\"]");
        let ends: Vec<String> = life.ends.iter().take(ENDS_PAGE).map(end).collect();
        format!(
            "{{\"clockMs\":{},\"born\":{},\"active\":[{}],\"finished\":[{}]}}",
            life.clock_ms(),
            life.born_ms,
            active.join(","),
            ends.join(",")
        )
    }
}

/// Work of a task: its job's payload begins with `ms=A,B;` for steps of A, B, B, ... milliseconds.
/// After it `fail;` stands for runs that fail, `fail-first;` for a first run that fails.
fn work_ms(task: &str, payload: &str) -> u64 {
    let step: usize = task.split('.').nth(2).and_then(|it| it.parse().ok()).unwrap_or(0);
    let works = payload.strip_prefix("ms=").and_then(|it| it.split(';').next()).unwrap_or("100");
    let works: Vec<u64> = works.split(',').filter_map(|it| it.parse().ok()).collect();
    works.get(step).or(works.last()).copied().unwrap_or(100)
}

impl Life {
    fn clock_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn extend_lease(&mut self, until_ms: u64) {
        let clock_ms = self.clock_ms();
        if clock_ms < until_ms {
            self.lease_ms = self.lease_ms.max(until_ms.min(clock_ms + LEASE_MAX_MS));
        }
    }
}
