//! Many clients send large bodies of legal size, each a job that is due much later.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{self, Config, Route, Site, Tenant};
use crate::record::Record;

const KEY: &str = "k-1";
/// Queue of the ordinary client, and one that is open to everybody.
const ORDINARY: &str = "/tije37/";
const OPEN: &str = "/zizi35/";
/// Number of large bodies, of the clients that send them, and of the steps in each.
const BODIES: usize = 128;
const CLIENTS: usize = 32;
const STEPS: usize = 3_300;
/// Time from the end of the traffic until jobs are asked for.
const FINISH: Duration = Duration::from_secs(14);

pub fn run(record: Arc<Record>, is_troubled: bool) -> Vec<String> {
    let config = Config {
        routes: vec![
            Route::new("r-private", ORDINARY, "huvo11a"),
            Route {
                is_public: true,
                ..Route::new("r-public", OPEN, "wuno96b")
            },
        ],
        services: vec!["huvo11a", "wuno96b"],
        tenants: vec![Tenant {
            name: "t-1",
            keys: vec![KEY],
            ceiling: 0,
        }],
    };
    let site = Site::start(record.clone(), 3, &[("huvo11a", 4, 32_000), ("wuno96b", 4, 32_000)], &config);
    let ordinary = fleet::job("work 300", 1, 500, false);
    let mut accepted: Vec<String> = Vec::new();
    let mut submit = |from: usize, time: Duration| {
        let begun = Instant::now();
        for number in (from..).take_while(|_| begun.elapsed() < time) {
            let prefix = [ORDINARY, OPEN][number % 2];
            let key = if prefix == ORDINARY { KEY } else { "" };
            let path = format!("{prefix}{number:016x}");
            if site.call(number, "POST", &path, key, &ordinary).is_ok() {
                accepted.push(path);
            }
            thread::sleep(Duration::from_millis(200));
        }
    };
    submit(0, Duration::from_secs(4));
    thread::scope(|scope| {
        if is_troubled {
            for client in 0..CLIENTS {
                let site = &site;
                scope.spawn(move || send_large_bodies(site, client));
            }
        }
        submit(1_000, Duration::from_secs(6));
    });
    record.say(format!("memory of the instances, MiB now and at most: {:?}", site.memory()));
    record.note("the traffic ends");
    thread::sleep(FINISH);
    let mut breaks = Vec::new();
    let mut answered = 0;
    let begun = Instant::now();
    for path in accepted.iter().rev() {
        // Each instance is asked; one answer is enough.
        let key = if path.starts_with(ORDINARY) { KEY } else { "" };
        let is_answered = (0..site.instances.len()).any(|it| site.call(it, "GET", path, key, "").is_ok());
        if is_answered {
            answered += 1;
        } else {
            breaks.push(format!(
                "LOST: accepted job {path} is asked for at all {} instances {} s after the end of the traffic, and none answers in time",
                site.instances.len(),
                (FINISH + begun.elapsed()).as_secs()
            ));
        }
        if Duration::from_secs(20) < begun.elapsed() {
            break;
        }
    }
    record.say(format!(
        "ordinary jobs: {} accepted, {answered} answered for, {} not",
        accepted.len(),
        breaks.len()
    ));
    record.say(format!("memory of the instances, MiB now and at most: {:?}", site.memory()));
    breaks
}

fn send_large_bodies(site: &Site, client: usize) {
    let step = vec![r#"{"count":1,"cpu":500,"memMb":256,"estimateMs":900}"#; STEPS].join(",");
    let body = format!(r#"{{"spec":"work 300","repeatCount":1,"startAtMs":4000000000000,"phases":[{step}]}}"#);
    for number in 0..BODIES / CLIENTS {
        let path = format!("{OPEN}{:08x}{number:08x}", 0xa000_0000_u32 + client as u32);
        site.call(client + number, "POST", &path, "", &body);
    }
}
