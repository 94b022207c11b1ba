//! Whose turn it is to get room under a team's cap that smaller tasks would take.
//!
//! Load pattern: a team is at its cap, and whenever one of its tasks ends, another one that needs
//! no more takes its place. A task that needs more than one of them frees, or whose pool has a part
//! of the cap in which no task fits, never starts. Once it has waited for [`PATIENCE`], room is kept
//! free for it until it fits. Claimants get turns in the order of the time for which they have
//! started nothing; a turn that is not used ends.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use serde::Serialize;

/// Time without a start after which room is kept free for a claimant.
pub const PATIENCE: Duration = Duration::from_secs(1);
/// Time for which room is kept free in a claimant's first turn while it is not in use. Tasks that
/// would fit there must not wait for 3 s because of it.
pub const FIRST_TURN: Duration = Duration::from_secs(2);
/// The same for the longest turn. The time doubles with each turn in a row that was not used.
pub const LONGEST_TURN: Duration = Duration::from_secs(64);

/// What is known of a claimant that waits.
#[derive(Clone, Copy, Debug, Default)]
struct Wait {
    /// When it last started something, or its last turn ended, or it began to wait.
    since: Duration,
    /// Number of turns in a row that it did not use.
    unused_turns: u32,
}

impl Wait {
    fn turn_length(&self) -> Duration {
        (FIRST_TURN * 2_u32.saturating_pow(self.unused_turns.min(16))).min(LONGEST_TURN)
    }

    /// Time until it may get a turn. After a turn without use, others may use the room for as long
    /// as it was kept from them.
    fn patience(&self) -> Duration {
        match self.unused_turns {
            0 => PATIENCE,
            turns => (FIRST_TURN * 2_u32.saturating_pow((turns - 1).min(16))).min(LONGEST_TURN),
        }
    }
}

/// A turn that was given.
#[derive(Clone, Debug)]
struct Turn<K> {
    holder: K,
    began: Duration,
    /// Since when room that is kept free for it could be used.
    idle_since: Option<Duration>,
}

/// Claimants of the cap of a team that wait, and the turn of one of them.
#[derive(Debug)]
pub struct Turns<K> {
    waits: HashMap<K, Wait>,
    turn: Option<Turn<K>>,
}

/// How a turn ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The holder has started something.
    Used,
    /// The holder has started nothing although it could, or the room was idle for too long.
    Unused,
    /// The holder waits no more.
    Withdrawn,
}

impl Outcome {
    /// Name of the outcome in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Outcome::Used => "used",
            Outcome::Unused => "unused",
            Outcome::Withdrawn => "withdrawn",
        }
    }
}

impl<K> Default for Turns<K> {
    fn default() -> Turns<K> {
        Turns {
            waits: HashMap::new(),
            turn: None,
        }
    }
}

impl<K> Turns<K>
where
    K: Clone + Eq + Hash + Ord,
{
    /// Records that a claimant waits.
    pub fn wait(&mut self, now: Duration, claimant: &K) {
        if !self.waits.contains_key(claimant) {
            let wait = Wait {
                since: now,
                unused_turns: 0,
            };
            self.waits.insert(claimant.clone(), wait);
        }
    }

    /// Forgets the claimants that wait no more. Returns the outcome of a turn that ends thereby.
    pub fn retain<F>(&mut self, is_waiting: F) -> Option<Outcome>
    where
        F: Fn(&K) -> bool,
    {
        self.waits.retain(|it, _| is_waiting(it));
        self.turn.take_if(|it| !is_waiting(&it.holder)).map(|_| Outcome::Withdrawn)
    }

    /// Records that a claimant has started something. Returns the outcome of its turn if it had one.
    pub fn started(&mut self, now: Duration, claimant: &K) -> Option<Outcome> {
        if let Some(wait) = self.waits.get_mut(claimant) {
            *wait = Wait {
                since: now,
                unused_turns: 0,
            };
        }
        self.turn.take_if(|it| it.holder == *claimant).map(|_| Outcome::Used)
    }

    /// Time since when a claimant has waited; `None` if it does not.
    pub fn waiting_since(&self, claimant: &K) -> Option<Duration> {
        self.waits.get(claimant).map(|it| it.since)
    }

    /// Returns the claimants, those that have waited longest first.
    pub fn in_order(&self) -> Vec<K> {
        let mut claimants: Vec<(Duration, &K)> = self.waits.iter().map(|(it, wait)| (wait.since, it)).collect();
        claimants.sort_unstable();
        claimants.into_iter().map(|(_, it)| it.clone()).collect()
    }

    /// The claimant for which room is kept free.
    pub fn holder(&self) -> Option<&K> {
        self.turn.as_ref().map(|it| &it.holder)
    }

    /// When the current turn began.
    pub fn began(&self) -> Option<Duration> {
        self.turn.as_ref().map(|it| it.began)
    }

    /// Gives the turn to the claimant that has waited longest among those that may get it, if none
    /// has it. Returns whether it was given.
    pub fn give<F>(&mut self, now: Duration, may_get: F) -> bool
    where
        F: Fn(&K) -> bool,
    {
        if self.turn.is_some() {
            return false;
        }
        let due = self.waits.iter().filter(|(_, wait)| wait.since + wait.patience() <= now);
        let first = due.filter(|(it, _)| may_get(it)).min_by_key(|(it, wait)| (wait.since, *it));
        self.turn = first.map(|(it, _)| Turn {
            holder: it.clone(),
            began: now,
            idle_since: None,
        });
        self.turn.is_some()
    }

    /// Records whether the room that is kept free could be used, by the holder or by others. Returns
    /// the outcome if the turn ends because that is so for too long.
    pub fn observe(&mut self, now: Duration, is_idle: bool) -> Option<Outcome> {
        let turn = self.turn.as_mut()?;
        if !is_idle {
            turn.idle_since = None;
            return None;
        }
        let idle_since = *turn.idle_since.get_or_insert(now);
        let wait = self.waits.entry(turn.holder.clone()).or_default();
        if now < idle_since + wait.turn_length() {
            return None;
        }
        wait.since = now;
        wait.unused_turns += 1;
        self.turn = None;
        Some(Outcome::Unused)
    }
}
