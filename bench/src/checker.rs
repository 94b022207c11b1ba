//! One checker per promise of the brief; they read the history only.

use std::collections::{BTreeMap, BTreeSet};

use oriolewall::id::JobId;

use crate::history::{EventKind, HistoryEvent};

/// Longest time between a zone-out's acceptance and the last start there, milliseconds.
pub const MAX_ZONE_OUT_DELAY_MS: u64 = 3_000;
/// Longest time between a key's withdrawal and the last start for it, milliseconds.
pub const MAX_KEY_WITHDRAWAL_DELAY_MS: u64 = 5_000;
/// Longest time between a departure and the last start there, milliseconds.
pub const MAX_DEPARTURE_DELAY_MS: u64 = 5_000;
/// Longest time between a change's acceptance and its being in force, milliseconds.
pub const MAX_CONFIG_DELAY_MS: u64 = 7_000;
/// Longest time after a cap's lowering in which its old value may show, milliseconds.
pub const MAX_CAP_DELAY_MS: u64 = 3_000;

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The promise.
    pub guarantee: Guarantee,
    /// When it was broken.
    pub at_ms: u64,
    /// What happened.
    pub details: String,
}

/// The promises of the brief.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Guarantee {
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
pub fn find_violations(entries: &[HistoryEvent]) -> Vec<Violation> {
    let checkers = [
        check_budget,
        check_one_pool,
        check_key,
        check_cap,
        check_zone_out,
        check_whole_answer,
        check_not_run,
        check_once,
        check_departing,
        check_planned_stop,
        check_config,
    ];
    checkers.iter().flat_map(|it| it(entries)).collect()
}

fn violation(guarantee: Guarantee, entry: &HistoryEvent, details: String) -> Violation {
    Violation {
        guarantee,
        at_ms: entry.at_ms,
        details,
    }
}

/// A permit is granted only within the budget. Failures need no permit and
/// may exceed it; then no permit may be granted.
pub fn check_budget(entries: &[HistoryEvent]) -> Vec<Violation> {
    let mut violations = Vec::new();
    for entry in entries {
        let EventKind::Budget {
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
            let details = format!("pool {pool}: {disrupted} disrupted with budget {budget} after a grant");
            violations.push(violation(Guarantee::Budget, entry, details));
        }
    }
    violations
}

/// Every record of an instance shows exactly one pool.
pub fn check_one_pool(entries: &[HistoryEvent]) -> Vec<Violation> {
    let mut violations = Vec::new();
    for entry in entries {
        if let EventKind::Pools { worker, pools } = &entry.kind
            && pools.len() != 1
        {
            let details = format!("instance {worker} is in pools {pools:?}");
            violations.push(violation(Guarantee::OnePool, entry, details));
        }
    }
    violations
}

/// Starts are for the key's team, and end soon after the key's withdrawal.
pub fn check_key(entries: &[HistoryEvent]) -> Vec<Violation> {
    let mut invoked: BTreeMap<JobId, Vec<(&str, &str)>> = BTreeMap::new();
    let mut withdrawn: BTreeMap<&str, u64> = BTreeMap::new();
    let mut violations = Vec::new();
    for entry in entries {
        match (&entry.kind, entry.job) {
            (EventKind::Invoke { team, key, .. }, Some(job)) => invoked.entry(job).or_default().push((team, key)),
            (EventKind::Withdraw { key }, _) => {
                withdrawn.entry(key).or_insert(entry.at_ms);
            }
            (EventKind::Start { team, .. }, Some(job)) => {
                let callers = invoked.get(&job).map_or(&[][..], |it| it.as_slice());
                if !callers.iter().any(|(it, _)| it == team) {
                    violations.push(violation(
                        Guarantee::Key,
                        entry,
                        format!("job {job} started for {team}, which did not bring it"),
                    ));
                }
                let dead = |key: &str| withdrawn.get(key).is_some_and(|at| at + MAX_KEY_WITHDRAWAL_DELAY_MS < entry.at_ms);
                if !callers.is_empty() && callers.iter().all(|(_, key)| dead(key)) {
                    violations.push(violation(
                        Guarantee::Key,
                        entry,
                        format!("job {job} started after its key was withdrawn"),
                    ));
                }
            }
            _ => {}
        }
    }
    violations
}

