//! Membership in the group of owners, by which the log service assigns partitions.
//!
//! The log service divides the partitions among the members of the group. This
//! module keeps this instance a member, starts an owner for each partition
//! assigned to it, and follows which instances own the other partitions.
//! Instances with little CPU join only while there are too few owners.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use oriole_platform::log::{Error, GroupAssignment, PartitionHolder};
use oriolewall::owner_shortage::{Census, Condition};
use oriolewall::rpc::{Call, PartitionId, Reply};
use oriolewall::tenure::Tenure;
use serde_json::json;
use tokio::sync::mpsc;

use crate::node::{Configuration, Node, OwnedPartition};
use crate::owner::{self, Event};
use crate::settings::Settings;
use crate::{clock, peer, watch};

/// Name of the group of partition owners in the log service.
pub(crate) const GROUP: &str = "owners";
/// Time between two joins, each of which renews the membership.
const JOIN_INTERVAL: Duration = Duration::from_millis(400);
/// Time to live of a membership: five join intervals, so that four joins in a row may
/// be lost.
const MEMBER_TTL: Duration = Duration::from_millis(2000);
/// Time limits of a join, the first one and after joins without an answer. With the first
/// one, several joins fit into a membership's time to live; the last one bears a slow log.
const JOIN_TIMEOUT: (Duration, Duration) = (Duration::from_millis(450), Duration::from_millis(1000));
/// Time limit of other calls to the log.
const CALL_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time limit of a call to another instance by which an owner gives its partitions up.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum time between two reads of all partitions' owners.
const OWNERS_REFRESH_INTERVAL: Duration = Duration::from_secs(2);
/// The same while the log is unreachable, to find out soon when it answers again.
const UNREACHABLE_REFRESH_INTERVAL: Duration = Duration::from_millis(300);

/// Minimum CPU, in millicores, with which an instance owns partitions while there are
/// enough owners. The owner of a pool that starts 1,600 tasks per second uses 400.
const MIN_OWNER_MILLICORES: u64 = 200;
/// Suffix of the member names of instances with less CPU.
const SMALL_SUFFIX: &str = ".small";
/// Minimum time for which there have to be too few owners before a small instance
/// joins, and enough larger ones before it leaves. Members that died stay listed for 2 s.
const MIN_SHORTAGE_TIME: Duration = Duration::from_millis(1200);
/// Time over which the joins of small instances are spread at random, as otherwise
/// all of them would join at once.
const JOIN_SPREAD: Duration = Duration::from_millis(2000);

/// Keeps this instance in the group and runs an owner for each partition assigned to it.
pub(crate) async fn run(node: Arc<Node>) {
    remove_previous_memberships(&node).await;
    if is_small(&node.settings) {
        wait_for_owner_shortage(&node).await;
    }
    wait_for_configuration(&node).await;
    let mut larger_owners = Condition::new(MIN_SHORTAGE_TIME);
    let mut generation = 0;
    let mut timeout = JOIN_TIMEOUT.0;
    let mut attempts = 0;
    let ttl = MEMBER_TTL.max(node.settings.member_ttl);
    loop {
        let sent = clock::now();
        let joined = node.log.join(GROUP, &node.member, ttl, generation, timeout).await;
        match joined {
            Ok(assignment) => {
                watch::report_log_answer(&node, true);
                timeout = JOIN_TIMEOUT.0;
                let changed = assignment.generation != generation;
                generation = assignment.generation;
                if !apply_assignment(&node, &assignment, sent.mono) {
                    // This member can own the partition again only at a new generation, so
                    // it leaves the group and joins anew.
                    generation = 0;
                    match node.log.leave(GROUP, &node.member, CALL_TIMEOUT).await {
                        Ok(()) => continue,
                        Err(err) => watch::report_log_error(&node, "leave", &err),
                    }
                    tokio::time::sleep(JOIN_INTERVAL).await;
                    continue;
                }
                node.confirm_member(sent.mono);
                if is_small(&node.settings) && larger_owners.calls_for_return(clock::now().mono, **node.owner_census.load()) {
                    node.decision_log
                        .write("ownership", json!({ "parts": assignment.parts, "outcome": "giving back" }));
                    leave(&node).await;
                    wait_for_owner_shortage(&node).await;
                    larger_owners.reset();
                    generation = 0;
                    continue;
                }
                if changed || larger_owners.is_counting() {
                    node.refresh_owners.notify_one();
                }
                if changed {
                    // A join at the new generation confirms that this member has released
                    // the partitions that it no longer holds.
                    continue;
                }
            }
            Err(Error::UnknownMember) => generation = 0,
            Err(err) => {
                watch::report_log_error(&node, "join", &err);
                attempts += 1;
                if node.should_hand_over() && hand_over(&node, attempts).await {
                    generation = 0;
                }
                if sent.mono + timeout <= clock::now().mono {
                    if JOIN_TIMEOUT.1 <= timeout {
                        node.record_log_timeout(sent.mono);
                    }
                    timeout = (timeout * 2).min(JOIN_TIMEOUT.1);
                    continue;
                }
            }
        }
        tokio::time::sleep(JOIN_INTERVAL).await;
    }
}

