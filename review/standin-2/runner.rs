//! Stand-in of a runner. The `spec` of a job says what its tasks do: `work MS` (they end `done`
//! after that time), `fail MS` (they end `failed`), `last` (they run until they are stopped) or
//! `gang N MS` (the N tasks of the step work together and end `done` together).

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::advice::Advice;
use crate::gang::Gangs;
use crate::http::{self, Request, Response, Silence};
use crate::json::{Json, list, number, object, text};
use crate::record::Record;

/// Longest lease.
const HOLD_MAX: Duration = Duration::from_millis(crate::fleet::HOLD_MAX_MS);
/// Time that a stop takes.
const STOP_TIME: Duration = Duration::from_millis(100);
/// Most ends in one answer.
const ENDS_PAGE: usize = 500;
/// Time after its start at which a task that lasts is at work.
const STARTUP: Duration = Duration::from_millis(300);

#[derive(Clone, Debug)]
pub struct Entry {
    pub id: String,
    pub service: String,
    pub addr: SocketAddr,
    pub zone: String,
    pub rack: String,
    /// Thousandths of a core.
    pub cpu: u64,
}

struct Active {
    attempt: u64,
    spec: String,
    started: Instant,
    /// When a stop that was ordered takes effect.
    stops_at: Option<Instant>,
}

impl Active {
    /// How far the task is; 100 for one that lasts and is at work.
    fn percent(&self) -> u64 {
        let elapsed = self.started.elapsed();
        let time_ms = match self.spec.split_once(' ') {
            None if STARTUP <= elapsed => return 100,
            None => return 0,
            Some((_, ms)) => ms.rsplit(' ').next().and_then(|it| it.parse().ok()).unwrap_or(1_u128),
        };
        (elapsed.as_millis() * 100 / time_ms.max(1)).min(99) as u64
    }
}

struct End {
    number: u64,
    task: String,
    attempt: u64,
    how: &'static str,
    /// Number of lapses of the lease before it.
    lapses: u64,
}

#[derive(Default)]
struct State {
    token: u64,
    lease_until_ms: u64,
    /// Number of times that the lease has lapsed.
    lapses: u64,
    is_lapsed: bool,
    active: HashMap<String, Active>,
    ended: Vec<End>,
    last_end: u64,
    /// Highest run of each task that was stopped or has ended.
    highest: HashMap<String, u64>,
}

pub struct Runner {
    pub entry: Entry,
    born: Instant,
    pub born_ms: u64,
    state: Mutex<State>,
    changed: Condvar,
    pub silence: Silence,
    record: Arc<Record>,
    gangs: Arc<Gangs>,
    advice: Arc<Advice>,
}

/// A task that has begun, as a runner saw it.
#[derive(Clone, Debug)]
pub struct Start {
    pub at: Duration,
    pub runner: String,
    pub task: String,
    pub attempt: u64,
}

impl Start {
    pub fn job(&self) -> &str {
        self.task.split('.').next().unwrap_or_default()
    }
}

/// An end of a run, as a runner saw it.
#[derive(Clone, Debug)]
pub struct Ended {
    pub at: Duration,
    pub runner: String,
    pub task: String,
    pub attempt: u64,
    pub how: &'static str,
    /// When it was taken note of.
    pub noted_at: Option<Duration>,
}