/// Running tasks of a team never exceed its cap. After a cap was lowered, what
/// runs may go on, but nothing more may start.
pub fn check_cap(entries: &[HistoryEvent]) -> Vec<Violation> {
    let mut caps: BTreeMap<&str, Vec<(u64, u64)>> = BTreeMap::new();
    let mut running: BTreeMap<&str, BTreeSet<(JobId, u32)>> = BTreeMap::new();
    let mut team_of: BTreeMap<(JobId, u32), &str> = BTreeMap::new();
    let mut violations = Vec::new();
    for entry in entries {
        match (&entry.kind, entry.job) {
            (EventKind::Cap { team, slots }, _) => caps.entry(team).or_default().push((entry.at_ms, *slots)),
            (EventKind::Start { team, .. }, Some(job)) => {
                let tasks = running.entry(team).or_default();
                tasks.insert((job, entry.attempt));
                team_of.insert((job, entry.attempt), team);
                let allowed = cap_at(caps.get(team.as_str()), entry.at_ms);
                if allowed < tasks.len() as u64 {
                    let details = format!("team {team}: {} running with cap {allowed}", tasks.len());
                    violations.push(violation(Guarantee::Cap, entry, details));
                }
            }
            (EventKind::End { .. }, Some(job)) => {
                let team = team_of.get(&(job, entry.attempt));
                if let Some(tasks) = team.and_then(|it| running.get_mut(it)) {
                    tasks.remove(&(job, entry.attempt));
                }
            }
            _ => {}
        }
    }
    violations
}

/// The largest cap that may be in force: a lowered one takes effect within seconds.
fn cap_at(caps: Option<&Vec<(u64, u64)>>, at_ms: u64) -> u64 {
    let Some(caps) = caps else {
        return 0;
    };
    let mut allowed = 0;
    for (index, (_, slots)) in caps.iter().enumerate() {
        let replaced = caps.get(index + 1).map(|(at, _)| *at);
        if replaced.is_none_or(|at| at_ms <= at + MAX_CAP_DELAY_MS) {
            allowed = allowed.max(*slots);
        }
    }
    allowed
}

/// No start in a zone later than a bound after its zone-out was accepted.
pub fn check_zone_out(entries: &[HistoryEvent]) -> Vec<Violation> {
    let mut out: BTreeMap<&str, u64> = BTreeMap::new();
    let mut violations = Vec::new();
    for entry in entries {
        match &entry.kind {
            EventKind::Zone { zone, open: false } => {
                out.entry(zone).or_insert(entry.at_ms);
            }
            EventKind::Zone { zone, open: true } => {
                out.remove(zone.as_str());
            }
            EventKind::Start { zone, .. } => {
                if let Some(at) = out.get(zone.as_str())
                    && at + MAX_ZONE_OUT_DELAY_MS < entry.at_ms
                {
                    let details = format!("start in zone {zone} {} ms after it was taken out", entry.at_ms - at);
                    violations.push(violation(Guarantee::ZoneOut, entry, details));
                }
            }
            _ => {}
        }
    }
    violations
}

/// Every answer is the one of its own job, whole.
pub fn check_whole_answer(entries: &[HistoryEvent]) -> Vec<Violation> {
    let mut violations = Vec::new();
    for entry in entries {
        let (EventKind::Answer { outcome, body }, Some(job)) = (&entry.kind, entry.job) else {
            continue;
        };
        let own = format!("answer of {job}");
        if outcome == "done" && *body != own {
            violations.push(violation(Guarantee::WholeAnswer, entry, format!("job {job} was answered {body:?}")));
        }
    }
    violations
}

