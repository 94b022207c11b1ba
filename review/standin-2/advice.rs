//! Stand-in of the service that knows which runners may run a step of a queue with
//! `recommendation`.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Request, Response, Silence};
use crate::json::{Json, list, number, object, text};
use crate::record::Record;

/// Times of an answer: for each call, and for each runner named.
pub const DECISION_MS: u64 = 50;
pub const PERIOD_MS: u64 = 5;
/// Time for which a ticket is valid.
pub const VALIDITY_MS: u64 = 3_000;

#[derive(Default)]
pub struct Advice {
    /// Jobs whose queue has `recommendation`.
    jobs: Mutex<HashSet<String>>,
    /// Runners that the policy allows.
    allowed: Mutex<HashSet<String>>,
    /// Tickets of a step and a runner.
    tickets: Mutex<HashMap<(String, String), (String, Instant)>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|it| it.into_inner())
}

impl Advice {
    pub fn serve(self: &Arc<Advice>, addr: SocketAddr, record: Arc<Record>) {
        let advice = self.clone();
        http::serve(addr, Silence::default(), move |request| advice.handle(&request, &record));
    }

    /// Makes a job one of a queue with `recommendation`.
    pub fn require(&self, job: &str) {
        lock(&self.jobs).insert(job.to_owned());
    }

    pub fn allow(&self, runner: &str) {
        lock(&self.allowed).insert(runner.to_owned());
    }

    fn handle(&self, request: &Request, record: &Record) -> Response {
        let body = request.json();
        let Some(Json::List(workers)) = body.get("workers") else {
            return http::json(400, object([]));
        };
        thread::sleep(Duration::from_millis(DECISION_MS + PERIOD_MS * workers.len() as u64));
        let phase = body.text("phase");
        let valid_until = Instant::now() + Duration::from_millis(VALIDITY_MS);
        let mut approved = Vec::new();
        for worker in workers {
            let Json::Text(worker) = worker else { continue };
            if lock(&self.allowed).contains(worker) {
                let ticket = format!("c81e-{worker}");
                lock(&self.tickets).insert((phase.to_owned(), worker.clone()), (ticket.clone(), valid_until));
                approved.push(list([text(worker.as_str()), text(ticket)]));
            }
        }
        record.note(format!(
            "advice on {phase}: {} runners named, {} approved",
            workers.len(),
            approved.len()
        ));
        let body = object([("approved", Json::List(approved)), ("validityMs", number(VALIDITY_MS))]);
        http::json(200, body)
    }

    /// Whether a runner may start a task with a ticket.
    pub fn allows(&self, task: &str, runner: &str, ticket: &str) -> bool {
        let job = task.split('.').next().unwrap_or_default();
        if !lock(&self.jobs).contains(job) {
            return true;
        }
        let step = task.rsplit_once('.').map_or(task, |(step, _)| step);
        let tickets = lock(&self.tickets);
        let known = tickets.get(&(step.to_owned(), runner.to_owned()));
        known.is_some_and(|(it, until)| it == ticket && Instant::now() <= *until)
    }
}
