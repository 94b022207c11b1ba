//! A runner: starts, stops and reports tasks as PROTOCOL.md describes, and keeps the leases.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Request, Response, Server, response};
use crate::json::{self, Json, quote};
use crate::record::Record;
use crate::store::Store;

const HEARTBEAT: Duration = Duration::from_millis(1500);
const HOLD_MAX_MS: u64 = 6_000;
const STOP_TIME: Duration = Duration::from_millis(50);
/// Time after which a runner that fails all that it starts fails a run.
const FAIL_TIME: Duration = Duration::from_millis(50);

struct Run {
    task: String,
    attempt: u64,
    started: Instant,
    /// When it ends by itself; never for a task that lasts.
    ends: Option<Instant>,
    fails: Option<Instant>,
    stops: Option<Instant>,
}

struct End {
    number: u64,
    task: String,
    attempt: u64,
    how: &'static str,
}

#[derive(Default)]
struct State {
    runs: Vec<Run>,
    ends: Vec<End>,
    last_end: u64,
    token: u64,
    lease_until_ms: u64,
}

pub struct Runner {
    pub id: String,
    pub service: String,
    pub zone: String,
    born: u128,
    since: Instant,
    state: Mutex<State>,
    changed: Condvar,
    record: Arc<Record>,
    /// Whether it fails all that it starts; what runs goes on.
    is_grey: AtomicBool,
}

