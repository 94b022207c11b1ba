//! Which partitions this instance owns, by membership in the log's group.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use oriole_platform::log::{Error, GroupAssignment, PartitionHolder};
use oriolewall::exchange::PartId;
use serde_json::json;
use tokio::sync::mpsc;

use crate::clock;
use crate::node::{Node, OwnedPartition};
use crate::owner::{self, Event};
use crate::watch;

/// Name of the group of owners.
pub(crate) const GROUP: &str = "owners";
/// Time between two joins.
const JOIN_INTERVAL: Duration = Duration::from_millis(400);
/// Time to live of a member, as a multiple of the interval: four joins may be lost.
const MEMBER_TTL: Duration = Duration::from_millis(2000);
/// Time for a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1000);
/// Longest time between two readings of all owners.
const OWNERS_REFRESH_INTERVAL: Duration = Duration::from_secs(2);

/// Least processor of an instance that owns partitions, thousandths of a core.
/// The owner of a pool that starts 1,600 tasks a second takes 400 (grown apmas-cellyard).
const MIN_OWNER_MILLICORES: u64 = 200;
/// Fewest owners; below this smaller instances own partitions too.
/// A zone of three may be lost and one more owner with it.
const MIN_OWNERS: usize = 3;
/// Time for which there must be too few: members that died are listed for 2 s.
const SHORTAGE_GRACE: Duration = Duration::from_millis(1200);
/// Time over which smaller instances step in one after the other.
const STAND_IN_SPREAD: Duration = Duration::from_millis(2000);

/// Keeps this instance in the group and runs owners for what it holds.
pub(crate) async fn run(node: Arc<Node>) {
    remove_previous_memberships(&node).await;
    tokio::spawn(follow_owners(node.clone()));
    if node.settings.cpu_millis < MIN_OWNER_MILLICORES {
        wait_for_owner_shortage(&node).await;
    }
    let mut generation = 0;
    let ttl = MEMBER_TTL.max(node.settings.member_ttl);
    loop {
        let sent = clock::now();
        let joined = node.log.join(GROUP, &node.member, ttl, generation, CALL_TIMEOUT).await;
        match joined {
            Ok(assignment) => {
                watch::note_log_answer(&node, true);
                node.confirm_member(sent.mono);
                let changed = assignment.generation != generation;
                generation = assignment.generation;
                if !apply_assignment(&node, &assignment, sent.mono) {
                    // Only a new generation lets this member own the partition again.
                    if let Err(err) = node.log.leave(GROUP, &node.member, CALL_TIMEOUT).await {
                        watch::report_log_error(&node, "leave", &err);
                    }
                    generation = 0;
                    continue;
                }
                if changed {
                    node.refresh_owners.notify_one();
                    // Joining at the new generation lets go of what is no longer held.
                    continue;
                }
            }
            Err(Error::UnknownMember) => generation = 0,
            Err(err) => watch::report_log_error(&node, "join", &err),
        }
        tokio::time::sleep(JOIN_INTERVAL).await;
    }
}

/// Waits until there are too few owners. From then on this instance is one of
/// them until it ends: to leave again would hand its partitions over once more.
async fn wait_for_owner_shortage(node: &Node) {
    let delay = STAND_IN_SPREAD.mul_f64(rand::random::<f64>()) + SHORTAGE_GRACE;
    let mut shortage_since = None;
    loop {
        let owners: HashSet<SocketAddr> = node.owners.load().values().copied().collect();
        let now = clock::now().mono;
        if MIN_OWNERS <= owners.len() || !node.is_log_reachable() {
            shortage_since = None;
        } else if *shortage_since.get_or_insert(now) + delay <= now {
            node.decision_log
                .write("ownership", json!({ "owners": owners.len(), "outcome": "stepping in" }));
            return;
        } else {
            node.refresh_owners.notify_one();
        }
        tokio::time::sleep(JOIN_INTERVAL).await;
    }
}

/// Starts and ends owners. Returns false if an owner ended that this member still is by the group.
fn apply_assignment(node: &Arc<Node>, assignment: &GroupAssignment, sent: Duration) -> bool {
    let Ok(mut owned) = node.owned_partitions.lock() else {
        return true;
    };
    let lost: Vec<PartId> = owned.keys().filter(|it| !assignment.parts.contains(it)).copied().collect();
    for part in lost {
        owned.remove(&part);
        node.decision_log.write(
            "ownership",
            json!({ "part": part, "generation": assignment.generation, "outcome": "lost" }),
        );
    }
    for part in &assignment.parts {
        if let Some(owner) = owned.get(part).filter(|it| !it.events.is_closed()) {
            // The owner may have ended meanwhile; the next join starts it again.
            let _ = owner.events.send(Event::OwnershipConfirmed(sent));
            continue;
        }
        if owned.get(part).is_some_and(|it| assignment.generation <= it.epoch) {
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
        tokio::spawn(owner::run(node.clone(), *part, epoch, events.clone(), receiver));
        owned.insert(*part, OwnedPartition { epoch, events });
        node.partition_acquired.notify_one();
    }
    true
}

/// Takes earlier lives of this instance out of the group: its address is bound here now.
async fn remove_previous_memberships(node: &Node) {
    let Ok(holders) = node.log.owners(GROUP, CALL_TIMEOUT).await else {
        return;
    };
    let prefix = format!("{}@", node.settings.peer_addr);
    let mut previous: Vec<String> = holders.into_iter().map(|it| it.member).collect();
    previous.retain(|it| it.starts_with(&prefix) && *it != node.member);
    previous.sort();
    previous.dedup();
    for member in previous {
        if let Err(err) = node.log.leave(GROUP, &member, CALL_TIMEOUT).await {
            watch::report_log_error(node, "leave", &err);
        }
    }
}

/// Leaves the group, so that others own the partitions at once.
pub(crate) async fn leave(node: &Node) {
    if let Ok(mut owned) = node.owned_partitions.lock() {
        owned.clear();
    }
    if let Err(err) = node.log.leave(GROUP, &node.member, CALL_TIMEOUT).await {
        watch::report_log_error(node, "leave", &err);
    }
    node.refresh_owners.notify_one();
}

/// Follows who owns which partition.
async fn follow_owners(node: Arc<Node>) {
    loop {
        if let Ok(holders) = node.log.owners(GROUP, CALL_TIMEOUT).await {
            node.owners.store(Arc::new(owner_addresses(&holders)));
        }
        tokio::select! {
            () = node.refresh_owners.notified() => {}
            () = tokio::time::sleep(OWNERS_REFRESH_INTERVAL) => {}
        }
        // Many calls may ask for it at once.
        tokio::time::sleep(Duration::from_millis(40)).await;
    }
}

fn owner_addresses(holders: &[PartitionHolder]) -> HashMap<PartId, SocketAddr> {
    let address = |it: &PartitionHolder| Some((it.part, it.member.split('@').next()?.parse().ok()?));
    holders.iter().filter_map(address).collect()
}
