//! Pools that queues have been assigned to, by the address under which callers reach a queue.
//!
//! Callers know a queue by its address only, so that one job may be submitted under several names
//! of a queue and to several pools. A [`History`] follows the versions of the configuration; what
//! it knows of an address decides which owners have to be asked whether a job is new.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::catalog::Queue;
use crate::id::PoolId;
use crate::job_record::{Origin, QueueId};

/// Host and path prefix of a queue's URLs.
pub type Address = Arc<str>;

/// Most addresses without a queue that are remembered.
const MAX_UNUSED_ADDRESSES: usize = 4096;

/// Pools of one address. The fields are encoded by position, so they keep their order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// Version of the configuration that assigned the address to its current pool.
    pub version: u64,
    /// Queue that has the address, or had it last.
    pub queue: QueueId,
    /// The current pool, or the last one if no queue has the address.
    pub pool: PoolId,
    /// Pools that the address was assigned to before, without the current one.
    pub former_pools: Vec<PoolId>,
    /// Queues that had this address before any other one.
    pub first_queues: Vec<QueueId>,
}

impl Assignment {
    /// Whether the address was assigned to another pool before.
    pub fn has_moved(&self) -> bool {
        !self.former_pools.is_empty()
    }

    fn move_to(&mut self, version: u64, pool: &PoolId) {
        if *pool == self.pool {
            return;
        }
        self.former_pools.push(std::mem::replace(&mut self.pool, pool.clone()));
        self.former_pools.retain(|it| it != pool);
        self.version = version;
    }

    fn add_former_pool(&mut self, pool: PoolId) {
        if pool != self.pool && !self.former_pools.contains(&pool) {
            self.former_pools.push(pool);
        }
    }
}

/// Assignments of all addresses, as far as they are known.
#[derive(Clone, Debug, Default)]
pub struct History {
    assignments: HashMap<Address, Assignment>,
    /// First address of each name of a queue.
    first_addresses: HashMap<QueueId, Address>,
    /// First version in which no queue had the address, for addresses without a queue.
    unused_since: HashMap<Address, u64>,
    /// Last version before versions that may be missing.
    gap_after: Option<u64>,
    is_incomplete: bool,
}

impl History {
    /// Adds recorded assignments, which are those of all versions up to `version`. Unless the
    /// versions that are applied next are contiguous with the last one, some may be missing between
    /// the records and them.
    pub fn restore<I>(&mut self, version: u64, records: I, is_contiguous: bool)
    where
        I: IntoIterator<Item = (Address, Assignment)>,
    {
        for (address, recorded) in records {
            for queue in &recorded.first_queues {
                self.first_addresses.entry(queue.clone()).or_insert_with(|| address.clone());
            }
            match self.assignments.entry(address) {
                Entry::Vacant(entry) => _ = entry.insert(recorded),
                Entry::Occupied(mut entry) => {
                    let pools = recorded.former_pools.into_iter().chain([recorded.pool]);
                    pools.for_each(|it| entry.get_mut().add_former_pool(it));
                }
            }
        }
        if !is_contiguous {
            self.gap_after = Some(version);
        }
    }

    /// Applies a version of the configuration, given by its queues.
    pub fn apply<'a, I>(&mut self, version: u64, queues: I)
    where
        I: IntoIterator<Item = &'a Queue>,
    {
        self.is_incomplete |= self.gap_after.take().is_some_and(|it| it < version);
        let mut queues: Vec<(Address, &Queue)> = queues.into_iter().map(|it| (it.address(), it)).collect();
        queues.sort_unstable_by_key(|(_, queue)| &queue.name);
        for address in self.assignments.keys() {
            self.unused_since.entry(address.clone()).or_insert(version);
        }
        for (address, queue) in queues {
            self.unused_since.remove(&address);
            let assignment = self.assignments.entry(address.clone()).or_insert_with(|| Assignment {
                version,
                queue: queue.name.clone(),
                pool: queue.pool.clone(),
                former_pools: Vec::new(),
                first_queues: Vec::new(),
            });
            assignment.queue = queue.name.clone();
            assignment.move_to(version, &queue.pool);
            if let Entry::Vacant(entry) = self.first_addresses.entry(queue.name.clone()) {
                entry.insert(address);
                assignment.first_queues.push(queue.name.clone());
            }
        }
        self.forget_unused();
    }

    /// Forgets the addresses that have been without a queue for longest, if there are too many.
    fn forget_unused(&mut self) {
        if self.unused_since.len() <= MAX_UNUSED_ADDRESSES {
            return;
        }
        let mut unused: Vec<(u64, Address)> = self.unused_since.iter().map(|(it, since)| (*since, it.clone())).collect();
        unused.sort_unstable();
        for (_, address) in unused.drain(..MAX_UNUSED_ADDRESSES / 2) {
            self.unused_since.remove(&address);
            self.assignments.remove(&address);
        }
        self.first_addresses.retain(|_, it| self.assignments.contains_key(it));
    }

    /// Returns the assignment of an address; `None` if it is not known.
    pub fn assignment(&self, address: &Address) -> Option<&Assignment> {
        self.assignments.get(address)
    }

    /// Records that the newest version of the configuration has been applied.
    pub fn close_gap(&mut self) {
        self.gap_after = None;
    }

    /// Returns what differs from recorded assignments: new ones, and `None` for forgotten ones.
    pub fn changes_since(&self, recorded: &HashMap<Address, Assignment>) -> Vec<(Address, Option<Assignment>)> {
        let changed = self.assignments.iter().filter(|(address, it)| recorded.get(*address) != Some(it));
        let changed = changed.map(|(address, it)| (address.clone(), Some(it.clone())));
        let forgotten = recorded.keys().filter(|it| !self.assignments.contains_key(*it));
        changed.chain(forgotten.map(|it| (it.clone(), None))).collect()
    }

    /// Returns the first address of a queue's name.
    pub fn first_address(&self, queue: &QueueId) -> Option<&Address> {
        self.first_addresses.get(queue)
    }

    /// Returns what an owner has to be told of a submission that is routed to a queue now; `None`
    /// if the queue's name tells all that is known here.
    pub fn origin(&self, queue: &Queue) -> Option<Origin> {
        let address = queue.address();
        let assignment = self.assignments.get(&address)?;
        let is_plain = !self.is_incomplete && !assignment.has_moved() && self.first_address(&queue.name) == Some(&address);
        (!is_plain).then_some(Origin {
            address,
            version: assignment.version,
        })
    }

    /// Returns the pools that may have jobs of a queue, the current one first.
    pub fn pools(&self, queue: &Queue) -> Vec<PoolId> {
        let former_pools = self.assignment(&queue.address()).map(|it| &it.former_pools);
        let former_pools = former_pools.into_iter().flatten().rev();
        std::iter::once(&queue.pool).chain(former_pools).cloned().collect()
    }
}
