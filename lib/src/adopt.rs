//! Members that die or leave: fencing them, and taking their running tasks over.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;

use crate::clock::Now;
use crate::entry::{Call, Entry, Held, Life, Phase, Running};
use crate::event::Kind;
use crate::id::{InstanceId, MemberId, TeamId};
use crate::job::{Class, Job, Repeat};
use crate::platform::{self, TaskAttempt, WorkerRequest, WorkerResponse};
use crate::record::Change;

/// Pause before a worker that did not answer is listed again.
const LIST_AGAIN: Duration = Duration::from_millis(500);

/// Taking over from the fenced members of this zone.
#[derive(Debug)]
pub(crate) struct Adoption {
    members: Vec<MemberId>,
    /// When the last start of a fenced member can have taken place.
    quiet_at: Duration,
    /// Workers whose list, asked for after that time, has been worked through.
    clear: BTreeSet<InstanceId>,
    listing: BTreeMap<InstanceId, Duration>,
    adopting: BTreeSet<TaskAttempt>,
    settling: bool,
}

impl Entry {
    pub(crate) fn mind_members(&mut self, now: Now) {
        if !matches!(self.life, Life::Active) {
            return;
        }
        self.fence_silent(now);
        self.mind_adoption(now);
    }

    /// Fences peers of this zone that have fallen silent.
    fn fence_silent(&mut self, now: Now) {
        if self.journal.replica().age(now.mono).is_none_or(|age| self.cfg.fresh_bound < age) {
            return;
        }
        let roster = &self.journal.state().roster;
        let mut silent = Vec::new();
        for (id, member) in roster.active() {
            if member.zone != self.cfg.zone || *id == self.cfg.id {
                continue;
            }
            let heard = self
                .peers
                .entry(id.clone())
                .or_insert_with(|| crate::entry::Peer {
                    heard: now.mono,
                    ..Default::default()
                })
                .heard;
            if heard.max(self.timers.awake_since) + self.cfg.peer_dead < now.mono {
                silent.push(id.clone());
            }
        }
        if roster.earliest_joined(&self.cfg.zone, &silent) != Some(&self.cfg.id) {
            return;
        }
        for id in silent {
            let fencing = |it: &Change| matches!(it, Change::Fence { id: other } if *other == id);
            if !self.journal.unresolved_changes().any(fencing) {
                self.append(now, Change::Fence { id });
            }
        }
    }

    fn mind_adoption(&mut self, now: Now) {
        let roster = &self.journal.state().roster;
        let here = roster.fenced().filter(|(_, it)| it.zone == self.cfg.zone);
        let fenced: Vec<MemberId> = here.map(|(id, _)| id.clone()).collect();
        if fenced.is_empty() || roster.earliest_joined(&self.cfg.zone, &[]) != Some(&self.cfg.id) {
            self.adoption = None;
            return;
        }
        let same = self.adoption.as_ref().is_some_and(|it| it.members == fenced);
        if !same {
            self.adoption = Some(Adoption {
                members: fenced,
                quiet_at: now.mono + self.cfg.fresh_bound + 2 * self.cfg.clock_bound,
                clear: BTreeSet::new(),
                listing: BTreeMap::new(),
                adopting: BTreeSet::new(),
                settling: false,
            });
        }
        self.list_workers(now);
        self.settle(now);
    }

    /// Asks every worker of the zone for its tasks, until each has answered once
    /// after the last possible start.
    fn list_workers(&mut self, now: Now) {
        let state = self.journal.state();
        let here = state.fleet.iter().filter(|(_, it)| it.zone == self.cfg.zone);
        let workers: Vec<_> = here.map(|(id, it)| (id.clone(), it.addr)).collect();
        for (id, addr) in workers {
            let Some(adoption) = &mut self.adoption else {
                return;
            };
            let due = adoption.listing.get(&id).is_none_or(|asked| *asked + LIST_AGAIN <= now.mono);
            if adoption.clear.contains(&id) || !due {
                continue;
            }
            adoption.listing.insert(id.clone(), now.mono);
            self.call(Call::List(id.clone()), id, addr, WorkerRequest::List);
        }
    }

