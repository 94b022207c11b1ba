//! Another writer writes entries into the list of runners, with a service that no configuration
//! names, under ids of runners that are at work.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::fleet::{self, Config, Route, Site, Tenant};
use crate::record::Record;
use crate::runner::{Ended, Start};

const KEY: &str = "k-1";
const SERVICES: [&str; 2] = ["huvo11a", "wuno96b"];
const PREFIXES: [&str; 2] = ["/tije37/", "/kafi706/"];
/// Number of entries of the other writer, and the time between two of them.
const ENTRIES: usize = 12;
const INTERVAL: Duration = Duration::from_millis(2_500);

pub fn run(record: Arc<Record>, is_troubled: bool) -> Vec<String> {
    let config = Config {
        routes: vec![
            Route::new("r-1", PREFIXES[0], SERVICES[0]),
            Route::new("r-2", PREFIXES[1], SERVICES[1]),
        ],
        services: SERVICES.to_vec(),
        tenants: vec![Tenant {
            name: "t-1",
            keys: vec![KEY],
            ceiling: 0,
        }],
    };
    let site = Site::start(record.clone(), 3, &SERVICES.map(|it| (it, 3, 16_000)), &config);
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        for client in 0..4 {
            let (site, is_over) = (&site, &is_over);
            scope.spawn(move || {
                let body = fleet::job("work 400", 3, 500, false);
                let mut number = 0;
                while !is_over.load(Ordering::Relaxed) {
                    number += 1;
                    let path = format!("{}{client:08x}{number:08x}", PREFIXES[client % 2]);
                    site.call(client + number, "POST", &path, KEY, &body);
                    thread::sleep(Duration::from_millis(150));
                }
            });
        }
        thread::sleep(Duration::from_secs(10));
        for number in 0..ENTRIES {
            if is_troubled {
                let runner = &site.runners[number % site.runners.len()];
                let service = format!("unnamed-{number}");
                site.record
                    .note(format!("another writer: an entry under {} with service {service}", runner.entry.id));
                let entry = runner.entry_of(&service, 1_000_000);
                site.store.put("keyed.servers", &runner.entry.id, Some(entry));
            }
            thread::sleep(INTERVAL);
        }
        is_over.store(true, Ordering::Relaxed);
    });
    site.wait(Duration::from_secs(5));
    let stopped = record.ends().iter().filter(|it| it.how == "stopped").count();
    record.say(format!("{} starts, {stopped} runs stopped", record.starts().len()));
    second_runs(&record)
}

/// Starts of tasks of which a run had ended `done`, if that end was taken note of, or of which a run
/// was under way.
fn second_runs(record: &Record) -> Vec<String> {
    let mut ends: HashMap<String, Vec<Ended>> = HashMap::new();
    for end in record.ends() {
        ends.entry(end.task.clone()).or_default().push(end);
    }
    let mut starts: HashMap<String, Vec<Start>> = HashMap::new();
    for start in record.starts() {
        starts.entry(start.task.clone()).or_default().push(start);
    }
    let mut breaks = Vec::new();
    for (task, starts) in starts {
        let ends = ends.remove(&task).unwrap_or_default();
        for (index, start) in starts.iter().enumerate().skip(1) {
            let began = format!(
                "TWICE: run {} of {task} began at {:.3} s on {}",
                start.attempt,
                start.at.as_secs_f64(),
                start.runner
            );
            let is_done = |it: &&Ended| it.how == "done" && it.at < start.at;
            if let Some((end, noted_at)) = ends.iter().filter(is_done).find_map(|it| Some((it, it.noted_at?))) {
                breaks.push(format!(
                    "{began}; run {} had ended done at {:.3} s on {}, taken note of at {:.3} s",
                    end.attempt,
                    end.at.as_secs_f64(),
                    end.runner,
                    noted_at.as_secs_f64()
                ));
                continue;
            }
            let has_ended = |it: &Start| ends.iter().any(|end| end.attempt == it.attempt && end.at <= start.at);
            if let Some(earlier) = starts[..index].iter().find(|it| !has_ended(it)) {
                breaks.push(format!("{began}; run {} was under way on {}", earlier.attempt, earlier.runner));
            }
        }
    }
    breaks.sort();
    breaks
}
