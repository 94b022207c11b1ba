//! Gangs of tasks on the stand-ins of runners.

use std::collections::{HashMap, HashSet};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Time for which a member waits for the others.
const GANG_TIMEOUT: Duration = Duration::from_millis(3_000);

#[derive(Default)]
struct Gang {
    size: usize,
    work: Duration,
    present: HashSet<String>,
    /// When the last member came.
    complete_at: Option<Instant>,
    /// How the members end that are left.
    end: Option<&'static str>,
}

/// All gangs, by step and run.
#[derive(Default)]
pub struct Gangs(Mutex<HashMap<(String, u64), Gang>>);

impl Gangs {
    fn lock(&self) -> MutexGuard<'_, HashMap<(String, u64), Gang>> {
        self.0.lock().unwrap_or_else(|it| it.into_inner())
    }

    /// Adds a member; `size` holds the number of members and the time of their work.
    pub fn joined(&self, task: &str, attempt: u64, size: &str) {
        let mut gangs = self.lock();
        let gang = gangs.entry(key(task, attempt)).or_default();
        let (size, work) = size.split_once(' ').unwrap_or((size, "0"));
        gang.size = size.parse().unwrap_or(1);
        gang.work = Duration::from_millis(work.parse().unwrap_or(0));
        gang.present.insert(task.to_owned());
        if gang.present.len() == gang.size {
            gang.complete_at.get_or_insert(Instant::now());
        }
    }

    /// Returns how a member ends now, if it does.
    pub fn due(&self, task: &str, attempt: u64, started: Instant) -> Option<&'static str> {
        let gangs = self.lock();
        let gang = gangs.get(&key(task, attempt))?;
        match gang.complete_at {
            _ if gang.end.is_some() => gang.end,
            Some(at) => (gang.work <= at.elapsed()).then_some("done"),
            None => (GANG_TIMEOUT <= started.elapsed()).then_some("alone"),
        }
    }

    /// Ends the other members with one that has ended.
    pub fn ended(&self, task: &str, attempt: u64, how: &'static str) {
        if let Some(gang) = self.lock().get_mut(&key(task, attempt)) {
            gang.end.get_or_insert(if how == "done" { "done" } else { "broken" });
        }
    }
}

/// Step of a task, with the run.
fn key(task: &str, attempt: u64) -> (String, u64) {
    let step = task.rsplit_once('.').map_or(task, |(step, _)| step);
    (step.to_owned(), attempt)
}
