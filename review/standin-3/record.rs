//! The record of a case: what was sent, answered and run, with times from its start.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    since: Instant,
    file: Mutex<File>,
    runs: Mutex<Vec<Run>>,
}

/// A run of a task as its runner has seen it.
#[derive(Clone)]
pub struct Run {
    pub task: String,
    pub attempt: u64,
    pub began: f64,
    /// How it ended.
    pub how: Option<&'static str>,
}

impl Record {
    pub fn create(path: &str) -> Record {
        Record {
            since: Instant::now(),
            file: Mutex::new(File::create(path).expect("the record can be written")),
            runs: Mutex::default(),
        }
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.since.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let _ = writeln!(self.file.lock().unwrap(), "{:9.3} {text}", self.now());
    }

    pub fn run_begins(&self, runner: &str, task: &str, attempt: u64) {
        self.line(&format!("runner {runner}: {task} run {attempt} begins"));
        self.runs.lock().unwrap().push(Run {
            task: task.to_owned(),
            attempt,
            began: self.now(),
            how: None,
        });
    }

    pub fn run_ended(&self, runner: &str, task: &str, attempt: u64, how: &'static str) {
        self.line(&format!("runner {runner}: {task} run {attempt} ended: {how}"));
        let mut runs = self.runs.lock().unwrap();
        if let Some(run) = runs.iter_mut().rev().find(|it| it.task == task && it.attempt == attempt) {
            run.how = Some(how);
        }
    }

    /// Runs of the tasks of a job.
    pub fn runs(&self, job: &str) -> Vec<Run> {
        self.runs
            .lock()
            .unwrap()
            .iter()
            .filter(|it| it.task.starts_with(job))
            .cloned()
            .collect()
    }
}
