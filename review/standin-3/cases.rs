//! The cases.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::site::{SERVICES, Site};

/// `visible_ms` and `configApplyMs` of the small deployments, seconds.
const VISIBLE: f64 = 3.0;
const CONFIG_APPLY: f64 = 2.0;
/// Jobs that have ended when the machines are lost.
const JOBS_BEFORE: usize = 1800;
/// Number of times that the machines are killed.
const ROUNDS: usize = 8;
/// `contactMs` of the small deployments, seconds.
const CONTACT: f64 = 3.0;
/// `cancel_ms` of the small deployments, seconds.
const CANCEL: f64 = 3.0;
/// Failed runs after which a job fails by its queue.
const MAX_ATTEMPTS: usize = 2;

fn sleep_until(site: &Site, at: f64) {
    let left = at - site.record.now();
    if 0.0 < left {
        std::thread::sleep(Duration::from_secs_f64(left));
    }
}

fn id(number: usize) -> String {
    format!("{:016x}", 0xa5a5_0000_0000_0000_u64 + number as u64)
}

fn start_all(site: &mut Site) -> Option<()> {
    (0..3).for_each(|it| site.start(it));
    let is_ready = site.wait_ready(&[0, 1, 2], 3);
    // Traffic starts 10 s after the machines do.
    sleep_until(site, 10.0);
    is_ready.then_some(())
}

/// Number of the machine that owns the partition of a service, which holds the request of a job.
fn owner_of(site: &Site, job: &str) -> Option<(usize, u32)> {
    let part = site.store.partition_with("keyed.requests", job)?;
    let member = site.store.holder("owners", part)?;
    let machine = site.machines.iter().position(|it| member.starts_with(&it.peers.to_string()))?;
    Some((machine, part))
}

/// LOST: connections of one machine to the store go silent; a job that another machine accepts
/// then is unknown there later than `visible_ms` after its acknowledgement.
pub fn silent_requests(mut site: Site, has_trouble: bool) -> Option<bool> {
    start_all(&mut site)?;
    let mut is_broken = false;
    for round in 0..4 {
        let service = SERVICES[round];
        let first = id(100 * round);
        site.submit(0, service, &first, 300)?;
        let (owner, part) = owner_of(&site, &first)?;
        // Calls of clients go to a machine that has no disruption at all.
        let other = (owner + 1) % 3;
        for number in 1..12 {
            site.submit(other, service, &id(100 * round + number), 300)?;
            std::thread::sleep(Duration::from_millis(100));
        }
        site.record.line(&format!(
            "the owner of {service} (partition {part}) is {}, clients call {}",
            site.machines[owner].name, site.machines[other].name
        ));
        if has_trouble {
            silence_half(&site, owner, part);
        }
        let mut accepted = Vec::new();
        for number in 20..26 {
            let job = id(100 * round + number);
            accepted.push((site.submit(other, service, &job, 300)?, job));
            std::thread::sleep(Duration::from_millis(40));
        }
        for (at, job) in &accepted {
            sleep_until(&site, at + VISIBLE + 0.02);
            let sent = site.record.now();
            let answer = site.client(other, "GET", &format!("/{service}/{job}"), "");
            site.record.line(&format!(
                "client: GET /{service}/{job}, {:.3} s after its acknowledgement: {answer:?}",
                sent - at
            ));
            is_broken |= answer.is_some_and(|(status, _)| status == 410) && VISIBLE < sent - at;
        }
        std::thread::sleep(Duration::from_secs(6));
        for (_, job) in &accepted {
            let answer = site.client(other, "GET", &format!("/{service}/{job}"), "");
            site.record
                .line(&format!("client: GET /{service}/{job} at the end of the round: {answer:?}"));
        }
    }
    site.all_run().then_some(is_broken)
}

