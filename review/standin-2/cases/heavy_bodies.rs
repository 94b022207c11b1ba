//! Many clients send large bodies of legal size, each a job of many tasks that is due much later.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{self, Config, Route, Site, Tenant};
use crate::record::Record;

/// A queue that is open to everybody.
const OPEN: &str = "/zizi35/";
/// Number of large bodies, of the clients that send them, and of the steps and tasks in each.
const BODIES: usize = 1_400;
const CLIENTS: usize = 32;
const STEPS: usize = 60;
const TASKS: usize = 50;
/// Length of the name of a step's image.
const IMAGE_BYTES: usize = 1_600;
/// Time between two looks at the memory of the instances.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time from the end of the traffic until jobs are asked for.
const FINISH: Duration = Duration::from_secs(14);

pub fn run(record: Arc<Record>, is_troubled: bool) -> Vec<String> {
    let config = Config {
        routes: vec![Route {
            is_public: true,
            ..Route::new("r-public", OPEN, "wuno96b")
        }],
        services: vec!["wuno96b"],
        tenants: vec![Tenant {
            name: "t-1",
            keys: Vec::new(),
            ceiling: 0,
        }],
    };
    let site = Site::start(record.clone(), 3, &[("wuno96b", 4, 32_000)], &config);
    let ordinary = fleet::job("work 300", 1, 500, false);
    let submit = |from: usize, count: usize| {
        let mut accepted = Vec::new();
        for number in from..from + count {
            let path = format!("{OPEN}{number:016x}");
            if site.call(number, "POST", &path, "", &ordinary).is_ok() {
                accepted.push(path);
            }
            thread::sleep(Duration::from_millis(200));
        }
        accepted
    };
    let accepted = submit(0, 20);
    let is_over = AtomicBool::new(false);
    let mut killed = vec![0; site.instances.len()];
    let mut breaks = Vec::new();
    thread::scope(|scope| {
        let (site, is_over) = (&site, &is_over);
        let watch = scope.spawn(move || {
            let mut killed = vec![0; site.instances.len()];
            while !is_over.load(Ordering::Relaxed) {
                site.enforce_memory_limit().into_iter().for_each(|it| killed[it] += 1);
                thread::sleep(CHECK_INTERVAL);
            }
            killed
        });
        if is_troubled {
            let clients: Vec<_> = (0..CLIENTS).map(|client| scope.spawn(move || send(site, client))).collect();
            for client in clients {
                let _ = client.join();
            }
        }
        record.note("the traffic ends");
        thread::sleep(FINISH);
        let begun = Instant::now();
        for path in accepted.iter().rev() {
            // Each instance is asked; one answer is enough.
            let is_answered = (0..site.instances.len()).any(|it| site.call(it, "GET", path, "", "").is_ok());
            if !is_answered {
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
        is_over.store(true, Ordering::Relaxed);
        killed = watch.join().unwrap_or_default();
    });
    record.say(format!(
        "killed for their memory, by instance: {killed:?}; memory now and at most: {:?}",
        site.memory()
    ));
    breaks
}

fn send(site: &Site, client: usize) {
    let step = format!(
        r#"{{"count":{TASKS},"cpu":500,"memMb":256,"estimateMs":900,"image":"{}"}}"#,
        "x".repeat(IMAGE_BYTES)
    );
    let steps = vec![step; STEPS].join(",");
    let body = format!(r#"{{"spec":"work 300","repeatCount":1,"startAtMs":4000000000000,"phases":[{steps}]}}"#);
    for number in 0..BODIES / CLIENTS {
        let path = format!("{OPEN}{:08x}{number:08x}", 0xa000_0000_u32 + client as u32);
        site.call(client + number, "POST", &path, "", &body);
    }
}
