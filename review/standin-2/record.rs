//! What was sent, answered and run, for the checks and for `record.txt`.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::runner::{Ended, Start};

#[derive(Default)]
struct Runs {
    starts: Vec<Start>,
    ends: Vec<Ended>,
}

pub struct Record {
    begun: Instant,
    file: Mutex<File>,
    runs: Mutex<Runs>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).unwrap_or_else(|err| crate::cannot_run(&format!("cannot write {}: {err}", path.display())));
        Record {
            begun: Instant::now(),
            file: Mutex::new(file),
            runs: Mutex::default(),
        }
    }

    /// Time since the start of the case.
    pub fn now(&self) -> Duration {
        self.begun.elapsed()
    }

    /// Writes a line with the time.
    pub fn note(&self, line: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap_or_else(|it| it.into_inner());
        let _ = writeln!(file, "{:9.3} s  {}", self.now().as_secs_f64(), line.as_ref());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, line: impl AsRef<str>) {
        println!("{}", line.as_ref());
        self.note(line);
    }

    pub fn run_started(&self, runner: &str, task: &str, attempt: u64, spec: &str) {
        self.note(format!("runner {runner}: start of {task}, run {attempt}, spec '{spec}'"));
        let start = Start {
            at: self.now(),
            runner: runner.to_owned(),
            task: task.to_owned(),
            attempt,
        };
        self.lock().starts.push(start);
    }

    pub fn run_ended(&self, runner: &str, task: &str, attempt: u64, how: &'static str) {
        self.note(format!("runner {runner}: end of {task}, run {attempt}: {how}"));
        let end = Ended {
            at: self.now(),
            runner: runner.to_owned(),
            task: task.to_owned(),
            attempt,
            how,
            noted_at: None,
        };
        self.lock().ends.push(end);
    }

    /// Records that an end was taken note of.
    pub fn end_noted(&self, runner: &str, task: &str, attempt: u64, token: u64) {
        let now = self.now();
        let mut runs = self.lock();
        let is_end = |it: &&mut Ended| it.runner == runner && it.task == task && it.attempt == attempt;
        if let Some(end) = runs.ends.iter_mut().rev().find(is_end) {
            end.noted_at.get_or_insert(now);
            if end.how == "done" {
                drop(runs);
                self.note(format!(
                    "runner {runner}: end of {task}, run {attempt}, is taken note of under token {token}"
                ));
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Runs> {
        self.runs.lock().unwrap_or_else(|it| it.into_inner())
    }

    pub fn starts(&self) -> Vec<Start> {
        self.lock().starts.clone()
    }

    pub fn ends(&self) -> Vec<Ended> {
        self.lock().ends.clone()
    }
}