/// A job answered "not run" was never started before, nor after by that request.
pub fn check_not_run(entries: &[HistoryEvent]) -> Vec<Violation> {
    let started: BTreeSet<JobId> = starts(entries).filter_map(|it| it.job).collect();
    let mut violations = Vec::new();
    for entry in entries {
        if let (EventKind::Answer { outcome, .. }, Some(job)) = (&entry.kind, entry.job)
            && outcome == "not_run"
            && started.contains(&job)
        {
            violations.push(violation(
                Guarantee::NotRun,
                entry,
                format!("job {job} was answered \"not run\" but was started"),
            ));
        }
    }
    violations
}

/// A job that may not be repeated is started at most once.
pub fn check_once(entries: &[HistoryEvent]) -> Vec<Violation> {
    let mut seen = BTreeSet::new();
    let mut violations = Vec::new();
    for entry in starts(entries) {
        let (EventKind::Start { once: true, worker, .. }, Some(job)) = (&entry.kind, entry.job) else {
            continue;
        };
        if !seen.insert(job) {
            violations.push(violation(
                Guarantee::Once,
                entry,
                format!("job {job} was started again on {worker}"),
            ));
        }
    }
    violations
}

/// No start on an upstream later than a bound after it began to depart.
pub fn check_departing(entries: &[HistoryEvent]) -> Vec<Violation> {
    let mut left: BTreeMap<&str, u64> = BTreeMap::new();
    let mut violations = Vec::new();
    for entry in entries {
        match &entry.kind {
            EventKind::Depart { worker } => {
                left.entry(worker).or_insert(entry.at_ms);
            }
            EventKind::Return { worker } => {
                left.remove(worker.as_str());
            }
            EventKind::Start { worker, .. } => {
                if let Some(at) = left.get(worker.as_str())
                    && at + MAX_DEPARTURE_DELAY_MS < entry.at_ms
                {
                    let details = format!("start on {worker} {} ms after it began to depart", entry.at_ms - at);
                    violations.push(violation(Guarantee::Departing, entry, details));
                }
            }
            _ => {}
        }
    }
    violations
}

/// No request is cut by a planned stop.
pub fn check_planned_stop(entries: &[HistoryEvent]) -> Vec<Violation> {
    let mut violations = Vec::new();
    for entry in entries {
        if let EventKind::Cut { planned: true } = entry.kind {
            violations.push(violation(
                Guarantee::PlannedStop,
                entry,
                format!("request for job {:?} was cut by a planned stop", entry.job),
            ));
        }
    }
    violations
}

/// What a process has in force never goes back, and reaches every accepted
/// change within a bound while the process is reachable throughout.
pub fn check_config(entries: &[HistoryEvent]) -> Vec<Violation> {
    let mut latest: BTreeMap<&str, u64> = BTreeMap::new();
    let mut reachable_since: BTreeMap<&str, u64> = BTreeMap::new();
    let mut accepted: Vec<(u64, u64)> = Vec::new();
    let mut violations = Vec::new();
    for entry in entries {
        match &entry.kind {
            EventKind::Accepted { offset } => accepted.push((entry.at_ms, *offset)),
            EventKind::Seen {
                process,
                offset,
                reachable,
            } => {
                let last = latest.insert(process, *offset).unwrap_or(0);
                if *offset < last {
                    violations.push(violation(
                        Guarantee::Config,
                        entry,
                        format!("{process} went back from {last} to {offset}"),
                    ));
                }
                if !reachable {
                    reachable_since.remove(process.as_str());
                    continue;
                }
                let since = *reachable_since.entry(process).or_insert(entry.at_ms);
                let due = accepted
                    .iter()
                    .rev()
                    .find(|(at, _)| (*at).max(since) + MAX_CONFIG_DELAY_MS < entry.at_ms);
                if let Some((at, due)) = due
                    && offset <= due
                {
                    let details = format!("{process} is at {offset}; {due} was accepted {} ms ago", entry.at_ms - at);
                    violations.push(violation(Guarantee::Config, entry, details));
                }
            }
            _ => {}
        }
    }
    violations
}

fn starts(entries: &[HistoryEvent]) -> impl Iterator<Item = &HistoryEvent> {
    entries.iter().filter(|it| matches!(it.kind, EventKind::Start { .. }))
}
