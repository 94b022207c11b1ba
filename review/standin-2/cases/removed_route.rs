//! A route is removed while a job of it is running whose task fails each time.

use std::sync::Arc;
use std::time::Duration;

use crate::fleet::{CONTACT, Config, Route, Site, Tenant};
use crate::record::Record;

const HOPELESS: &str = "5c0e7a21d94b36f8";
const KEY: &str = "k-1";
const MAX_ATTEMPTS: u64 = 2;

fn config(has_route: bool) -> Config {
    let mut routes = vec![Route {
        max_attempts: MAX_ATTEMPTS,
        ..Route::new("r-kept", "/tije37/", "huvo11a")
    }];
    if has_route {
        routes.push(Route {
            name: "r-removed",
            prefix: "/kafi706/",
            ..routes[0].clone()
        });
    }
    Config {
        routes,
        services: vec!["huvo11a"],
        tenants: vec![Tenant {
            name: "t-1",
            keys: vec![KEY],
            ceiling: 0,
        }],
    }
}

pub fn run(record: Arc<Record>, is_troubled: bool) -> Vec<String> {
    let mut site = Site::start(record.clone(), 3, &[("huvo11a", 4, 32_000)], &config(true));
    site.submit(0, &format!("/kafi706/{HOPELESS}"), KEY, "fail 1500", 1, 1000, false);
    site.await_that("the task has begun", |it| it.running(HOPELESS) == 1);
    if is_troubled {
        site.configure(&config(false));
    }
    site.wait(CONTACT + Duration::from_secs(12));
    let starts: Vec<_> = record.starts().into_iter().filter(|it| it.job() == HOPELESS).collect();
    let failed: Vec<_> = record.ends().into_iter().filter(|it| it.task.starts_with(HOPELESS)).collect();
    let failed: Vec<_> = failed.into_iter().filter(|it| it.how == "failed").collect();
    record.say(format!("{} starts of the task, {} runs ended failed", starts.len(), failed.len()));
    let Some(last_allowed) = failed.get(MAX_ATTEMPTS as usize - 1) else {
        return Vec::new();
    };
    let late = starts.iter().filter(|it| last_allowed.at < it.at);
    late.map(|it| {
        format!(
            "BUDGET: run {} of {} began at {:.3} s on {}, though {MAX_ATTEMPTS} runs had ended failed by {:.3} s",
            it.attempt,
            it.task,
            it.at.as_secs_f64(),
            it.runner,
            last_allowed.at.as_secs_f64()
        )
    })
    .collect()
}
