//! Further observations of the review that are no cases. Each returns whether its rule was broken,
//! `None` if it could not run.

use std::thread;
use std::time::{Duration, Instant};

use crate::cases::{Case, FINISH, RUNNERS, count_idle_jobs, runs_of, say_repeated_runs, sleep_ms};
use crate::json;
use crate::site::{Route, SIGKILL, SIGTERM, Site, job};

/// Time after a disruption from which the instances are in touch again (`contactMs`).
const CONTACT: Duration = Duration::from_millis(3000);
/// `cancel_ms`, `visible_ms` and `configApplyMs`.
const CANCEL: Duration = Duration::from_millis(3000);
const VISIBLE: Duration = Duration::from_millis(3000);
const CONFIG_APPLY: Duration = Duration::from_millis(2000);

/// Returns an observation by its name.
pub fn find(name: &str) -> Option<Case> {
    if name == "late-approval" {
        return Some((vec![("weldcell", 64); ADVISED_POOL], late_approval));
    }
    let observation: fn(&Site, bool) -> Option<bool> = match name {
        "moves-forgotten" => moves_forgotten,
        "late-start" => late_start,
        "last-instance" => last_instance,
        "unread-cancel" => unread_cancel,
        "unread-submission" => unread_submission,
        "unread-configuration" => unread_configuration,
        "failing-removed" => failing_removed,
        "pending-moved" => pending_moved,
        "gang-failed" => gang_failed,
        "gang-done" => gang_done,
        "gang-spread" => gang_spread,
        "long-task" => long_task,
        _ => return None,
    };
    Some((RUNNERS.to_vec(), observation))
}

/// Runners of `late_approval`.
const ADVISED_POOL: usize = 40;

/// LOST: the policy of a queue approves a few runners of a pool of forty, and its job never runs.
fn late_approval(site: &Site, trouble: bool) -> Option<bool> {
    site.run_probe("weld", "00000000000000aa")?;
    let approved = if trouble { 34..40 } else { 0..6 };
    let _service = site.serve_advice(approved.collect()).ok()?;
    let advised = Route {
        is_advised: true,
        ..Route::new("weld", "weldcell")
    };
    site.configure(2, &[advised], &["key-1"]);
    sleep_ms(2500);
    let id = "00000000000000c1".to_owned();
    let (status, _) = site.call(0, "POST", &format!("/weld/{id}"), "key-1", &job(500, 4, 1000, ""));
    site.record.say(format!("client: POST /weld/{id} to entry-0: {status}"));
    if status != 200 {
        return None;
    }
    thread::sleep(FINISH);
    Some(count_idle_jobs(site, "weld", &[id]) != 0)
}

/// TWICE: a queue moves to another service, the store forgets its history, an instance is stopped
/// and started, and a call that was accepted before arrives there again.
fn moves_forgotten(site: &Site, trouble: bool) -> Option<bool> {
    site.run_probe("weld", "00000000000000aa")?;
    site.run_probe("paint", "00000000000000bb")?;
    let id = "00000000000000c1";
    let path = format!("/weld/{id}");
    let body = job(8000, 2, 1000, "");
    let (status, _) = site.call(0, "POST", &path, "key-1", &body);
    site.record.say(format!("client: POST {path} to entry-0: {status}"));
    sleep_ms(300);
    site.configure(2, &[Route::new("weld", "paintcell"), Route::new("paint", "paintcell")], &["key-1"]);
    sleep_ms(500);
    if trouble {
        site.store.forget_history("keyed.op");
    }
    site.signal(1, SIGTERM);
    let deadline = Instant::now() + Duration::from_secs(6);
    while Instant::now() < deadline && !site.has_ended(1) {
        sleep_ms(50);
    }
    site.signal(1, SIGKILL);
    site.start_instance(1).ok()?;
    let deadline = Instant::now() + Duration::from_secs(5);
    while Instant::now() < deadline && !site.is_ready(1) {
        sleep_ms(50);
    }
    let (status, _) = site.call(1, "POST", &path, "key-1", &body);
    site.record
        .say(format!("client: POST {path} to entry-1, the same call again: {status}"));
    sleep_ms(10_000);
    Some(say_repeated_runs(site, id))
}

