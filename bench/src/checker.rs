//! One checker per promise of the brief; they read the history only.

use std::collections::{BTreeMap, BTreeSet};

use oriolewall::id::JobId;

use crate::history::{Entry, Kind};

/// Longest time between a zone-out's acceptance and the last start there, milliseconds.
pub const ZONE_OUT_MS: u64 = 3_000;
/// Longest time between a key's withdrawal and the last start for it, milliseconds.
pub const WITHDRAW_MS: u64 = 5_000;
/// Longest time between a departure and the last start there, milliseconds.
pub const DEPART_MS: u64 = 5_000;
/// Longest time between a change's acceptance and its being in force, milliseconds.
pub const IN_FORCE_MS: u64 = 7_000;
/// Longest time after a cap's lowering in which its old value may show, milliseconds.
pub const CAP_MS: u64 = 3_000;

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// The promise.
    pub promise: Promise,
    /// When it was broken.
    pub at_ms: u64,
    /// What happened.
    pub what: String,
}

/// The promises of the brief.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Promise {
    /// Availability budgets hold for every pool.
    Budget,
    /// Every instance is in exactly one pool.
    OnePool,
    /// Work is taken for the key's team only, and a withdrawn key stops working.
    Key,
    /// No team has more running than its cap.
    Cap,
    /// No start in a zone that has been taken out.
    ZoneOut,
    /// A caller gets the whole answer to its own request.
    WholeAnswer,
    /// A refusal saying "not run" is true.
    NotRun,
    /// A request that may not be repeated runs at most once.
    Once,
    /// A departing upstream gets no new work.
    Departing,
    /// A planned stop cuts no request.
    PlannedStop,
    /// Accepted configuration is in force within seconds and never reverts.
    Config,
}

/// Runs all checkers.
pub fn check(entries: &[Entry]) -> Vec<Breach> {
    let checkers = [
        budget,
        one_pool,
        key,
        cap,
        zone_out,
        whole_answer,
        not_run,
        once,
        departing,
        planned_stop,
        config,
    ];
    checkers.iter().flat_map(|it| it(entries)).collect()
}

fn breach(promise: Promise, entry: &Entry, what: String) -> Breach {
    Breach {
        promise,
        at_ms: entry.at_ms,
        what,
    }
}

/// A permit is granted only within the budget. Failures need no permit and
/// may exceed it; then no permit may be granted.
pub fn budget(entries: &[Entry]) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for entry in entries {
        let Kind::Budget {
            pool,
            disrupted,
            budget,
            granted,
            ..
        } = &entry.kind
        else {
            continue;
        };
        if *granted && budget < disrupted {
            let what = format!("pool {pool}: {disrupted} disrupted with budget {budget} after a grant");
            breaches.push(breach(Promise::Budget, entry, what));
        }
    }
    breaches
}

/// Every record of an instance shows exactly one pool.
pub fn one_pool(entries: &[Entry]) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for entry in entries {
        if let Kind::Pools { worker, pools } = &entry.kind
            && pools.len() != 1
        {
            let what = format!("instance {worker} is in pools {pools:?}");
            breaches.push(breach(Promise::OnePool, entry, what));
        }
    }
    breaches
}

/// Starts are for the key's team, and end soon after the key's withdrawal.
pub fn key(entries: &[Entry]) -> Vec<Breach> {
    let mut invoked: BTreeMap<JobId, Vec<(&str, &str)>> = BTreeMap::new();
    let mut withdrawn: BTreeMap<&str, u64> = BTreeMap::new();
    let mut breaches = Vec::new();
    for entry in entries {
        match (&entry.kind, entry.job) {
            (Kind::Invoke { team, key, .. }, Some(job)) => invoked.entry(job).or_default().push((team, key)),
            (Kind::Withdraw { key }, _) => {
                withdrawn.entry(key).or_insert(entry.at_ms);
            }
            (Kind::Start { team, .. }, Some(job)) => {
                let callers = invoked.get(&job).map_or(&[][..], |it| it.as_slice());
                if !callers.iter().any(|(it, _)| it == team) {
                    breaches.push(breach(
                        Promise::Key,
                        entry,
                        format!("job {job} started for {team}, which did not bring it"),
                    ));
                }
                let dead = |key: &str| withdrawn.get(key).is_some_and(|at| at + WITHDRAW_MS < entry.at_ms);
                if !callers.is_empty() && callers.iter().all(|(_, key)| dead(key)) {
                    breaches.push(breach(
                        Promise::Key,
                        entry,
                        format!("job {job} started after its key was withdrawn"),
                    ));
                }
            }
            _ => {}
        }
    }
    breaches
}