/// CONFIG: connections of one machine to the store go silent; in touch again, it handles a request
/// by an older version later than `configApplyMs` after the acknowledgement of the newest one.
pub fn silent_configuration(mut site: Site, has_trouble: bool) -> Option<bool> {
    start_all(&mut site)?;
    let mut is_broken = false;
    for round in 0..5 {
        let machine = round % 3;
        site.add_route(&format!("early{round}"));
        std::thread::sleep(Duration::from_millis(150));
        let since = site.record.now();
        if has_trouble {
            let open = site.machines[machine].path.open();
            let silenced = site.machines[machine].path.silence(open / 2, "topic=keyed.op&part=0&");
            site.record.line(&format!(
                "{} of {open} connections of {} to the store go silent: {silenced:?}",
                silenced.len(),
                site.machines[machine].name
            ));
        }
        std::thread::sleep(Duration::from_millis(300));
        let route = format!("late{round}");
        site.add_route(&route);
        let acknowledged = site.record.now();
        sleep_until(&site, (since + CONTACT).max(acknowledged + CONFIG_APPLY) + 0.02);
        for _ in 0..20 {
            let sent = site.record.now();
            let answer = site.client(machine, "GET", &format!("/{route}/"), "");
            site.record.line(&format!(
                "client: GET /{route}/ at {}, {:.3} s after the acknowledgement of the route and {:.3} s after the disruption: {answer:?}",
                site.machines[machine].name,
                sent - acknowledged,
                sent - since
            ));
            is_broken |= answer.is_some_and(|(status, _)| status == 404);
            std::thread::sleep(Duration::from_millis(60));
        }
        std::thread::sleep(Duration::from_secs(5));
    }
    site.all_run().then_some(is_broken)
}

/// LOST: all machines are killed at the same moment, and one comes back; a job that it accepts is
/// unknown there later than `visible_ms` after its acknowledgement.
pub fn one_machine_left(mut site: Site, has_trouble: bool) -> Option<bool> {
    start_all(&mut site)?;
    // The work of the last seconds: one service is in its turn, and is asked much more than the others.
    let busy = SERVICES[2];
    let site_now = &site;
    std::thread::scope(|scope| {
        for client in 0..6 {
            scope.spawn(move || {
                for number in 0..JOBS_BEFORE / 6 {
                    site_now.submit(client % 3, busy, &id(10_000 + client * 1000 + number), 100);
                    std::thread::sleep(Duration::from_millis(20));
                }
            });
        }
    });
    std::thread::sleep(Duration::from_secs(2));
    let members = if has_trouble { 1 } else { 3 };
    let mut is_broken = false;
    let mut number = 1000;
    for _ in 0..ROUNDS {
        if has_trouble {
            // In the first round all of them, later the one that has come back.
            (0..3).for_each(|it| site.kill(it));
            std::thread::sleep(Duration::from_millis(500));
            site.start(0);
        }
        let started = site.record.now();
        if !site.wait_ready(&[0], members) {
            return None;
        }
        let mut jobs = Vec::new();
        for _ in 0..5 {
            number += 1;
            if let Some(at) = site.submit(0, busy, &id(number), 300) {
                jobs.push((at, id(number)));
            }
            std::thread::sleep(Duration::from_millis(40));
        }
        for (at, job) in jobs {
            // The machine is in touch again, and the job has to be known.
            sleep_until(&site, (at + VISIBLE).max(started + CONTACT) + 0.05);
            let sent = site.record.now();
            let answer = site.client(0, "GET", &format!("/{busy}/{job}"), "");
            site.record.line(&format!(
                "client: GET /{busy}/{job}, {:.3} s after its acknowledgement and {:.3} s after the start: {answer:?}",
                sent - at,
                sent - started
            ));
            is_broken |= answer.is_some_and(|(status, _)| status == 410);
        }
        std::thread::sleep(Duration::from_millis(700));
    }
    site.all_run().then_some(is_broken)
}