    pub(crate) fn on_tasks(&mut self, now: Now, instance: InstanceId, result: Result<WorkerResponse, platform::Error>) {
        let Ok(WorkerResponse::Tasks(tasks)) = result else {
            return;
        };
        let Some(adoption) = &mut self.adoption else {
            return;
        };
        let theirs: Vec<_> = tasks.into_iter().filter(|it| adoption.members.contains(&it.holder)).collect();
        let asked = adoption.listing.get(&instance).copied().unwrap_or_default();
        let left = theirs.iter().any(|it| !it.finished);
        if !left && adoption.quiet_at <= asked {
            adoption.clear.insert(instance.clone());
        }
        let Some(addr) = self.journal.state().fleet.get(&instance).map(|it| it.addr) else {
            return;
        };
        for running in theirs {
            self.take_over(now, instance.clone(), addr, running);
        }
    }

    fn take_over(&mut self, now: Now, instance: InstanceId, addr: std::net::SocketAddr, found: platform::ListedTask) {
        let task = found.task;
        let Some(adoption) = &mut self.adoption else {
            return;
        };
        if self.tasks.contains_key(&task) || !adoption.adopting.insert(task) {
            return;
        }
        self.escrow.count(&found.team, 1);
        let running = Running {
            team: found.team.clone(),
            instance: instance.clone(),
            addr,
            started: now.mono,
            start_by: now.mono,
            certain: true,
            lease_end: now.mono + self.cfg.lease + self.cfg.clock_bound,
            renew_at: now.mono + self.cfg.lease / 3,
            wait_at: None,
            ghost: false,
        };
        self.tasks.insert(task, running);
        self.workers.entry(instance.clone()).or_default().mine += 1;
        self.events.push(
            now,
            Kind::Adopted {
                job: task.job,
                team: found.team.clone(),
                instance: instance.clone(),
                from: found.holder.clone(),
            },
        );
        self.hold_adopted(now, &found);
        let lease_ms = self.cfg.lease.as_millis() as u64;
        let to = self.cfg.id.clone();
        self.call(
            Call::Adopt(task, instance.clone()),
            instance,
            addr,
            WorkerRequest::Adopt {
                task,
                from: found.holder,
                to,
                lease_ms,
            },
        );
    }

    /// Keeps the job known, so that its caller finds the answer here.
    fn hold_adopted(&mut self, now: Now, found: &platform::ListedTask) {
        let phase = Phase::Running(found.task);
        if let Some(held) = self.jobs.get_mut(&found.task.job) {
            if !held.phase.is_over() && !matches!(held.phase, Phase::Running(_) | Phase::Queued) {
                held.phase = phase;
            }
            return;
        }
        let job = Job {
            id: found.task.job,
            team: found.team.clone(),
            key: "".into(),
            class: Class::Normal,
            repeat: if found.once { Repeat::Forbidden } else { Repeat::Allowed },
            expected: Duration::ZERO,
            deadline_ms: u64::MAX,
            payload: Bytes::new(),
        };
        let mut held = Held::new(job, now, phase);
        held.attempts = found.task.attempt;
        held.maybe_ran = true;
        self.jobs.insert(found.task.job, held);
    }

    pub(crate) fn on_adopted(
        &mut self,
        now: Now,
        task: TaskAttempt,
        instance: InstanceId,
        result: Result<WorkerResponse, platform::Error>,
    ) {
        if let Some(adoption) = &mut self.adoption {
            adoption.adopting.remove(&task);
            adoption.clear.remove(&instance);
        }
        match result {
            // Whether it took effect or the task has ended, the wait tells.
            Ok(_) => self.wait(task),
            Err(_) => {
                if let Some(running) = self.tasks.get_mut(&task) {
                    running.wait_at = Some(now.mono);
                    running.renew_at = now.mono;
                }
            }
        }
    }

