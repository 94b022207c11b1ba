//! The cases. Each returns whether its rule was broken, `None` if it could not run.

use std::collections::BTreeMap;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::further;
use crate::runner::Run;
use crate::site::{Route, SIGCONT, SIGSTOP, Site, client_call, job};

/// Runners of most cases: service and cores.
pub const RUNNERS: [(&str, u64); 4] = [("weldcell", 64), ("weldcell", 64), ("paintcell", 64), ("paintcell", 64)];
/// Time after the end of the traffic at which jobs are asked for (`finish_s`).
pub const FINISH: Duration = Duration::from_secs(14);
/// Time for which nothing of a waiting job runs that breaks LOST.
const IDLE: Duration = Duration::from_secs(3);

/// A case: its runners, and what it does at a site.
pub type Case = (Vec<(&'static str, u64)>, fn(&Site, bool) -> Option<bool>);

/// Plays a case and writes its record into a folder.
pub fn play(name: &str, folder: &Path, trouble: bool) -> Option<bool> {
    let (runners, case): Case = match name {
        "large-commit" => (RUNNERS.to_vec(), large_commit),
        "blocked-pool" => (vec![("weldcell", 64); BLOCKED_POOL], blocked_pool),
        "route-replaced" => (RUNNERS.to_vec(), route_replaced),
        "queue-moves-back" => (RUNNERS.to_vec(), queue_moves_back),
        name => further::find(name)?,
    };
    let root = std::env::current_dir().ok()?;
    // Three of four own few enough partitions each to read all their requests at the same time.
    let instances = if name == "queue-moves-back" { 4 } else { 3 };
    let site = match Site::start(&root, instances, &runners) {
        Ok(site) => site,
        Err(err) => {
            println!("cannot start: {err}");
            return None;
        }
    };
    site.record.say(format!("trouble: {}", if trouble { "yes" } else { "no" }));
    let is_broken = match site.start_all(&[Route::new("weld", "weldcell"), Route::new("paint", "paintcell")]) {
        true => case(&site, trouble),
        false => {
            site.record.say("the instances are not ready");
            None
        }
    };
    site.record.say(match is_broken {
        Some(true) => "result: the rule was broken",
        Some(false) => "result: the rule held",
        None => "result: the case could not run",
    });
    site.end(folder);
    is_broken
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Runs of a job.
pub fn runs_of(site: &Site, id: &str) -> Vec<Run> {
    let prefix = format!("{id}.");
    site.runs().into_iter().filter(|it| it.task.starts_with(&prefix)).collect()
}

/// Whether a run was in progress at a time.
fn was_active(run: &Run, at: Duration) -> bool {
    run.started <= at && run.ended.is_none_or(|(end, _)| at < end)
}

/// Says which runs of a job overlap, or have started after one of the same task was done. Returns
/// whether there are any.
pub fn say_repeated_runs(site: &Site, id: &str) -> bool {
    let runs = runs_of(site, id);
    let end = |it: &Run| {
        it.ended
            .map_or("-".to_owned(), |(at, how)| format!("{:.3} {how}", at.as_secs_f64()))
    };
    let describe = |it: &Run| {
        format!(
            "run {} on {} from {:.3} to {}",
            it.attempt,
            it.runner,
            it.started.as_secs_f64(),
            end(it)
        )
    };
    let mut found = false;
    for first in &runs {
        for second in runs.iter().filter(|it| it.task == first.task && first.started < it.started) {
            let was_done = first.ended.is_some_and(|(at, how)| how == "done" && at <= second.started);
            if was_active(first, second.started) || was_done {
                found = true;
                site.record
                    .say(format!("TWICE: {}: {}, {}", first.task, describe(first), describe(second)));
            }
        }
    }
    found
}

/// Asks for the states of jobs, and returns how many of them had nothing running for [`IDLE`].
pub fn count_idle_jobs(site: &Site, queue: &str, ids: &[String]) -> usize {
    let asked_at = site.record.now();
    let mut states: BTreeMap<String, usize> = BTreeMap::new();
    let mut open = Vec::new();
    for (number, id) in ids.iter().enumerate() {
        let target = number % site.instances.len();
        let path = format!("/{queue}/{id}");
        let (status, body) = site.call(target, "GET", &path, "key-1", "");
        site.record.note(format!("client: GET {path} to entry-{target}: {status} {body}"));
        if !body.contains("completed") {
            open.push(id);
        }
        *states.entry(format!("{status} {body}")).or_default() += 1;
    }
    let idle_since = asked_at.saturating_sub(IDLE);
    let is_idle = |id: &&&String| !runs_of(site, id).iter().any(|it| it.ended.is_none_or(|(at, _)| idle_since < at));
    let idle = open.iter().filter(is_idle).count();
    let active = site.runs().iter().filter(|it| it.ended.is_none()).count();
    site.record
        .say(format!("answers {} s after the end of the traffic: {states:?}", FINISH.as_secs()));
    site.record.say(format!(
        "{idle} of {} jobs have had nothing running for {} s; {active} tasks run in all",
        ids.len(),
        IDLE.as_secs()
    ));
    idle
}

/// Jobs of `large_commit`, and the time between two of them: for two seconds a few times the mean
/// of a queue.
const JOBS: u64 = 200;
const JOB_GAP: Duration = Duration::from_millis(10);
/// Work of a job's first task: it ends while the store is down.
const FIRST_WORK_MS: u64 = 4000;
/// Time for which the store is down (`platform_down`).
const DOWN: Duration = Duration::from_millis(4500);

/// LOST: the store is down while the first tasks of many jobs end. Their next tasks never run.
fn large_commit(site: &Site, trouble: bool) -> Option<bool> {
    site.run_probe("weld", "00000000000000aa")?;
    // The longest payload that a job may have, five steps of up to 32 tasks, eight occurrences of
    // which the first one is due. One task of a job runs at a time: a short one, then a long one.
    let text = "x".repeat(3980);
    let now_ms = SystemTime::now().duration_since(UNIX_EPOCH).ok()?.as_millis();
    let step = |count: u64, after: &str| format!("{{\"count\":{count},\"cpu\":200,\"memMb\":64,\"estimateMs\":4000{after}}}");
    let wide = step(32, ",\"after\":[1]");
    let phases = [step(1, ""), step(1, ",\"after\":[0]"), wide.clone(), wide.clone(), wide].join(",");
    let body = format!(
        "{{\"spec\":\"ms={FIRST_WORK_MS},60000;{text}\",\"phases\":[{phases}],\"repeatCount\":8,\"startAtMs\":{now_ms},\"intervalMs\":600000}}"
    );
    let mut accepted = Vec::new();
    let mut clients: Vec<_> = (0..site.instances.len()).map(|it| site.client(it)).collect();
    let began = Instant::now();
    for number in 0..JOBS {
        thread::sleep((began + JOB_GAP * number as u32).saturating_duration_since(Instant::now()));
        let id = format!("{:016x}", 0xc000 + number);
        let target = number as usize % clients.len();
        let (status, _) = client_call(&mut clients[target], "POST", &format!("/weld/{id}"), "key-1", &body);
        site.record.note(format!("client: POST /weld/{id} to entry-{target}: {status}"));
        if status == 200 {
            accepted.push(id);
        }
    }
    site.record
        .say(format!("the traffic ends; sent {JOBS}, accepted {}", accepted.len()));
    let ended_at = Instant::now();
    sleep_ms(500);
    if trouble {
        site.store.go_down(DOWN);
    }
    thread::sleep((ended_at + FINISH).saturating_duration_since(Instant::now()));
    let idle = count_idle_jobs(site, "weld", &accepted);
    site.record.say(format!(
        "the store has refused {} appends as too large",
        site.store.refused_appends()
    ));
    Some(idle != 0)
}

/// Runners of `blocked_pool`, its lasting jobs, each with a task on every runner, and the short jobs
/// after them.
const BLOCKED_POOL: usize = 8;
const LASTING_JOBS: u64 = 34;
const SHORT_JOBS: u64 = 10;

/// LOST: one runner is lost for good while lasting jobs have a task on every runner. From then on no
/// other job of the pool runs.
fn blocked_pool(site: &Site, trouble: bool) -> Option<bool> {
    site.run_probe("weld", "00000000000000aa")?;
    let step = format!("{{\"count\":{BLOCKED_POOL},\"cpu\":400,\"memMb\":64,\"estimateMs\":2000,\"antiAffinity\":1,\"longRunning\":true}}");
    let lasting = format!("{{\"spec\":\"ms=300000;\",\"phases\":[{step}]}}");
    for number in 0..LASTING_JOBS {
        let path = format!("/weld/{:016x}", 0xd000 + number);
        let (status, _) = site.call(0, "POST", &path, "key-1", &lasting);
        site.record.note(format!("client: POST {path} to entry-0: {status}"));
        if status != 200 {
            return None;
        }
        sleep_ms(20);
    }
    sleep_ms(2000);
    let count_active = || site.runs().iter().filter(|it| it.ended.is_none()).count();
    site.record.say(format!(
        "{LASTING_JOBS} lasting jobs are accepted, {} of their tasks run",
        count_active()
    ));
    if trouble {
        site.record
            .say(format!("trouble: {} crashes and is lost for good", site.runners[3].id));
        site.runners[3].crash();
    }
    // Until the leases of the lost runner have ended, its tasks count as running.
    sleep_ms(14_000);
    let mut accepted = Vec::new();
    for number in 0..SHORT_JOBS {
        let id = format!("{:016x}", 0xc000 + number);
        let (status, _) = site.call(1, "POST", &format!("/weld/{id}"), "key-1", &job(500, 1, 1000, ""));
        site.record.note(format!("client: POST /weld/{id} to entry-1: {status}"));
        if status == 200 {
            accepted.push(id);
        }
    }
    site.record
        .say(format!("the traffic ends; {} short jobs are accepted", accepted.len()));
    thread::sleep(FINISH);
    Some(count_idle_jobs(site, "weld", &accepted) != 0)
}

/// TWICE: a job is handed in; a configuration replaces its route by one with the same address and
/// another service; the same call arrives again.
fn route_replaced(site: &Site, trouble: bool) -> Option<bool> {
    site.run_probe("weld", "00000000000000aa")?;
    site.run_probe("paint", "00000000000000bb")?;
    let id = "00000000000000c1";
    let path = format!("/weld/{id}");
    let body = job(6000, 2, 1000, "");
    let (status, _) = site.call(0, "POST", &path, "key-1", &body);
    site.record.say(format!("client: POST {path} to entry-0: {status}"));
    sleep_ms(500);
    if trouble {
        let new = Route {
            path: "weld",
            ..Route::new("weld-b", "paintcell")
        };
        site.configure(2, &[new, Route::new("paint", "paintcell")], &["key-1"]);
    }
    // Later than the time within which a configuration is in force (`configApplyMs`).
    sleep_ms(2500);
    let (status, answer) = site.call(1, "GET", &path, "key-1", "");
    site.record.say(format!("client: GET {path} to entry-1: {status} {answer}"));
    let (status, _) = site.call(1, "POST", &path, "key-1", &body);
    site.record
        .say(format!("client: POST {path} to entry-1, the same call again: {status}"));
    sleep_ms(9000);
    Some(say_repeated_runs(site, id))
}

/// TWICE: an instance is frozen while a job is handed in to it; meanwhile the queue moves to
/// another service, where the repeated call is accepted, and back.
fn queue_moves_back(site: &Site, trouble: bool) -> Option<bool> {
    let weld = site.run_probe("weld", "00000000000000aa")?;
    let paint = site.run_probe("paint", "00000000000000bb")?;
    let owners = [site.owner_of(weld)?, site.owner_of(paint)?];
    let frozen = (0..site.instances.len()).find(|it| !owners.contains(it))?;
    let other = (0..site.instances.len()).find(|it| *it != frozen)?;
    let id = "00000000000000c1";
    let path = format!("/weld/{id}");
    let body = job(6000, 2, 1000, "");
    let begin = Instant::now();
    let until = |ms: u64| thread::sleep((begin + Duration::from_millis(ms)).saturating_duration_since(Instant::now()));
    if trouble {
        site.signal(frozen, SIGSTOP);
    }
    let mut client = site.client(frozen);
    thread::scope(|scope| {
        scope.spawn(|| {
            until(50);
            let (status, _) = client_call(&mut client, "POST", &path, "key-1", &body);
            site.record.say(format!("client: POST {path} to entry-{frozen}: {status}"));
            if status != 200 {
                let (status, _) = site.call(other, "POST", &path, "key-1", &body);
                site.record
                    .say(format!("client: POST {path} to entry-{other}, the same call again: {status}"));
            }
        });
        until(500);
        site.configure(2, &[Route::new("weld", "paintcell"), Route::new("paint", "paintcell")], &["key-1"]);
        until(3500);
        site.configure(3, &[Route::new("weld", "weldcell"), Route::new("paint", "paintcell")], &["key-1"]);
        until(4000);
        if trouble {
            site.signal(frozen, SIGCONT);
        }
    });
    until(14_000);
    Some(say_repeated_runs(site, id))
}
