//! The configuration sends a queue to another service while jobs of it wait.

use std::sync::Arc;
use std::time::Duration;

use crate::fleet::{CONFIG_APPLY, CONTACT, Config, Route, Site, Tenant, VISIBLE};
use crate::record::Record;

const KEY: &str = "k-1";
const WAITING: u64 = 12;

fn config(service: &'static str) -> Config {
    Config {
        routes: vec![Route::new("r-moved", "/tije37/", service)],
        services: vec!["huvo11a", "wuno96b"],
        tenants: vec![Tenant {
            name: "t-1",
            keys: vec![KEY],
            ceiling: 0,
        }],
    }
}

pub fn run(record: Arc<Record>, is_troubled: bool) -> Vec<String> {
    let services = [("huvo11a", 3, 16_000), ("wuno96b", 3, 16_000)];
    let mut site = Site::start(record.clone(), 3, &services, &config("huvo11a"));
    // One task fills a runner.
    site.submit(0, "/tije37/00000000000000aa", KEY, "work 40000", 3, 16_000, false);
    site.await_that("all runners of the service are full", |it| it.running("00000000000000aa") == 3);
    for job in 0..WAITING {
        site.submit(job as usize, &format!("/tije37/{job:016x}"), KEY, "work 1000", 1, 8_000, false);
    }
    // `pending` may be 2 s old.
    let settled = VISIBLE + Duration::from_secs(2);
    site.wait(settled);
    if is_troubled {
        site.configure(&config("wuno96b"));
    }
    site.wait(CONFIG_APPLY.max(CONTACT) + Duration::from_millis(500));
    let mut breaks = Vec::new();
    for round in 0..6 {
        for instance in 0..site.instances.len() {
            let answer = site.call(instance, "GET", "/tije37/", KEY, "");
            let begun = record.starts().iter().filter(|it| it.job() != "00000000000000aa").count() as u64;
            let Some(pending) = answer.body.number("pending").filter(|_| answer.is_ok()) else {
                continue;
            };
            if 2 * pending < WAITING - begun {
                breaks.push(format!(
                    "MIXED: {} gives {pending} as pending, {} jobs were accepted over {} s before and have not begun",
                    site.instances[instance].name,
                    WAITING - begun,
                    settled.as_secs()
                ));
            }
        }
        if round < 5 {
            site.wait(Duration::from_millis(500));
        }
    }
    breaks
}