    /// Closes the accounts once every worker of the zone is accounted for.
    fn settle(&mut self, now: Now) {
        let state = self.journal.state();
        let Some(adoption) = &self.adoption else {
            return;
        };
        let presence = &self.presence;
        let gone = |id: &InstanceId| presence.as_ref().is_some_and(|it| !it.contains_key(id));
        let done = {
            let mut here = state.fleet.iter().filter(|(_, it)| it.zone == self.cfg.zone);
            here.all(|(id, _)| adoption.clear.contains(id) || gone(id))
        };
        if adoption.settling || now.mono < adoption.quiet_at || !done || !adoption.adopting.is_empty() {
            return;
        }
        let ids = adoption.members.clone();
        let mut adopted: BTreeMap<TeamId, u64> = BTreeMap::new();
        for (team, used) in self.escrow.teams() {
            let held = state.ledger.held(team, &self.cfg.id);
            let over = (used + self.escrow.given(team)).saturating_sub(held);
            if 0 < over {
                adopted.insert(team.clone(), over);
            }
        }
        let adopter = self.cfg.id.clone();
        if let Some(adoption) = &mut self.adoption {
            adoption.settling = true;
        }
        self.append(now, Change::Settle { ids, adopter, adopted });
    }

    /// Asks for a graceful stop.
    pub(crate) fn on_stop(&mut self, now: Now) {
        if matches!(self.life, Life::Joining | Life::Active) {
            self.life = Life::Stopping { since: now.mono };
        }
    }

    /// Moves a stopping or fenced process towards its end.
    pub(crate) fn mind_life(&mut self, now: Now) {
        match self.life {
            Life::Stopping { since } => self.mind_stopping(now, since),
            Life::Fenced { since } => self.mind_fenced(now, since),
            _ => {}
        }
    }

    fn mind_stopping(&mut self, now: Now, since: Duration) {
        let waiting = self.jobs.values().any(|it| !it.phase.is_over() && !it.callers.is_empty());
        let queued = self.jobs.values().any(|it| matches!(it.phase, Phase::Queued | Phase::Claiming));
        let over = since + self.cfg.stop_grace <= now.mono;
        if (waiting || queued) && !over {
            return;
        }
        self.send_callers_away();
        let leaving = |it: &Change| matches!(it, Change::Fence { id } if *id == self.cfg.id);
        if !self.journal.unresolved_changes().any(leaving) {
            let id = self.cfg.id.clone();
            self.append(now, Change::Fence { id });
        }
        // Without the log a peer fences this member later.
        if since + 2 * self.cfg.stop_grace <= now.mono {
            self.end(now);
        }
    }

    fn mind_fenced(&mut self, now: Now, since: Duration) {
        let waiting = self.jobs.values().any(|it| !it.phase.is_over() && !it.callers.is_empty());
        let untold = self.jobs.values().any(|it| it.phase.is_over() && !it.origins.is_empty());
        // New owners of its ids ask what it took, for as long as old views may be acted upon.
        let linger = self.cfg.fresh_bound + 2 * self.cfg.clock_bound;
        let asked = since + linger <= now.mono;
        if (!waiting && !untold && asked) || since + self.cfg.stop_grace.max(linger) <= now.mono {
            self.send_callers_away();
            self.end(now);
        }
    }

    fn end(&mut self, now: Now) {
        self.life = Life::Finished;
        self.events.push(now, Kind::Ended);
    }

    /// Answers waiting callers with the state of their jobs; they ask another entry.
    fn send_callers_away(&mut self) {
        for held in self.jobs.values_mut() {
            let status = held.status();
            for ticket in std::mem::take(&mut held.callers) {
                let status = Some(status.clone());
                self.actions.push(crate::entry::Action::Reply { ticket, status });
            }
        }
    }
}