/// TWICE: a start order is not answered, its runner crashes and comes back, and the order is
/// carried out then.
fn late_start(site: &Site, trouble: bool) -> Option<bool> {
    site.run_probe("weld", "00000000000000aa")?;
    // After a runner's start its owner expects the longest lease for a while.
    sleep_ms(22_000);
    let id = "00000000000000c1";
    if trouble {
        site.runners.iter().for_each(|it| it.keep_next_start());
    }
    let (status, _) = site.call(0, "POST", &format!("/weld/{id}"), "key-1", &job(8000, 1, 1000, ""));
    site.record.say(format!("client: POST /weld/{id}: {status}"));
    if trouble {
        let deadline = Instant::now() + Duration::from_secs(3);
        let (runner, order) = loop {
            if let Some(kept) = site.runners.iter().find_map(|it| Some((it, it.kept_start()?))) {
                break kept;
            }
            if deadline < Instant::now() {
                return None;
            }
            sleep_ms(5);
        };
        site.runners.iter().for_each(|it| it.answer_starts());
        sleep_ms(100);
        site.record.say(format!("trouble: {} crashes", runner.id));
        runner.crash();
        sleep_ms(6000);
        site.record.say(format!("trouble: {} starts again", runner.id));
        runner.begin_life(Some(order)).ok()?;
    }
    sleep_ms(9000);
    Some(say_repeated_runs(site, id))
}

/// Has one connection of an instance to the store fall silent, on which it reads a partition.
/// Returns when.
fn silence(site: &Site, instance: usize, topic: &str, part: u64, trouble: bool) -> Option<Duration> {
    if !trouble {
        return Some(site.record.now());
    }
    site.store.silence_next_read(instance, topic, part);
    let deadline = Instant::now() + Duration::from_secs(4);
    while Instant::now() < deadline {
        if let Some(at) = site.store.silenced_at() {
            return Some(site.record.now().saturating_sub(at.elapsed()));
        }
        sleep_ms(2);
    }
    None
}

/// UNASKED: a job is cancelled while the connection on which its owner reads requests is silent.
fn unread_cancel(site: &Site, trouble: bool) -> Option<bool> {
    let part = site.run_probe("weld", "00000000000000aa")?;
    let owner = site.owner_of(part)?;
    let other = (0..site.instances.len()).find(|it| *it != owner)?;
    let id = "00000000000000c1";
    let path = format!("/weld/{id}");
    // On 128 cores four tasks run at a time, sixteen a second.
    let (status, _) = site.call(other, "POST", &path, "key-1", &job(250, 200, 32_000, ""));
    site.record.say(format!("client: POST {path} to entry-{other}: {status}"));
    sleep_ms(1000);
    let silent_at = silence(site, owner, "keyed.requests", part, trouble)?;
    sleep_ms(50);
    let (status, _) = site.call(other, "DELETE", &path, "key-1", "");
    let cancelled_at = site.record.now();
    site.record.say(format!("client: DELETE {path} to entry-{other}: {status}"));
    if status != 200 {
        return None;
    }
    sleep_ms(5000);
    let starts: Vec<Duration> = runs_of(site, id).iter().map(|it| it.started).collect();
    let after = starts.iter().filter(|it| cancelled_at < **it).count();
    let is_late = |it: &&Duration| cancelled_at + CANCEL < **it && silent_at + CONTACT < **it;
    let late = starts.iter().filter(is_late).count();
    let latest = starts.iter().max()?.saturating_sub(cancelled_at);
    site.record.say(format!(
        "{after} tasks were started after the cancel was acknowledged, the last one {} ms after; {late} of them later than cancel_ms and contactMs",
        latest.as_millis()
    ));
    Some(late != 0)
}

/// LOST: a job is accepted while the connection on which its owner reads requests is silent.
fn unread_submission(site: &Site, trouble: bool) -> Option<bool> {
    let part = site.run_probe("weld", "00000000000000aa")?;
    let owner = site.owner_of(part)?;
    let other = (0..site.instances.len()).find(|it| *it != owner)?;
    let path = "/weld/00000000000000c1";
    let silent_at = silence(site, owner, "keyed.requests", part, trouble)?;
    sleep_ms(50);
    let (status, _) = site.call(other, "POST", path, "key-1", &job(500, 1, 1000, ""));
    let accepted_at = site.record.now();
    site.record.say(format!("client: POST {path} to entry-{other}: {status}"));
    let mut unknown = 0;
    while site.record.now() < accepted_at + Duration::from_secs(6) {
        let (status, body) = site.call(other, "GET", path, "key-1", "");
        let now = site.record.now();
        site.record.note(format!("client: GET {path} to entry-{other}: {status} {body}"));
        if status == 410 && accepted_at + VISIBLE < now && silent_at + CONTACT < now {
            unknown += 1;
            let age = (now - accepted_at).as_millis();
            site.record
                .say(format!("LOST: 410 for an accepted job, {age} ms after its acknowledgement"));
        }
        sleep_ms(100);
    }
    Some(unknown != 0)
}

