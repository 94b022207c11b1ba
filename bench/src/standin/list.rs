//! An instance list that reports each change only after a fixed delay.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use oriolewall::id::InstanceId;
use oriolewall::platform::{ListedInstance, Presence};

/// An instance list whose readers see every change `lag` after it happened.
///
/// The time of successive calls must not decrease: changes become visible in
/// the order in which they were made.
#[derive(Debug)]
pub struct DelayedInstanceList {
    lag: Duration,
    visible: BTreeMap<InstanceId, Presence>,
    pending: VecDeque<PendingChange>,
}

#[derive(Debug)]
struct PendingChange {
    visible_at: Duration,
    id: InstanceId,
    presence: Option<Presence>,
}

impl DelayedInstanceList {
    /// An empty list that makes changes visible after `lag`.
    pub fn new(lag: Duration) -> DelayedInstanceList {
        DelayedInstanceList {
            lag,
            visible: BTreeMap::new(),
            pending: VecDeque::new(),
        }
    }

    /// Sets the presence of an instance; `None` removes it. Readers see the
    /// change from `now + lag` on.
    pub fn set_presence(&mut self, now: Duration, id: &str, presence: Option<Presence>) {
        self.pending.push_back(PendingChange {
            visible_at: now + self.lag,
            id: id.into(),
            presence,
        });
    }

    /// Returns the instances that are visible at `now`, in order of their ids.
    pub fn read(&mut self, now: Duration) -> Vec<ListedInstance> {
        while self.pending.front().is_some_and(|it| it.visible_at <= now) {
            let Some(change) = self.pending.pop_front() else {
                break;
            };
            match change.presence {
                Some(presence) => self.visible.insert(change.id, presence),
                None => self.visible.remove(&change.id),
            };
        }
        let listed = |(id, presence): (&InstanceId, &Presence)| ListedInstance {
            id: id.clone(),
            presence: *presence,
        };
        self.visible.iter().map(listed).collect()
    }
}
