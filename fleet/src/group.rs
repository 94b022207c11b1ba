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
use crate::node::{Node, Owned};
use crate::owner::{self, Event};
use crate::watch;

/// Name of the group of owners.
pub(crate) const GROUP: &str = "owners";
/// Time between two joins.
const JOIN_INTERVAL: Duration = Duration::from_millis(400);
/// Time to live of a member, as a multiple of the interval: four joins may be lost.
const TTL: Duration = Duration::from_millis(2000);
/// Time for a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1000);
/// Longest time between two readings of all owners.
const OWNERS_INTERVAL: Duration = Duration::from_secs(2);

/// Least processor of an instance that owns partitions, thousandths of a core.
/// The owner of a pool that starts 1,600 tasks a second takes 400 (grown apmas-cellyard).
const OWNER_PROCESSOR: u64 = 200;
/// Fewest owners; below this smaller instances own partitions too.
/// A zone of three may be lost and one more owner with it.
const FEWEST_OWNERS: usize = 3;
/// Time for which there must be too few: members that died are listed for 2 s.
const SHORT_FOR: Duration = Duration::from_millis(1200);
/// Time over which smaller instances step in one after the other.
const STEP_IN_OVER: Duration = Duration::from_millis(2000);

/// Keeps this instance in the group and runs owners for what it holds.
pub(crate) async fn run(node: Arc<Node>) {
    retire_earlier(&node).await;
    tokio::spawn(follow_owners(node.clone()));
    if node.settings.processor < OWNER_PROCESSOR {
        stand_by(&node).await;
    }
    let mut generation = 0;
    let ttl = TTL.max(node.settings.member_ttl);
    loop {
        let sent = clock::now();
        let joined = node.log.join(GROUP, &node.member, ttl, generation, CALL_TIMEOUT).await;
        match joined {
            Ok(share) => {
                watch::note_log(&node, true);
                node.confirm_member(sent.mono);
                let changed = share.generation != generation;
                generation = share.generation;
                if !apply(&node, &share, sent.mono) {
                    // Only a new generation lets this member own the partition again.
                    if let Err(err) = node.log.leave(GROUP, &node.member, CALL_TIMEOUT).await {
                        watch::failed(&node, "leave", &err);
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
            Err(Error::Member) => generation = 0,
            Err(err) => watch::failed(&node, "join", &err),
        }
        tokio::time::sleep(JOIN_INTERVAL).await;
    }
}

/// Waits until there are too few owners. From then on this instance is one of
/// them until it ends: to leave again would hand its partitions over once more.
async fn stand_by(node: &Node) {
    let step_in = STEP_IN_OVER.mul_f64(rand::random::<f64>()) + SHORT_FOR;
    let mut short_since = None;
    loop {
        let owners: HashSet<SocketAddr> = node.owners.load().values().copied().collect();
        let now = clock::now().mono;
        if FEWEST_OWNERS <= owners.len() || !node.reaches_log() {
            short_since = None;
        } else if *short_since.get_or_insert(now) + step_in <= now {
            node.decisions
                .line("ownership", json!({ "owners": owners.len(), "outcome": "stepping in" }));
            return;
        } else {
            node.refresh_owners.notify_one();
        }
        tokio::time::sleep(JOIN_INTERVAL).await;
    }
}

/// Starts and ends owners. Returns false if an owner ended that this member still is by the group.
fn apply(node: &Arc<Node>, share: &GroupAssignment, sent: Duration) -> bool {
    let Ok(mut owned) = node.owned.lock() else {
        return true;
    };
    let lost: Vec<PartId> = owned.keys().filter(|it| !share.parts.contains(it)).copied().collect();
    for part in lost {
        owned.remove(&part);
        node.decisions.line(
            "ownership",
            json!({ "part": part, "generation": share.generation, "outcome": "lost" }),
        );
    }
    for part in &share.parts {
        if let Some(owner) = owned.get(part).filter(|it| !it.events.is_closed()) {
            // The owner may have ended meanwhile; the next join starts it again.
            let _ = owner.events.send(Event::Proven(sent));
            continue;
        }
        if owned.get(part).is_some_and(|it| share.generation <= it.epoch) {
            node.decisions.line(
                "ownership",
                json!({ "part": part, "generation": share.generation, "outcome": "owner ended" }),
            );
            owned.clear();
            return false;
        }
        let (events, inbox) = mpsc::unbounded_channel();
        let epoch = share.generation;
        node.decisions
            .line("ownership", json!({ "part": part, "generation": epoch, "outcome": "won" }));
        tokio::spawn(owner::run(node.clone(), *part, epoch, events.clone(), inbox));
        owned.insert(*part, Owned { epoch, events });
        node.ownership.notify_one();
    }
    true
}

/// Takes earlier lives of this instance out of the group: its address is bound here now.
async fn retire_earlier(node: &Node) {
    let Ok(holders) = node.log.owners(GROUP, CALL_TIMEOUT).await else {
        return;
    };
    let prefix = format!("{}@", node.settings.peers);
    let mut earlier: Vec<String> = holders.into_iter().map(|it| it.member).collect();
    earlier.retain(|it| it.starts_with(&prefix) && *it != node.member);
    earlier.sort();
    earlier.dedup();
    for member in earlier {
        if let Err(err) = node.log.leave(GROUP, &member, CALL_TIMEOUT).await {
            watch::failed(node, "leave", &err);
        }
    }
}

/// Leaves the group, so that others own the partitions at once.
pub(crate) async fn leave(node: &Node) {
    if let Ok(mut owned) = node.owned.lock() {
        owned.clear();
    }
    if let Err(err) = node.log.leave(GROUP, &node.member, CALL_TIMEOUT).await {
        watch::failed(node, "leave", &err);
    }
    node.refresh_owners.notify_one();
}

/// Follows who owns which partition.
async fn follow_owners(node: Arc<Node>) {
    loop {
        if let Ok(holders) = node.log.owners(GROUP, CALL_TIMEOUT).await {
            node.owners.store(Arc::new(addresses(&holders)));
        }
        tokio::select! {
            () = node.refresh_owners.notified() => {}
            () = tokio::time::sleep(OWNERS_INTERVAL) => {}
        }
        // Many calls may ask for it at once.
        tokio::time::sleep(Duration::from_millis(40)).await;
    }
}

fn addresses(holders: &[PartitionHolder]) -> HashMap<PartId, SocketAddr> {
    let address = |it: &PartitionHolder| Some((it.part, it.member.split('@').next()?.parse().ok()?));
    holders.iter().filter_map(address).collect()
}