/// Returns whether an instance has too little CPU to own partitions while there are enough
/// larger ones.
fn is_small(settings: &Settings) -> bool {
    settings.cpu_millis < MIN_OWNER_MILLICORES
}

/// Returns the name in the group of an instance whose process started at a Unix time.
pub(crate) fn member_name(settings: &Settings, started_ms: u64) -> String {
    let suffix = if is_small(settings) { SMALL_SUFFIX } else { "" };
    format!("{}@{started_ms}{suffix}", settings.peer_addr)
}

/// Waits until the configuration is known, as no owner can take a partition over before.
async fn wait_for_configuration(node: &Node) {
    let mut changes = node.catalog_changes.subscribe();
    while !matches!(**node.configuration.load(), Configuration::Known(_)) {
        // The sender lives as long as the node.
        let _ = changes.changed().await;
    }
}

/// Waits until there are too few owners, so that this instance joins.
async fn wait_for_owner_shortage(node: &Node) {
    let delay = JOIN_SPREAD.mul_f64(rand::random::<f64>()) + MIN_SHORTAGE_TIME;
    let mut shortage = Condition::new(delay);
    loop {
        let owners = **node.owner_census.load();
        if !node.is_log_reachable() {
            shortage.reset();
        } else if shortage.calls_for_step_in(clock::now().mono, owners) {
            let owners = owners.large + owners.small;
            node.decision_log
                .write("ownership", json!({ "owners": owners, "outcome": "stepping in" }));
            return;
        } else if shortage.is_counting() {
            node.refresh_owners.notify_one();
        }
        tokio::time::sleep(JOIN_INTERVAL).await;
    }
}

/// Starts owners for newly assigned partitions and removes those of partitions that
/// were lost. Returns false if an owner has ended although its partition is still
/// assigned to this member at the same generation.
fn apply_assignment(node: &Arc<Node>, assignment: &GroupAssignment, sent: Duration) -> bool {
    let mut owned = node.lock_owned_partitions();
    let lost: Vec<PartitionId> = owned.keys().filter(|it| !assignment.parts.contains(it)).copied().collect();
    for part in lost {
        owned.remove(&part);
        node.decision_log.write(
            "ownership",
            json!({ "part": part, "generation": assignment.generation, "outcome": "lost" }),
        );
    }
    for part in &assignment.parts {
        if let Some(owner) = owned.get_mut(part).filter(|it| !it.events.is_closed()) {
            owner.tenure.extend(assignment.generation);
            let since = owner.tenure.since();
            // The owner may have ended since the check; the next join handles that.
            let _ = owner.events.send(Event::PartitionListed { since, sent });
            continue;
        }
        // Leaving the group moves all partitions of this member, so it waits after a panic.
        if node.is_backing_off(*part) {
            continue;
        }
        if !node.lock_epochs().begin(*part, assignment.generation) {
            node.decision_log.write(
                "ownership",
                json!({ "part": part, "generation": assignment.generation, "outcome": "owner ended" }),
            );
            owned.clear();
            return false;
        }
        let (events, receiver) = mpsc::unbounded_channel();
        let epoch = assignment.generation;
        node.decision_log
            .write("ownership", json!({ "part": part, "generation": epoch, "outcome": "won" }));
        tokio::spawn(run_owner(node.clone(), *part, epoch, events.clone(), receiver));
        let tenure = Tenure::new(epoch);
        owned.insert(*part, OwnedPartition { epoch, tenure, events });
        node.partition_acquired.notify_one();
    }
    true
}

/// Runs the owner of a partition, with a line in the decision log if it panics.
async fn run_owner(
    node: Arc<Node>,
    part: PartitionId,
    epoch: u64,
    events: mpsc::UnboundedSender<Event>,
    receiver: mpsc::UnboundedReceiver<Event>,
) {
    let ended = tokio::spawn(owner::run(node.clone(), part, epoch, events, receiver)).await;
    if ended.is_err_and(|it| it.is_panic()) {
        let delay = node.record_owner_panic(part);
        node.decision_log.write(
            "owner_panicked",
            json!({ "part": part, "epoch": epoch, "retry_ms": delay.as_millis() as u64 }),
        );
    }
}