/// CONFIG: a key is taken away while the connection on which an instance reads the configuration
/// is silent.
fn unread_configuration(site: &Site, trouble: bool) -> Option<bool> {
    site.run_probe("weld", "00000000000000aa")?;
    let routes = [Route::new("weld", "weldcell"), Route::new("paint", "paintcell")];
    // A change of the configuration, after which the next read begins.
    site.configure(2, &routes, &["key-1", "key-2"]);
    let silent_at = silence(site, 0, "keyed.op", 0, trouble)?;
    sleep_ms(50);
    site.configure(3, &routes, &["key-1"]);
    let changed_at = site.record.now();
    let mut served = 0;
    for number in 0..60 {
        let path = format!("/weld/{:016x}", 0xd0 + number);
        let sent_at = site.record.now();
        let (status, _) = site.call(0, "POST", &path, "key-2", &job(100, 1, 1000, ""));
        site.record.note(format!("client: POST {path} to entry-0 with key-2: {status}"));
        if status == 200 && changed_at + CONFIG_APPLY < sent_at && silent_at + CONTACT < sent_at {
            served += 1;
            let age = (sent_at - changed_at).as_millis();
            site.record
                .say(format!("CONFIG: a job is accepted with a dropped key, {age} ms after the change"));
        }
        sleep_ms(100);
    }
    Some(served != 0)
}

/// BUDGET: the route of a job that can never be done is removed.
fn failing_removed(site: &Site, trouble: bool) -> Option<bool> {
    site.run_probe("weld", "00000000000000aa")?;
    let id = "00000000000000c1";
    let (status, _) = site.call(0, "POST", &format!("/weld/{id}"), "key-1", &job(800, 1, 1000, "fail;"));
    site.record.say(format!("client: POST /weld/{id} to entry-0: {status}"));
    sleep_ms(300);
    if trouble {
        site.configure(2, &[Route::new("paint", "paintcell")], &["key-1"]);
    }
    sleep_ms(10_000);
    let count = runs_of(site, id).len();
    site.record.say(format!("the task was started {count} times; maxAttempts is 3"));
    Some(3 < count)
}

/// MIXED: jobs wait at a full service, and their queue moves to another one.
fn pending_moved(site: &Site, trouble: bool) -> Option<bool> {
    site.run_probe("weld", "00000000000000aa")?;
    // Two tasks of 60 cores fill the two runners.
    for number in 0..22 {
        let path = format!("/weld/{:016x}", 0xc000 + number);
        let (status, _) = site.call(0, "POST", &path, "key-1", &job(30_000, 1, 60_000, ""));
        site.record.note(format!("client: POST {path} to entry-0: {status}"));
    }
    sleep_ms(1000);
    if trouble {
        site.configure(2, &[Route::new("weld", "paintcell"), Route::new("paint", "paintcell")], &["key-1"]);
    }
    sleep_ms(6000);
    let begun = site.runs().iter().filter(|it| it.task.starts_with("000000000000c0")).count() as u64;
    let (status, body) = site.call(1, "GET", "/weld/", "key-1", "");
    site.record.say(format!(
        "client: GET /weld/ to entry-1: {status} {body}; {begun} of 22 accepted jobs have begun"
    ));
    let pending = json::parse(body.as_bytes()).get("pending").number();
    Some(status == 200 && pending * 2 < 22 - begun)
}

/// LOST: both members of a gang fail in their first run, on one runner.
fn gang_failed(site: &Site, trouble: bool) -> Option<bool> {
    site.run_probe("weld", "00000000000000aa")?;
    let weld = Route {
        max_attempts: 2,
        ..Route::new("weld", "weldcell")
    };
    site.configure(2, &[weld], &["key-1"]);
    sleep_ms(2500);
    let path = "/weld/00000000000000c1";
    let fail = if trouble { "fail-first;" } else { "" };
    let step = "{\"count\":2,\"cpu\":1000,\"memMb\":64,\"estimateMs\":300,\"gang\":true}";
    let (status, _) = site.call(
        0,
        "POST",
        path,
        "key-1",
        &format!("{{\"spec\":\"ms=300;{fail}\",\"phases\":[{step}]}}"),
    );
    site.record.say(format!("client: POST {path} to entry-0: {status}"));
    sleep_ms(5000);
    let (status, answer) = site.call(0, "GET", path, "key-1", "");
    let runs = runs_of(site, "00000000000000c1").len();
    site.record.say(format!(
        "client: GET {path}: {status} {answer}; {runs} runs of two tasks, maxAttempts is 2"
    ));
    Some(answer.contains("failed"))
}

