//! All open connections to the store and to the runners go silent; new ones work.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::fleet::{self, CONTACT, Config, Route, Site, Tenant, VISIBLE};
use crate::record::Record;

const KEY: &str = "k-1";
const PREFIXES: [&str; 2] = ["/tije37/", "/kafi706/"];
/// Time between two jobs of a client.
const INTERVAL: Duration = Duration::from_millis(120);
/// Time for which jobs are read after their acknowledgement.
const READ_FOR: Duration = Duration::from_millis(4_500);
/// Number of times that the connections go silent, and the time between two of them.
const EVENTS: usize = 6;
const PAUSE: Duration = Duration::from_secs(8);
/// Margin on all bounds, for the clocks of two threads.
const MARGIN: Duration = Duration::from_millis(30);

fn config() -> Config {
    Config {
        routes: vec![Route::new("r-1", PREFIXES[0], "huvo11a"), Route::new("r-2", PREFIXES[1], "wuno96b")],
        services: vec!["huvo11a", "wuno96b"],
        tenants: vec![Tenant {
            name: "t-1",
            keys: vec![KEY],
            ceiling: 0,
        }],
    }
}

/// An answer of 410 for an accepted job.
struct Unknown {
    job: String,
    instance: String,
    accepted: Duration,
    sent: Duration,
}

pub fn run(record: Arc<Record>, is_troubled: bool) -> Vec<String> {
    let services = [("huvo11a", 5, 32_000), ("wuno96b", 5, 32_000)];
    let site = Site::start(record.clone(), 3, &services, &config());
    let is_over = AtomicBool::new(false);
    let (unknown, silenced) = thread::scope(|scope| {
        let (site, is_over) = (&site, &is_over);
        let clients: Vec<_> = (0..6)
            .map(|client| scope.spawn(move || submit_and_read(site, client, is_over)))
            .collect();
        thread::sleep(Duration::from_secs(10));
        let mut silenced = Vec::new();
        for _ in 0..EVENTS {
            if is_troubled {
                site.store.silence.begin();
                site.runners.iter().for_each(|it| it.silence.begin());
                site.record.note("all open connections to the store and to the runners go silent");
                silenced.push(site.record.now());
            }
            thread::sleep(PAUSE);
        }
        is_over.store(true, Ordering::Relaxed);
        let unknown: Vec<Unknown> = clients.into_iter().flat_map(|it| it.join().unwrap_or_default()).collect();
        (unknown, silenced)
    });
    let since_silence = |it: &Unknown| {
        let before = silenced.iter().rev().find(|at| **at <= it.sent);
        before.map(|at| it.sent - *at)
    };
    let late = unknown.iter().filter(|it| it.accepted + VISIBLE + MARGIN <= it.sent);
    let in_touch = late.filter(|it| since_silence(it).is_none_or(|time| CONTACT + MARGIN <= time));
    let breaks = in_touch.map(|it| {
        format!(
            "LOST: {} answers 410 for job {} at {:.3} s, {} ms after its acknowledgement; the connections went silent {} ms before",
            it.instance,
            it.job,
            it.sent.as_secs_f64(),
            (it.sent - it.accepted).as_millis(),
            since_silence(it).unwrap_or_default().as_millis()
        )
    });
    breaks.collect()
}

/// Submits a job at an interval and reads each of them, at different instances.
fn submit_and_read(site: &Site, client: usize, is_over: &AtomicBool) -> Vec<Unknown> {
    let prefix = PREFIXES[client % PREFIXES.len()];
    let body = fleet::job("work 500", 1, 500, false);
    let mut accepted: Vec<(String, Duration)> = Vec::new();
    let mut unknown = Vec::new();
    let mut number = 0;
    while !is_over.load(Ordering::Relaxed) {
        number += 1;
        let job = format!("{client:08x}{number:08x}");
        let instance = &site.instances[(client + number) % site.instances.len()];
        let answer = fleet::call(&site.record, instance, "POST", &format!("{prefix}{job}"), KEY, &body);
        if answer.is_ok() {
            accepted.push((job, answer.received));
        }
        // Those that have to be visible by now.
        let now = site.record.now();
        accepted.retain(|(_, at)| now < *at + READ_FOR);
        for (job, at) in accepted.iter().filter(|(_, at)| *at + VISIBLE <= now) {
            let instance = &site.instances[(client + number + 1) % site.instances.len()];
            let answer = fleet::call(&site.record, instance, "GET", &format!("{prefix}{job}"), KEY, "");
            if answer.status == Some(410) {
                unknown.push(Unknown {
                    job: job.clone(),
                    instance: instance.name.clone(),
                    accepted: *at,
                    sent: answer.sent,
                });
            }
        }
        thread::sleep(INTERVAL);
    }
    unknown
}
