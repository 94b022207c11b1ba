//! What was sent, answered and run, with the time since the start; written to `record.txt`.

use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// The record of a case.
pub struct Record {
    began: Instant,
    lines: Mutex<Vec<(Duration, String)>>,
}

impl Record {
    pub fn new() -> Record {
        Record {
            began: Instant::now(),
            lines: Mutex::default(),
        }
    }

    /// Time since the start.
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    pub fn note(&self, text: impl Into<String>) {
        self.lines.lock().unwrap().push((self.now(), text.into()));
    }

    /// The same, and also on standard output.
    pub fn say(&self, text: impl Into<String>) {
        let text = text.into();
        println!("{:9.3} {text}", self.now().as_secs_f64());
        self.note(text);
    }

    pub fn write(&self, path: &Path) {
        let mut out = Vec::new();
        for (at, text) in self.lines.lock().unwrap().iter() {
            let _ = writeln!(out, "{:9.3} {text}", at.as_secs_f64());
        }
        if let Err(err) = std::fs::write(path, out) {
            println!("cannot write {}: {err}", path.display());
        }
    }
}