/// LOST: the tasks of a lasting gang end done.
fn gang_done(site: &Site, trouble: bool) -> Option<bool> {
    site.run_probe("weld", "00000000000000aa")?;
    let path = "/weld/00000000000000c1";
    let step = format!("{{\"count\":2,\"cpu\":1000,\"memMb\":64,\"estimateMs\":2000,\"gang\":{trouble},\"longRunning\":true}}");
    let (status, _) = site.call(0, "POST", path, "key-1", &format!("{{\"spec\":\"ms=2000;\",\"phases\":[{step}]}}"));
    site.record.say(format!("client: POST {path} to entry-0: {status}"));
    sleep_ms(12_000);
    let (status, answer) = site.call(0, "GET", path, "key-1", "");
    let runs = runs_of(site, "00000000000000c1").len();
    site.record
        .say(format!("client: GET {path}: {status} {answer}; {runs} runs of two lasting tasks"));
    Some(answer.contains("completed"))
}

/// ROUTE: the members of a gang of which one may run on a runner. Without trouble it is no gang.
fn gang_spread(site: &Site, trouble: bool) -> Option<bool> {
    site.run_probe("weld", "00000000000000aa")?;
    let path = "/weld/00000000000000c1";
    let step = format!("{{\"count\":2,\"cpu\":1000,\"memMb\":64,\"estimateMs\":2000,\"gang\":{trouble},\"antiAffinity\":1}}");
    let (status, _) = site.call(0, "POST", path, "key-1", &format!("{{\"spec\":\"ms=2000;\",\"phases\":[{step}]}}"));
    site.record.say(format!("client: POST {path} to entry-0: {status}"));
    sleep_ms(3000);
    let runners: Vec<String> = runs_of(site, "00000000000000c1").into_iter().map(|it| it.runner).collect();
    site.record.say(format!("the tasks run on {runners:?}; antiAffinity is 1"));
    Some(runners.len() == 2 && runners[0] == runners[1])
}

/// No rule's letter: a task of ten minutes makes no progress that its percentage shows within 2.5 s.
/// Without trouble it takes one minute.
fn long_task(site: &Site, trouble: bool) -> Option<bool> {
    site.run_probe("weld", "00000000000000aa")?;
    let id = "00000000000000c1";
    let work_ms = if trouble { 600_000 } else { 60_000 };
    let (status, _) = site.call(0, "POST", &format!("/weld/{id}"), "key-1", &job(work_ms, 1, 1000, ""));
    site.record.say(format!("client: POST /weld/{id} to entry-0: {status}"));
    sleep_ms(30_000);
    let runs = runs_of(site, id).len();
    site.record.say(format!("the task was started {runs} times in 30 s"));
    Some(1 < runs)
}

/// CONFIG: two of three instances are lost; keys are taken away, one after the other.
fn last_instance(site: &Site, trouble: bool) -> Option<bool> {
    site.run_probe("weld", "00000000000000aa")?;
    let routes = [Route::new("weld", "weldcell"), Route::new("paint", "paintcell")];
    let all = ["key-1", "key-2", "key-3", "key-4", "key-5", "key-6", "key-7"];
    site.configure(2, &routes, &all);
    if trouble {
        site.signal(1, SIGKILL);
        site.signal(2, SIGKILL);
    }
    sleep_ms(9000);
    let mut late = 0;
    for dropped in 1..all.len() {
        let key = all[all.len() - dropped];
        site.configure(2 + dropped as u64, &routes, &all[..all.len() - dropped]);
        let changed_at = site.record.now();
        let mut latest = Duration::ZERO;
        while site.record.now() < changed_at + Duration::from_millis(5300) {
            let number = site.record.now().as_millis();
            let path = format!("/weld/{number:016x}");
            let sent_at = site.record.now();
            let (status, _) = site.call(0, "POST", &path, key, &job(100, 1, 1000, ""));
            site.record.note(format!("client: POST {path} to entry-0 with {key}: {status}"));
            if status == 200 {
                latest = sent_at - changed_at;
            }
            sleep_ms(50);
        }
        late += usize::from(CONFIG_APPLY < latest);
        site.record.say(format!(
            "{key} was accepted until {} ms after the change was acknowledged",
            latest.as_millis()
        ));
    }
    Some(late != 0)
}