impl Runner {
    pub fn start(entry: Entry, record: Arc<Record>, gangs: Arc<Gangs>, advice: Arc<Advice>) -> Arc<Runner> {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let runner = Arc::new(Runner {
            born: Instant::now(),
            born_ms: wall.as_millis() as u64,
            state: Mutex::default(),
            changed: Condvar::new(),
            silence: Silence::default(),
            record,
            gangs,
            advice,
            entry,
        });
        let server = runner.clone();
        http::serve(runner.entry.addr, runner.silence.clone(), move |request| server.handle(&request));
        let ticker = runner.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(5));
                ticker.tick();
            }
        });
        runner
    }

    /// What the runner writes about itself into the store.
    pub fn beat(&self, sequence: u64) -> Json {
        self.entry_of(&self.entry.service, sequence)
    }

    /// The same for another service.
    pub fn entry_of(&self, service: &str, sequence: u64) -> Json {
        let it = &self.entry;
        object([
            ("service", text(service)),
            ("address", text(it.addr.to_string())),
            ("zone", text(it.zone.as_str())),
            ("version", text("v1")),
            ("slots", number(8)),
            ("state", text("ready")),
            ("coldRemainingMs", number(0)),
            (
                "capacity",
                object([("cpu", number(it.cpu)), ("memMb", number(65_536)), ("gpu", number(0))]),
            ),
            ("labels", list([text("a"), text(it.rack.as_str())])),
            ("clockMs", number(self.clock_ms())),
            ("born", number(self.born_ms)),
            ("sequence", number(sequence)),
        ])
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|it| it.into_inner())
    }

    fn clock_ms(&self) -> u64 {
        // A clock does not start at zero: a time of zero may stand for none.
        1000 + self.born.elapsed().as_millis() as u64
    }

    /// Tasks that run now, with their run.
    pub fn running(&self) -> Vec<(String, u64)> {
        self.lock().active.iter().map(|(task, it)| (task.clone(), it.attempt)).collect()
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(active) = state.active.remove(task) else {
            return;
        };
        state.last_end += 1;
        let highest = state.highest.entry(task.to_owned()).or_default();
        *highest = active.attempt.max(*highest);
        let end = End {
            number: state.last_end,
            task: task.to_owned(),
            attempt: active.attempt,
            how,
            lapses: state.lapses,
        };
        self.gangs.ended(task, active.attempt, how);
        self.record.run_ended(&self.entry.id, task, active.attempt, how);
        state.ended.push(end);
        self.changed.notify_all();
    }

    fn tick(&self) {
        let mut state = self.lock();
        let is_lapsed = state.lease_until_ms < self.clock_ms();
        state.lapses += u64::from(is_lapsed && !state.is_lapsed);
        state.is_lapsed = is_lapsed;
        let due = |task: &str, it: &Active| {
            let elapsed = it.started.elapsed();
            let (kind, ms) = it.spec.split_once(' ').unwrap_or((&it.spec, "0"));
            let time = Duration::from_millis(ms.parse().unwrap_or(0));
            match kind {
                _ if it.stops_at.is_some_and(|it| it <= Instant::now()) => Some("stopped"),
                _ if is_lapsed => Some("lapsed"),
                "work" if time <= elapsed => Some("done"),
                "fail" if time <= elapsed => Some("failed"),
                "gang" => self.gangs.due(task, it.attempt, it.started),
                _ => None,
            }
        };
        let ends: Vec<(String, &str)> = state
            .active
            .iter()
            .filter_map(|(task, it)| Some((task.clone(), due(task, it)?)))
            .collect();
        for (task, how) in ends {
            self.end(&mut state, &task, how);
        }
    }

    fn handle(&self, request: &Request) -> Response {
        let expected = request.header("x-expect-instance");
        if request.path == "/healthz" {
            return http::json(200, object([]));
        }
        if !expected.is_empty() && expected != self.entry.id {
            return http::json(421, object([]));
        }
        let body = request.json();
        let token = body.number("fencingToken").unwrap_or(0);
        let mut state = self.lock();
        if token < state.token {
            return self.refusal("fence");
        }
        state.token = token;
        match request.path.as_str() {
            "/run-start" => self.start_run(state, &body),
            "/run-stop" => self.stop_run(state, &body),
            "/hold" => self.hold(state, &body),
            "/pace" => self.ok(),
            _ => http::json(400, object([])),
        }
    }

    fn ok(&self) -> Response {
        http::json(200, object([("clockMs", number(self.clock_ms()))]))
    }

    fn refusal(&self, reason: &str) -> Response {
        http::json(409, object([("clockMs", number(self.clock_ms())), ("reason", text(reason))]))
    }

    fn extend(&self, state: &mut State, body: &Json) {
        let Some(until) = body.number("deadlineMs") else {
            return;
        };
        let longest = self.clock_ms() + HOLD_MAX.as_millis() as u64;
        state.lease_until_ms = state.lease_until_ms.max(until.min(longest));
    }

    fn start_run(&self, mut state: MutexGuard<'_, State>, body: &Json) -> Response {
        let (task, attempt) = (body.text("task").to_owned(), body.number("attempt").unwrap_or(0));
        if body.number("deadlineMs").unwrap_or(0) < self.clock_ms() {
            return self.refusal("late");
        }
        let highest = state.highest.get(&task).copied().unwrap_or(0);
        let there = state.active.get(&task).map_or(0, |it| it.attempt);
        if attempt == there {
            return self.ok();
        }
        self.extend(&mut state, body);
        if attempt <= highest || attempt < there {
            return self.refusal("old");
        }
        if !self.advice.allows(&task, &self.entry.id, body.text("ticket")) {
            return self.refusal("ticket");
        }
        let active = Active {
            attempt,
            spec: body.text("spec").to_owned(),
            started: Instant::now(),
            stops_at: None,
        };
        if let Some(size) = body.text("spec").strip_prefix("gang ") {
            self.gangs.joined(&task, attempt, size);
        }
        self.record.run_started(&self.entry.id, &task, attempt, body.text("spec"));
        state.active.insert(task, active);
        self.ok()
    }

    fn stop_run(&self, mut state: MutexGuard<'_, State>, body: &Json) -> Response {
        let (task, attempt) = (body.text("task").to_owned(), body.number("attempt").unwrap_or(0));
        let highest = state.highest.entry(task.clone()).or_default();
        *highest = attempt.max(*highest);
        self.record.note(format!(
            "runner {}: order to stop {task}, run {attempt}, token {}",
            self.entry.id,
            body.number("fencingToken").unwrap_or(0)
        ));
        if let Some(active) = state.active.get_mut(&task).filter(|it| it.attempt <= attempt) {
            active.stops_at.get_or_insert(Instant::now() + STOP_TIME);
        }
        self.ok()
    }

    fn hold(&self, mut state: MutexGuard<'_, State>, body: &Json) -> Response {
        self.extend(&mut state, body);
        let acknowledged = body.number("ackCursor").unwrap_or(0);
        // An end does not count as taken note of if the lease has lapsed since.
        let noted = state
            .ended
            .iter()
            .filter(|it| it.number <= acknowledged && it.lapses == state.lapses);
        for end in noted {
            self.record
                .end_noted(&self.entry.id, &end.task, end.attempt, body.number("fencingToken").unwrap_or(0));
        }
        state.ended.retain(|it| acknowledged < it.number);
        let wait = Duration::from_millis(body.number("waitMs").unwrap_or(0).min(2000));
        let deadline = Instant::now() + wait;
        while state.ended.is_empty() {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self.changed.wait_timeout(state, left).unwrap_or_else(|it| it.into_inner()).0;
        }
        let active = state.active.iter().map(|(task, it)| {
            let percent = it.percent();
            list([text(task.as_str()), number(it.attempt), text(""), number(percent), number(1)])
        });
        let active = list(active);
        let ended = state.ended.iter().take(ENDS_PAGE);
        let ended = ended.map(|it| {
            list([
                number(it.number),
                text(it.task.as_str()),
                number(it.attempt),
                text(it.how),
                text(""),
            ])
        });
        let finished = list(ended);
        let body = object([
            ("clockMs", number(self.clock_ms())),
            ("born", number(self.born_ms)),
            ("active", active),
            ("finished", finished),
        ]);
        http::json(200, body)
    }
}
