//! Whether another owner may have held a partition between two answers of the group.
//!
//! An answer lists the partitions of a member at a generation, which increases with each change
//! of the group. A partition that goes to another member and comes back changes hands twice, so
//! answers at the same generation or at successive ones leave no time for another owner. After
//! other answers only the log can tell: a later owner sets its epoch there before it acts.

use std::collections::HashMap;

use crate::rpc::PartitionId;

/// State of the group of owners, numbered in ascending order.
pub type Generation = u64;

/// Generations in which a member has held a partition without a break, as far as it can tell.
#[derive(Clone, Copy, Debug)]
pub struct Tenure {
    since: Generation,
    until: Generation,
}

/// Judges the answers of the group for an owner.
#[derive(Debug)]
pub struct Claim {
    /// Generation at which the owner acquired the partition.
    epoch: Generation,
    /// Start of the last tenure about which the log was asked.
    asked_for: Generation,
    /// Whether the log was asked and has not answered.
    is_pending: bool,
}

/// What an answer of the group that lists a partition means for its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It confirms the ownership.
    Confirmed,
    /// It does not, and the log has to be asked for the first time in this tenure.
    AskLog,
    /// The log has to be asked again: an owner in between may have set its epoch since.
    AskAgain,
    /// It does not, and the log has been asked.
    Pending,
}

/// Epochs under which a member has owned partitions. Each is used once, as the orders of two
/// owners under one epoch could not be told apart.
#[derive(Debug, Default)]
pub struct Epochs {
    last: HashMap<PartitionId, Generation>,
}

impl Epochs {
    /// Begins an ownership at a generation. Returns false if the member has owned the partition at
    /// this generation or a later one.
    pub fn begin(&mut self, part: PartitionId, generation: Generation) -> bool {
        if self.last.get(&part).is_some_and(|it| generation <= *it) {
            return false;
        }
        self.last.insert(part, generation);
        true
    }
}

impl Tenure {
    /// Begins with the answer that assigned the partition to the member.
    pub fn new(generation: Generation) -> Tenure {
        Tenure {
            since: generation,
            until: generation,
        }
    }

    /// Extends the tenure by an answer that lists the partition, or begins a new one if another
    /// member may have held it since the last answer.
    pub fn extend(&mut self, generation: Generation) {
        if self.until.saturating_add(1) < generation {
            self.since = generation;
        }
        self.until = self.until.max(generation);
    }

    /// Generation since which no other member can have held the partition.
    pub fn since(&self) -> Generation {
        self.since
    }
}

impl Claim {
    /// Creates the claim of an owner that has set its epoch, the generation at which it acquired
    /// the partition.
    pub fn new(epoch: Generation) -> Claim {
        Claim {
            epoch,
            asked_for: epoch,
            is_pending: false,
        }
    }

    /// Judges an answer of the group that lists the partition in the tenure since `since`. An owner
    /// of an earlier tenure has to ask the log each time.
    pub fn listed(&mut self, since: Generation) -> Verdict {
        if since <= self.epoch {
            return Verdict::Confirmed;
        }
        if std::mem::replace(&mut self.is_pending, true) {
            return Verdict::Pending;
        }
        match std::mem::replace(&mut self.asked_for, since) == since {
            true => Verdict::AskAgain,
            false => Verdict::AskLog,
        }
    }

    /// Records that the log has answered, or that the call has failed.
    pub fn answered(&mut self) {
        self.is_pending = false;
    }
}
