//! The policy of a queue with `recommendation` allows a few of the runners.

use std::sync::Arc;
use std::time::Duration;

use crate::fleet::{Config, Route, Site, Tenant};
use crate::record::Record;

const KEY: &str = "k-1";
const JOB: &str = "5c0e7a21d94b36f8";
const PREFIX: &str = "/tije37/";
const RUNNERS: usize = 40;
/// Number of runners that the policy allows.
const ALLOWED: usize = 6;
const CALM: Duration = Duration::from_secs(7);

pub fn run(record: Arc<Record>, is_troubled: bool) -> Vec<String> {
    let config = Config {
        routes: vec![Route {
            is_advised: true,
            ..Route::new("r-1", PREFIX, "huvo11a")
        }],
        services: vec!["huvo11a"],
        tenants: vec![Tenant {
            name: "t-1",
            keys: vec![KEY],
            ceiling: 0,
        }],
    };
    let site = Site::start(record.clone(), 3, &[("huvo11a", RUNNERS, 32_000)], &config);
    let mut ids: Vec<&str> = site.runners.iter().map(|it| it.entry.id.as_str()).collect();
    ids.sort_unstable();
    if is_troubled {
        ids.reverse();
    }
    ids.iter().take(ALLOWED).for_each(|it| site.advice.allow(it));
    site.wait(Duration::from_secs(4));
    site.advice.require(JOB);
    site.submit(0, &format!("{PREFIX}{JOB}"), KEY, "work 1000", 1, 4_000, false);
    let begun = record.now();
    let mut breaks = Vec::new();
    for _ in 0..4 {
        site.wait(CALM);
        let starts = record.starts().len();
        let state = site.call(0, "GET", &format!("{PREFIX}{JOB}"), KEY, "").body;
        let elapsed = (record.now() - begun).as_secs_f64();
        record.say(format!(
            "{elapsed:.1} s after the job was accepted: {starts} tasks have begun, it is shown as {state}"
        ));
        if starts == 0 {
            breaks.push(format!(
                "LOST: for {elapsed:.1} s nothing of the accepted job has run, and {ALLOWED} of the {RUNNERS} idle runners may run it"
            ));
        }
    }
    breaks
}
