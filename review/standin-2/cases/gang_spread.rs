//! A gang of which at most one task may run on one runner.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::fleet::{Config, Route, Site, Tenant};
use crate::record::Record;

const JOB: &str = "5c0e7a21d94b36f8";
const KEY: &str = "k-1";
const MEMBERS: usize = 3;

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
    let (gang, spec) = match is_troubled {
        true => (r#","gang":true"#, format!("gang {MEMBERS} 1000")),
        false => ("", "work 1000".to_owned()),
    };
    let body =
        format!(r#"{{"spec":"{spec}","phases":[{{"count":{MEMBERS},"cpu":4000,"memMb":256,"estimateMs":1000,"antiAffinity":1{gang}}}]}}"#);
    if !site.call(0, "POST", &format!("/tije37/{JOB}"), KEY, &body).is_ok() {
        crate::cannot_run("the job was not accepted");
    }
    site.wait(Duration::from_secs(6));
    let mut by_runner: HashMap<String, Vec<String>> = HashMap::new();
    for start in record.starts() {
        by_runner.entry(start.runner).or_default().push(start.task);
    }
    let crowded = by_runner.into_iter().filter(|(_, tasks)| 1 < tasks.len());
    crowded
        .map(|(runner, tasks)| {
            format!(
                "ROUTE: {} tasks with antiAffinity 1 were started on {runner}: {}",
                tasks.len(),
                tasks.join(", ")
            )
        })
        .collect()
}
