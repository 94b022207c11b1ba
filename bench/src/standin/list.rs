//! The instance list, which tells of changes after a lag.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use oriolewall::id::InstanceId;
use oriolewall::platform::{ListedInstance, Presence};

/// The true state and what the list shows of it.
#[derive(Debug)]
pub struct DelayedInstanceList {
    lag: Duration,
    shown: BTreeMap<InstanceId, Presence>,
    coming: VecDeque<Change>,
}

#[derive(Debug)]
struct Change {
    at: Duration,
    id: InstanceId,
    presence: Option<Presence>,
}

impl DelayedInstanceList {
    /// Shows changes after `lag`.
    pub fn new(lag: Duration) -> DelayedInstanceList {
        DelayedInstanceList {
            lag,
            shown: BTreeMap::new(),
            coming: VecDeque::new(),
        }
    }

    /// Notes a true change; `None` means that the instance is gone.
    pub fn set_presence(&mut self, now: Duration, id: &str, presence: Option<Presence>) {
        self.coming.push_back(Change {
            at: now + self.lag,
            id: id.into(),
            presence,
        });
    }

    /// What the list shows.
    pub fn read(&mut self, now: Duration) -> Vec<ListedInstance> {
        while self.coming.front().is_some_and(|it| it.at <= now) {
            let Some(change) = self.coming.pop_front() else {
                break;
            };
            match change.presence {
                Some(presence) => self.shown.insert(change.id, presence),
                None => self.shown.remove(&change.id),
            };
        }
        let listed = |(id, presence): (&InstanceId, &Presence)| ListedInstance {
            id: id.clone(),
            presence: *presence,
        };
        self.shown.iter().map(listed).collect()
    }
}