/// Running tasks of a team never exceed its cap. After a cap was lowered, what
/// runs may go on, but nothing more may start.
pub fn cap(entries: &[Entry]) -> Vec<Breach> {
    let mut caps: BTreeMap<&str, Vec<(u64, u64)>> = BTreeMap::new();
    let mut running: BTreeMap<&str, BTreeSet<(JobId, u32)>> = BTreeMap::new();
    let mut team_of: BTreeMap<(JobId, u32), &str> = BTreeMap::new();
    let mut breaches = Vec::new();
    for entry in entries {
        match (&entry.kind, entry.job) {
            (Kind::Cap { team, slots }, _) => caps.entry(team).or_default().push((entry.at_ms, *slots)),
            (Kind::Start { team, .. }, Some(job)) => {
                let tasks = running.entry(team).or_default();
                tasks.insert((job, entry.attempt));
                team_of.insert((job, entry.attempt), team);
                let allowed = cap_at(caps.get(team.as_str()), entry.at_ms);
                if allowed < tasks.len() as u64 {
                    let what = format!("team {team}: {} running with cap {allowed}", tasks.len());
                    breaches.push(breach(Promise::Cap, entry, what));
                }
            }
            (Kind::End { .. }, Some(job)) => {
                let team = team_of.get(&(job, entry.attempt));
                if let Some(tasks) = team.and_then(|it| running.get_mut(it)) {
                    tasks.remove(&(job, entry.attempt));
                }
            }
            _ => {}
        }
    }
    breaches
}

/// The largest cap that may be in force: a lowered one takes effect within seconds.
fn cap_at(caps: Option<&Vec<(u64, u64)>>, at_ms: u64) -> u64 {
    let Some(caps) = caps else {
        return 0;
    };
    let mut allowed = 0;
    for (index, (_, slots)) in caps.iter().enumerate() {
        let replaced = caps.get(index + 1).map(|(at, _)| *at);
        if replaced.is_none_or(|at| at_ms <= at + CAP_MS) {
            allowed = allowed.max(*slots);
        }
    }
    allowed
}

/// No start in a zone later than a bound after its zone-out was accepted.
pub fn zone_out(entries: &[Entry]) -> Vec<Breach> {
    let mut out: BTreeMap<&str, u64> = BTreeMap::new();
    let mut breaches = Vec::new();
    for entry in entries {
        match &entry.kind {
            Kind::Zone { zone, open: false } => {
                out.entry(zone).or_insert(entry.at_ms);
            }
            Kind::Zone { zone, open: true } => {
                out.remove(zone.as_str());
            }
            Kind::Start { zone, .. } => {
                if let Some(at) = out.get(zone.as_str())
                    && at + ZONE_OUT_MS < entry.at_ms
                {
                    let what = format!("start in zone {zone} {} ms after it was taken out", entry.at_ms - at);
                    breaches.push(breach(Promise::ZoneOut, entry, what));
                }
            }
            _ => {}
        }
    }
    breaches
}

/// Every answer is the one of its own job, whole.
pub fn whole_answer(entries: &[Entry]) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for entry in entries {
        let (Kind::Answer { outcome, body }, Some(job)) = (&entry.kind, entry.job) else {
            continue;
        };
        let own = format!("answer of {job}");
        if outcome == "done" && *body != own {
            breaches.push(breach(Promise::WholeAnswer, entry, format!("job {job} was answered {body:?}")));
        }
    }
    breaches
}