impl Runner {
    /// Starts a runner and its heartbeats.
    pub fn start(id: &str, service: &str, zone: &str, rack: &str, store: &Arc<Store>, record: &Arc<Record>) -> Arc<Runner> {
        let runner = Arc::new(Runner {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            born: SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis(),
            since: Instant::now(),
            state: Mutex::default(),
            changed: Condvar::new(),
            record: record.clone(),
            is_grey: AtomicBool::new(false),
        });
        let handler = runner.clone();
        let server = Server::start(move |request| handler.handle(request));
        let (beating, store, rack) = (runner.clone(), store.clone(), rack.to_owned());
        std::thread::spawn(move || {
            for sequence in 1.. {
                let entry = format!(
                    "{{\"service\":{},\"address\":\"{}\",\"zone\":{},\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"coldRemainingMs\":0,\"capacity\":{{\"cpu\":64000,\"memMb\":262144,\"gpu\":0}},\"labels\":[\"a\",{}],\"clockMs\":{},\"born\":{},\"sequence\":{sequence}}}",
                    quote(&beating.service),
                    server.addr,
                    quote(&beating.zone),
                    quote(&rack),
                    beating.clock_ms(),
                    beating.born
                );
                store.write("keyed.servers", &beating.id, &entry);
                std::thread::sleep(HEARTBEAT);
            }
        });
        let ticking = runner.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(5));
                ticking.tick();
            }
        });
        runner
    }

    /// Whether a run of a job takes place here.
    pub fn runs(&self, job: &str) -> bool {
        self.state.lock().unwrap().runs.iter().any(|it| it.task.starts_with(job))
    }

    /// Sets whether it fails all that it starts from now on.
    pub fn set_grey(&self, is_grey: bool) {
        self.is_grey.store(is_grey, Ordering::SeqCst);
        self.record.line(&format!("runner {} fails all that it starts: {is_grey}", self.id));
    }

    fn clock_ms(&self) -> u64 {
        self.since.elapsed().as_millis() as u64
    }

    /// Ends the runs that are done, stopped or without a lease.
    fn tick(&self) {
        let (now, clock) = (Instant::now(), self.clock_ms());
        let mut state = self.state.lock().unwrap();
        let has_lapsed = state.lease_until_ms < clock;
        let mut ended = Vec::new();
        state.runs.retain(|run| {
            let how = match run {
                _ if run.fails.is_some_and(|it| it <= now) => "failed",
                _ if run.ends.is_some_and(|it| it <= now) => "done",
                _ if run.stops.is_some_and(|it| it <= now) => "stopped",
                _ if has_lapsed => "lapsed",
                _ => return true,
            };
            ended.push((run.task.clone(), run.attempt, how));
            false
        });
        for (task, attempt, how) in &ended {
            state.last_end += 1;
            let number = state.last_end;
            state.ends.push(End {
                number,
                task: task.clone(),
                attempt: *attempt,
                how,
            });
            self.record.run_ended(&self.id, task, *attempt, how);
        }
        drop(state);
        if !ended.is_empty() {
            self.changed.notify_all();
        }
    }

    fn handle(&self, request: &Request) -> Response {
        if request.path == "/healthz" {
            return response(200, "{}");
        }
        let expected = request.headers.iter().find(|(name, _)| name == "x-expect-instance");
        if expected.is_some_and(|(_, it)| *it != self.id) {
            return self.answer(421, "");
        }
        let Some(body) = json::parse(&request.text()) else {
            return self.answer(400, "");
        };
        let token = body.get("fencingToken").number().unwrap_or(0);
        {
            let mut state = self.state.lock().unwrap();
            if token < state.token {
                drop(state);
                return self.answer(409, ",\"reason\":\"fence\"");
            }
            state.token = token;
        }
        match request.path.as_str() {
            "/run-start" => self.run(&body),
            "/run-stop" => self.stop(&body),
            "/hold" => self.hold(&body),
            "/pace" => self.answer(200, ""),
            _ => response(404, "{}"),
        }
    }

    fn answer(&self, status: u16, more: &str) -> Response {
        response(status, format!("{{\"clockMs\":{},\"born\":{}{more}}}", self.clock_ms(), self.born))
    }

    fn extend_lease(&self, state: &mut State, deadline_ms: u64) {
        let until = deadline_ms.min(self.clock_ms() + HOLD_MAX_MS);
        state.lease_until_ms = state.lease_until_ms.max(until);
    }

    fn run(&self, body: &Json) -> Response {
        let (task, attempt) = (body.get("task").text().to_owned(), body.get("attempt").number().unwrap_or(0));
        let deadline_ms = body.get("deadlineMs").number().unwrap_or(0);
        if deadline_ms < self.clock_ms() {
            return self.answer(409, ",\"reason\":\"late\"");
        }
        let mut state = self.state.lock().unwrap();
        self.extend_lease(&mut state, deadline_ms);
        if state.runs.iter().any(|it| it.task == task && it.attempt == attempt) {
            drop(state);
            return self.answer(200, "");
        }
        if state.runs.iter().any(|it| it.task == task) || state.ends.iter().any(|it| it.task == task && attempt <= it.attempt) {
            drop(state);
            return self.answer(409, ",\"reason\":\"old\"");
        }
        // The payload of these clients is the time that a task takes, milliseconds; 0 if it lasts.
        let takes = body.get("spec").text().parse().unwrap_or(1000);
        let now = Instant::now();
        self.record.run_begins(&self.id, &task, attempt);
        state.runs.push(Run {
            task,
            attempt,
            started: now,
            ends: (takes != 0).then(|| now + Duration::from_millis(takes)),
            fails: self.is_grey.load(Ordering::SeqCst).then(|| now + FAIL_TIME),
            stops: None,
        });
        drop(state);
        self.answer(200, "")
    }

    fn stop(&self, body: &Json) -> Response {
        let (task, attempt) = (body.get("task").text(), body.get("attempt").number().unwrap_or(0));
        let mut state = self.state.lock().unwrap();
        for run in state.runs.iter_mut().filter(|it| it.task == task && it.attempt <= attempt) {
            run.stops.get_or_insert(Instant::now() + STOP_TIME);
        }
        drop(state);
        self.answer(200, "")
    }

    fn hold(&self, body: &Json) -> Response {
        let until = Instant::now() + Duration::from_millis(body.get("waitMs").number().unwrap_or(0).min(2000));
        let cursor = body.get("ackCursor").number().unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        state.ends.retain(|it| cursor < it.number);
        if let Some(deadline_ms) = body.get("deadlineMs").number() {
            self.extend_lease(&mut state, deadline_ms);
        }
        while state.ends.is_empty() {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
        let percent = |run: &Run| match run.ends {
            None => 100,
            Some(ends) => (100.0 * run.started.elapsed().as_secs_f64() / (ends - run.started).as_secs_f64()).min(99.0) as u64,
        };
        let active = state
            .runs
            .iter()
            .map(|it| format!("[{},{},\"\",{}]", quote(&it.task), it.attempt, percent(it)));
        let active: Vec<String> = active.collect();
        let ends = state.ends.iter().take(500);
        let ends: Vec<String> = ends
            .map(|it| format!("[{},{},{},\"{}\",\"\"]", it.number, quote(&it.task), it.attempt, it.how))
            .collect();
        drop(state);
        self.answer(
            200,
            &format!(",\"active\":[{}],\"finished\":[{}]", active.join(","), ends.join(",")),
        )
    }
}
