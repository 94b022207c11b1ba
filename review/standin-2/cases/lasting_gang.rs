//! The tasks of a gang that lasts end `done`.

use std::sync::Arc;
use std::time::Duration;

use crate::fleet::{Config, Route, Site, Tenant};
use crate::record::Record;

const JOB: &str = "5c0e7a21d94b36f8";
const KEY: &str = "k-1";
const MEMBERS: usize = 3;
/// Time from the last run of a task that lasts within which it has to run again, and for which the
/// rule has to be broken on end.
const RESTART: Duration = Duration::from_secs(6);
const ON_END: Duration = Duration::from_secs(3);

pub fn run(record: Arc<Record>, is_troubled: bool) -> Vec<String> {
    let config = Config {
        routes: vec![Route::new("r-1", "/tije37/", "huvo11a")],
        services: vec!["huvo11a"],
        tenants: vec![Tenant {
            name: "t-1",
            keys: vec![KEY],
            ceiling: 0,
        }],
    };
    let site = Site::start(record.clone(), 3, &[("huvo11a", 6, 32_000)], &config);
    let path = format!("/tije37/{JOB}");
    let work_ms = if is_troubled { 5_000 } else { 600_000 };
    let body = format!(
        r#"{{"spec":"gang {MEMBERS} {work_ms}","phases":[{{"count":{MEMBERS},"cpu":4000,"memMb":256,"estimateMs":900,"gang":true,"longRunning":true}}]}}"#
    );
    let accepted = site.call(0, "POST", &path, KEY, &body);
    if !accepted.is_ok() {
        crate::cannot_run("the job was not accepted");
    }
    site.await_that("all tasks run", |it| it.running(JOB) == MEMBERS);
    let begun = record.starts().len();
    site.wait(Duration::from_millis(5_000) + RESTART + ON_END + Duration::from_secs(2));
    let state = site.call(1, "GET", &path, KEY, "");
    let ends = record.ends();
    let again = record.starts().len() - begun;
    record.say(format!(
        "{} tasks have ended, {again} began again, {} run; the job is shown as {}",
        ends.len(),
        site.running(JOB),
        state.body
    ));
    if ends.is_empty() || site.running(JOB) != 0 {
        return Vec::new();
    }
    let last = ends.iter().map(|it| it.at).max().unwrap_or_default();
    let since = record.now() - last;
    if since < RESTART + ON_END {
        return Vec::new();
    }
    vec![format!(
        "LOST: nobody has cancelled the job, none of its {MEMBERS} tasks, which last, has run for {:.1} s, six runners are idle, and it is shown as {}",
        since.as_secs_f64(),
        state.body
    )]
}
