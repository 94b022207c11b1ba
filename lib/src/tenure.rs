//! Whether another owner may have held a partition between two answers of the group.
//!
//! An answer lists the partitions of a member at a generation, which increases with each change
//! of the group. A partition that goes to another member and comes back changes hands twice, so
//! answers at the same generation or at successive ones leave no time for another owner. After
//! other answers only the log can tell: a later owner sets its epoch there before it acts.

/// State of the group of owners, numbered in ascending order.
pub type Generation = u64;

/// Generations in which a member has held a partition without a break, as far as it can tell.
#[derive(Clone, Copy, Debug)]
pub struct Tenure {
    since: Generation,
    until: Generation,
}

/// Tenures of an owner in which no other one has acted before it.
#[derive(Debug)]
pub struct Claim {
    /// Start of the last tenure that is proven.
    proven: Generation,
    /// Whether the log was asked about a later one and has not answered.
    is_asked: bool,
}

/// What an answer of the group that lists a partition means for its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It confirms the ownership.
    Confirmed,
    /// It does not, and the log has to be asked.
    AskLog,
    /// It does not, and the log has been asked.
    Pending,
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
            proven: epoch,
            is_asked: false,
        }
    }

    /// Judges an answer of the group that lists the partition in the tenure since `since`.
    pub fn listed(&mut self, since: Generation) -> Verdict {
        if since <= self.proven {
            return Verdict::Confirmed;
        }
        match std::mem::replace(&mut self.is_asked, true) {
            true => Verdict::Pending,
            false => Verdict::AskLog,
        }
    }

    /// Records the log's answer to a question that was sent in the tenure since `since`: no
    /// later owner has set its epoch.
    pub fn prove(&mut self, since: Generation) {
        self.is_asked = false;
        self.proven = self.proven.max(since);
    }

    /// Records that a question got no answer, so that it is asked again.
    pub fn question_lost(&mut self) {
        self.is_asked = false;
    }
}
