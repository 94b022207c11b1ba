//! Bounded queues, one per team; members' queues never mix.

use std::collections::{BTreeMap, VecDeque};

use crate::id::{JobId, TeamId};
use crate::job::Class;

/// TeamQueues of all teams at one entry.
#[derive(Clone, Debug, Default)]
pub struct TeamQueues {
    teams: BTreeMap<TeamId, TeamQueue>,
}

/// The queue of one team: urgent jobs before normal ones, first come first out.
#[derive(Clone, Debug, Default)]
pub struct TeamQueue {
    urgent: VecDeque<JobId>,
    normal: VecDeque<JobId>,
}

/// The team's queue has no room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

impl TeamQueues {
    /// Adds a job at the end of its class.
    pub fn push(&mut self, team: &TeamId, class: Class, job: JobId, limit: u64) -> Result<(), Full> {
        let queue = self.teams.entry(team.clone()).or_default();
        if limit <= queue.len() as u64 {
            return Err(Full);
        }
        queue.class_queue_mut(class).push_back(job);
        Ok(())
    }

    /// Puts a job back at the front; the limit does not apply to admitted jobs.
    pub fn push_front(&mut self, team: &TeamId, class: Class, job: JobId) {
        let queue = self.teams.entry(team.clone()).or_default();
        queue.class_queue_mut(class).push_front(job);
    }

    /// The job that a team would start next in a class.
    pub fn front(&self, team: &str, class: Class) -> Option<JobId> {
        self.teams.get(team).and_then(|it| it.class_queue(class).front()).copied()
    }

    /// Removes and returns the next job of a class.
    pub fn pop(&mut self, team: &str, class: Class) -> Option<JobId> {
        self.teams.get_mut(team).and_then(|it| it.class_queue_mut(class).pop_front())
    }

    /// Removes the last job of a class, the one that would wait longest.
    pub fn pop_back(&mut self, team: &str, class: Class) -> Option<JobId> {
        self.teams.get_mut(team).and_then(|it| it.class_queue_mut(class).pop_back())
    }

    /// Removes a job wherever it stands.
    pub fn remove(&mut self, team: &str, class: Class, job: JobId) -> bool {
        let Some(queue) = self.teams.get_mut(team) else {
            return false;
        };
        let jobs = queue.class_queue_mut(class);
        let before = jobs.len();
        jobs.retain(|it| *it != job);
        jobs.len() < before
    }

    /// Teams with at least one job of a class.
    pub fn teams_waiting(&self, class: Class) -> impl Iterator<Item = &TeamId> {
        let has = move |it: &&TeamQueue| !it.class_queue(class).is_empty();
        self.teams.iter().filter(move |(_, queue)| has(queue)).map(|(team, _)| team)
    }

    /// Number of jobs of one team.
    pub fn len(&self, team: &str) -> usize {
        self.teams.get(team).map_or(0, TeamQueue::len)
    }

    /// Number of jobs of all teams.
    pub fn total(&self) -> usize {
        self.teams.values().map(TeamQueue::len).sum()
    }

    /// TeamQueue lengths of teams that have jobs.
    pub fn lengths(&self) -> impl Iterator<Item = (&TeamId, usize)> {
        self.teams
            .iter()
            .map(|(team, queue)| (team, queue.len()))
            .filter(|(_, len)| 0 < *len)
    }
}

impl TeamQueue {
    fn len(&self) -> usize {
        self.urgent.len() + self.normal.len()
    }

    fn class_queue(&self, class: Class) -> &VecDeque<JobId> {
        match class {
            Class::Urgent => &self.urgent,
            Class::Normal => &self.normal,
        }
    }

    fn class_queue_mut(&mut self, class: Class) -> &mut VecDeque<JobId> {
        match class {
            Class::Urgent => &mut self.urgent,
            Class::Normal => &mut self.normal,
        }
    }
}