/// Gives all partitions up through another instance, as an owner that the log does not
/// answer can record no placement. Returns false if that instance cannot reach the log
/// either, or does not answer; then the partitions are kept, and running work goes on.
async fn hand_over(node: &Node, attempts: usize) -> bool {
    let owners = node.owners.load();
    let mut others: Vec<SocketAddr> = owners.values().filter(|it| **it != node.settings.peer_addr).copied().collect();
    others.sort();
    others.dedup();
    if others.is_empty() {
        return false;
    }
    let addr = others[attempts % others.len()];
    let call = Call::Leave {
        member: node.member.clone(),
    };
    let has_left = peer::call_instance(node, addr, call, HANDOVER_TIMEOUT).await == Reply::Done;
    if has_left {
        node.lock_owned_partitions().clear();
        node.decision_log.write(
            "ownership",
            json!({ "outcome": "handed over", "silent_ms": node.log_silence().as_millis() as u64 }),
        );
    }
    has_left
}

/// Removes a member from the group for an instance that the log does not answer.
pub(crate) async fn leave_for(node: &Node, member: &str) -> Reply {
    match node.is_log_reachable() {
        true => match node.log.leave(GROUP, member, HANDOVER_TIMEOUT).await {
            Ok(()) | Err(Error::UnknownMember) => Reply::Done,
            Err(_) => Reply::Unknown,
        },
        false => Reply::Unavailable,
    }
}

/// Removes members that earlier processes of this instance left in the group.
async fn remove_previous_memberships(node: &Node) {
    if let Ok(holders) = node.log.owners(GROUP, CALL_TIMEOUT).await {
        remove_ended_members(node, holders).await;
    }
}

/// Removes members of this instance that have ended: those of earlier processes, which have
/// ended as this process has bound their address, and its own while it is stopping. The log
/// may carry out a join seconds after it was sent, and give partitions to such a member.
async fn remove_ended_members(node: &Node, holders: Vec<PartitionHolder>) {
    let prefix = format!("{}@", node.settings.peer_addr);
    let mut previous: Vec<String> = holders.into_iter().map(|it| it.member).collect();
    previous.retain(|it| it.starts_with(&prefix) && (*it != node.member || node.is_stopping()));
    previous.sort();
    previous.dedup();
    for member in previous {
        if let Err(err) = node.log.leave(GROUP, &member, CALL_TIMEOUT).await {
            watch::report_log_error(node, "leave", &err);
        }
    }
}

/// Releases all partitions and leaves the group, so that the log service reassigns
/// them at once instead of after the member's time to live.
pub(crate) async fn leave(node: &Node) {
    node.lock_owned_partitions().clear();
    if let Err(err) = node.log.leave(GROUP, &node.member, CALL_TIMEOUT).await {
        watch::report_log_error(node, "leave", &err);
    }
    node.refresh_owners.notify_one();
}

/// Keeps the addresses of all partition owners up to date, on request and at an interval.
pub(crate) async fn follow_owners(node: Arc<Node>) {
    loop {
        if let Ok(holders) = node.log.owners(GROUP, CALL_TIMEOUT).await {
            watch::report_log_answer(&node, true);
            node.owners.store(Arc::new(owner_addresses(&holders)));
            node.owner_census.store(Arc::new(count_owners(&holders)));
            remove_ended_members(&node, holders).await;
        }
        let interval = match node.is_log_reachable() {
            true => OWNERS_REFRESH_INTERVAL,
            false => UNREACHABLE_REFRESH_INTERVAL,
        };
        tokio::select! {
            () = node.refresh_owners.notified() => {}
            () = tokio::time::sleep(interval) => {}
        }
        // Many failed calls may request a read at the same time; one read answers them all.
        tokio::time::sleep(Duration::from_millis(40)).await;
    }
}

/// Returns the owner's peer address for each partition, as given in its member name.
fn owner_addresses(holders: &[PartitionHolder]) -> HashMap<PartitionId, SocketAddr> {
    let address = |it: &PartitionHolder| Some((it.part, it.member.split('@').next()?.parse().ok()?));
    holders.iter().filter_map(address).collect()
}

/// Counts the members that own partitions, by size.
fn count_owners(holders: &[PartitionHolder]) -> Census {
    let members: HashSet<&str> = holders.iter().map(|it| it.member.as_str()).collect();
    let small = members.iter().filter(|it| it.ends_with(SMALL_SUFFIX)).count();
    Census {
        large: members.len() - small,
        small,
    }
}
