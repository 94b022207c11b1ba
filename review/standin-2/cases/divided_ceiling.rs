//! A tenant hands in jobs for two services at once that are together over its ceiling.

use std::sync::Arc;
use std::time::Duration;

use crate::fleet::{Config, Route, Site, Tenant};
use crate::record::Record;

const KEY: &str = "k-1";
const SERVICES: [&str; 2] = ["huvo11a", "wuno96b"];
const PREFIXES: [&str; 2] = ["/tije37/", "/kafi706/"];
/// Thousandths of a core: the ceiling, what a task takes, and what a runner has.
const CEILING: u64 = 10_000;
const TASK: u64 = 6_000;
const RUNNER: u64 = 32_000;
/// Time after the start of the instances until the jobs are handed in.
const SETTLED: Duration = Duration::from_secs(10);
/// Time for which nothing may stand still, once the time before it was calm.
const CALM: Duration = Duration::from_secs(7);

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
            ceiling: CEILING,
        }],
    };
    let site = Site::start(record.clone(), 3, &SERVICES.map(|it| (it, 4, RUNNER)), &config);
    site.wait(SETTLED);
    let jobs = if is_troubled { 2 } else { 1 };
    for job in 0..jobs {
        site.submit(job, &format!("{}{job:016x}", PREFIXES[job]), KEY, "work 1000", 2, TASK, false);
    }
    let begun = record.now();
    let mut breaks = Vec::new();
    for _ in 0..4 {
        site.wait(CALM);
        let starts = record.starts().len();
        let states: Vec<String> = (0..jobs)
            .map(|job| {
                site.call(0, "GET", &format!("{}{job:016x}", PREFIXES[job]), KEY, "")
                    .body
                    .to_string()
            })
            .collect();
        let elapsed = (record.now() - begun).as_secs_f64();
        record.say(format!(
            "{elapsed:.1} s after the jobs were accepted: {starts} tasks have begun, states {states:?}"
        ));
        if starts == 0 {
            breaks.push(format!(
                "LOST: for {elapsed:.1} s nothing of {jobs} accepted jobs has run, their tenant uses nothing of its ceiling of {CEILING}, a task takes {TASK}, and 8 runners of {RUNNER} are idle"
            ));
        }
    }
    breaks
}