/// LOST: one runner fails all that it starts; a gang of which one run has failed is shown as failed,
/// though its queue allows two.
pub fn gang_failed(mut site: Site, has_trouble: bool) -> Option<bool> {
    start_all(&mut site)?;
    let mut is_broken = false;
    for (round, service) in SERVICES.into_iter().enumerate() {
        // One runner of nine has work, and takes more.
        let first = id(100 * round);
        site.submit(0, service, &first, 60_000)?;
        std::thread::sleep(Duration::from_secs(1));
        let runner = site.runners.iter().find(|it| it.runs(&first))?.clone();
        if has_trouble {
            runner.set_grey(true);
        }
        let job = id(100 * round + 1);
        site.submit_steps(0, service, &job, 800, &["\"count\":2,\"gang\":true"])?;
        std::thread::sleep(Duration::from_secs(4));
        let answer = site.client(1, "GET", &format!("/{service}/{job}"), "");
        let runs = site.record.runs(&job);
        let failed: BTreeSet<u64> = runs.iter().filter(|it| it.how == Some("failed")).map(|it| it.attempt).collect();
        site.record.line(&format!(
            "client: GET /{service}/{job}: {answer:?}; failed runs of the gang: {failed:?}"
        ));
        is_broken |= answer.is_some_and(|(_, body)| body.contains("failed")) && failed.len() < MAX_ATTEMPTS;
        if has_trouble {
            runner.set_grey(false);
        }
        std::thread::sleep(Duration::from_secs(1));
    }
    site.all_run().then_some(is_broken)
}

/// UNASKED: connections of one machine to the store go silent; in touch again, it starts tasks of
/// jobs later than `cancel_ms` after their cancelling was acknowledged.
pub fn silent_cancel(mut site: Site, has_trouble: bool) -> Option<bool> {
    start_all(&mut site)?;
    let mut is_broken = false;
    for (round, service) in SERVICES.into_iter().enumerate() {
        let first = id(100 * round);
        site.submit(0, service, &first, 300)?;
        let (owner, part) = owner_of(&site, &first)?;
        let other = (owner + 1) % 3;
        let jobs: Vec<String> = (1..6).map(|number| id(100 * round + number)).collect();
        for (number, job) in jobs.iter().enumerate() {
            // The first step ends some 3.2 s after the disruption.
            let takes_ms = 4150 + 40 * number as u64;
            site.submit_steps(other, service, job, takes_ms, &["\"count\":1", "\"count\":1,\"after\":[0]"])?;
        }
        for number in 10..19 {
            std::thread::sleep(Duration::from_millis(100));
            site.submit(other, service, &id(100 * round + number), 300)?;
        }
        let since = site.record.now();
        if has_trouble {
            silence_half(&site, owner, part);
        }
        let mut cancelled = Vec::new();
        for job in &jobs {
            let answer = site.client(other, "DELETE", &format!("/{service}/{job}"), "");
            let at = site.record.now();
            site.record.line(&format!("client: DELETE /{service}/{job}: {answer:?}"));
            if answer.is_none_or(|(status, _)| status != 200) {
                return None;
            }
            cancelled.push((at, job));
        }
        std::thread::sleep(Duration::from_secs(7));
        for (at, job) in cancelled {
            for run in site.record.runs(job) {
                if (at + CANCEL).max(since + CONTACT) < run.began {
                    is_broken = true;
                    site.record.line(&format!(
                        "{} began {:.3} s after the acknowledgement of the cancel",
                        run.task,
                        run.began - at
                    ));
                }
            }
        }
    }
    site.all_run().then_some(is_broken)
}

/// Makes half of the open connections of one machine of three to the store go silent, as many as
/// `reset_conns` resets, among them that of the read of a partition's requests.
fn silence_half(site: &Site, machine: usize, part: u32) {
    let machine = &site.machines[machine];
    let open = machine.path.open();
    let silenced = machine.path.silence(open / 2, &format!("topic=keyed.requests&part={part}&"));
    site.record.line(&format!(
        "{} of {open} connections of {} to the store go silent: {silenced:?}",
        silenced.len(),
        machine.name
    ));
}
