//! Bounded queues of jobs, one per team, at one entry.
//!
//! A team that fills its queue does not affect the queues of other teams.

use std::collections::{BTreeMap, VecDeque};

use crate::id::{JobId, TeamId};
use crate::job::Class;

/// The queues of all teams.
#[derive(Clone, Debug, Default)]
pub struct TeamQueues {
    teams: BTreeMap<TeamId, TeamQueue>,
}

/// The queue of one team, first in, first out within each class. The limit applies to
/// both classes together.
#[derive(Clone, Debug, Default)]
pub struct TeamQueue {
    urgent: VecDeque<JobId>,
    normal: VecDeque<JobId>,
}

/// Error: the team's queue is at its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

impl TeamQueues {
    /// Appends a job to its class, unless the team's queue already has `limit` jobs.
    pub fn push(&mut self, team: &TeamId, class: Class, job: JobId, limit: u64) -> Result<(), Full> {
        let queue = self.teams.entry(team.clone()).or_default();
        if limit <= queue.len() as u64 {
            return Err(Full);
        }
        queue.class_queue_mut(class).push_back(job);
        Ok(())
    }

    /// Returns a job to the front of its class. The limit applies only when a job is
    /// first queued.
    pub fn push_front(&mut self, team: &TeamId, class: Class, job: JobId) {
        let queue = self.teams.entry(team.clone()).or_default();
        queue.class_queue_mut(class).push_front(job);
    }

    /// The next job of a team in a class, without removing it.
    pub fn front(&self, team: &str, class: Class) -> Option<JobId> {
        self.teams.get(team).and_then(|it| it.class_queue(class).front()).copied()
    }

    /// Removes and returns the next job of a team in a class.
    pub fn pop(&mut self, team: &str, class: Class) -> Option<JobId> {
        self.teams.get_mut(team).and_then(|it| it.class_queue_mut(class).pop_front())
    }

    /// Removes and returns the last job of a team in a class, which would wait longest.
    pub fn pop_back(&mut self, team: &str, class: Class) -> Option<JobId> {
        self.teams.get_mut(team).and_then(|it| it.class_queue_mut(class).pop_back())
    }

    /// Removes a job from any position; false if it was not queued.
    pub fn remove(&mut self, team: &str, class: Class, job: JobId) -> bool {
        let Some(queue) = self.teams.get_mut(team) else {
            return false;
        };
        let jobs = queue.class_queue_mut(class);
        let before = jobs.len();
        jobs.retain(|it| *it != job);
        jobs.len() < before
    }

    /// Teams with at least one queued job of a class.
    pub fn teams_with(&self, class: Class) -> impl Iterator<Item = &TeamId> {
        let has_jobs = move |it: &&TeamQueue| !it.class_queue(class).is_empty();
        self.teams.iter().filter(move |(_, queue)| has_jobs(queue)).map(|(team, _)| team)
    }

    /// Number of queued jobs of a team.
    pub fn len(&self, team: &str) -> usize {
        self.teams.get(team).map_or(0, TeamQueue::len)
    }

    /// Number of queued jobs of all teams.
    pub fn total(&self) -> usize {
        self.teams.values().map(TeamQueue::len).sum()
    }

    /// Lengths of the queues that are not empty, by team.
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