/// A job answered "not run" was never started before, nor after by that request.
pub fn not_run(entries: &[Entry]) -> Vec<Breach> {
    let started: BTreeSet<JobId> = starts(entries).filter_map(|it| it.job).collect();
    let mut breaches = Vec::new();
    for entry in entries {
        if let (Kind::Answer { outcome, .. }, Some(job)) = (&entry.kind, entry.job)
            && outcome == "not_run"
            && started.contains(&job)
        {
            breaches.push(breach(
                Promise::NotRun,
                entry,
                format!("job {job} was answered \"not run\" but was started"),
            ));
        }
    }
    breaches
}

/// A job that may not be repeated is started at most once.
pub fn once(entries: &[Entry]) -> Vec<Breach> {
    let mut seen = BTreeSet::new();
    let mut breaches = Vec::new();
    for entry in starts(entries) {
        let (Kind::Start { once: true, worker, .. }, Some(job)) = (&entry.kind, entry.job) else {
            continue;
        };
        if !seen.insert(job) {
            breaches.push(breach(Promise::Once, entry, format!("job {job} was started again on {worker}")));
        }
    }
    breaches
}

/// No start on an upstream later than a bound after it began to depart.
pub fn departing(entries: &[Entry]) -> Vec<Breach> {
    let mut left: BTreeMap<&str, u64> = BTreeMap::new();
    let mut breaches = Vec::new();
    for entry in entries {
        match &entry.kind {
            Kind::Depart { worker } => {
                left.entry(worker).or_insert(entry.at_ms);
            }
            Kind::Return { worker } => {
                left.remove(worker.as_str());
            }
            Kind::Start { worker, .. } => {
                if let Some(at) = left.get(worker.as_str())
                    && at + DEPART_MS < entry.at_ms
                {
                    let what = format!("start on {worker} {} ms after it began to depart", entry.at_ms - at);
                    breaches.push(breach(Promise::Departing, entry, what));
                }
            }
            _ => {}
        }
    }
    breaches
}

/// No request is cut by a planned stop.
pub fn planned_stop(entries: &[Entry]) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for entry in entries {
        if let Kind::Cut { planned: true } = entry.kind {
            breaches.push(breach(
                Promise::PlannedStop,
                entry,
                format!("request for job {:?} was cut by a planned stop", entry.job),
            ));
        }
    }
    breaches
}

/// What a process has in force never goes back, and reaches every accepted
/// change within a bound while the process is reachable throughout.
pub fn config(entries: &[Entry]) -> Vec<Breach> {
    let mut latest: BTreeMap<&str, u64> = BTreeMap::new();
    let mut reachable_since: BTreeMap<&str, u64> = BTreeMap::new();
    let mut accepted: Vec<(u64, u64)> = Vec::new();
    let mut breaches = Vec::new();
    for entry in entries {
        match &entry.kind {
            Kind::Accepted { offset } => accepted.push((entry.at_ms, *offset)),
            Kind::Seen {
                process,
                offset,
                reachable,
            } => {
                let last = latest.insert(process, *offset).unwrap_or(0);
                if *offset < last {
                    breaches.push(breach(
                        Promise::Config,
                        entry,
                        format!("{process} went back from {last} to {offset}"),
                    ));
                }
                if !reachable {
                    reachable_since.remove(process.as_str());
                    continue;
                }
                let since = *reachable_since.entry(process).or_insert(entry.at_ms);
                let due = accepted.iter().rev().find(|(at, _)| (*at).max(since) + IN_FORCE_MS < entry.at_ms);
                if let Some((at, due)) = due
                    && offset <= due
                {
                    let what = format!("{process} is at {offset}; {due} was accepted {} ms ago", entry.at_ms - at);
                    breaches.push(breach(Promise::Config, entry, what));
                }
            }
            _ => {}
        }
    }
    breaches
}

fn starts(entries: &[Entry]) -> impl Iterator<Item = &Entry> {
    entries.iter().filter(|it| matches!(it.kind, Kind::Start { .. }))
}
