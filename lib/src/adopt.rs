//! Members that die or leave: fencing them, and taking their running tasks over.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;

use crate::clock::Now;
use crate::entry::{CallPurpose, Entry, Lifecycle, LocalJob, Phase, RunningTask};
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
    no_starts_after: Duration,
    /// Workers whose list, asked for after that time, has been worked through.
    cleared_workers: BTreeSet<InstanceId>,
    listed_at: BTreeMap<InstanceId, Duration>,
    adopting: BTreeSet<TaskAttempt>,
    settle_requested: bool,
}

impl Entry {
    pub(crate) fn monitor_members(&mut self, now: Now) {
        if !matches!(self.lifecycle, Lifecycle::Active) {
            return;
        }
        self.fence_silent(now);
        self.advance_adoption(now);
    }

    /// Fences peers of this zone that have fallen silent.
    fn fence_silent(&mut self, now: Now) {
        if self.journal.replica().age(now.mono).is_none_or(|age| self.cfg.max_view_age < age) {
            return;
        }
        let roster = &self.journal.state().roster;
        let mut silent = Vec::new();
        for (id, member) in roster.active() {
            if member.zone != self.cfg.zone || *id == self.cfg.id {
                continue;
            }
            let last_heard_at = self
                .peers
                .entry(id.clone())
                .or_insert_with(|| crate::entry::PeerState {
                    last_heard_at: now.mono,
                    ..Default::default()
                })
                .last_heard_at;
            if last_heard_at.max(self.timers.resumed_at) + self.cfg.peer_timeout < now.mono {
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

    fn advance_adoption(&mut self, now: Now) {
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
                no_starts_after: now.mono + self.cfg.max_view_age + 2 * self.cfg.max_clock_skew,
                cleared_workers: BTreeSet::new(),
                listed_at: BTreeMap::new(),
                adopting: BTreeSet::new(),
                settle_requested: false,
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
            let due = adoption.listed_at.get(&id).is_none_or(|asked| *asked + LIST_AGAIN <= now.mono);
            if adoption.cleared_workers.contains(&id) || !due {
                continue;
            }
            adoption.listed_at.insert(id.clone(), now.mono);
            self.call(CallPurpose::List(id.clone()), id, addr, WorkerRequest::List);
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
        let asked = adoption.listed_at.get(&instance).copied().unwrap_or_default();
        let left = theirs.iter().any(|it| !it.finished);
        if !left && adoption.no_starts_after <= asked {
            adoption.cleared_workers.insert(instance.clone());
        }
        let Some(addr) = self.journal.state().fleet.get(&instance).map(|it| it.addr) else {
            return;
        };
        for running in theirs {
            self.adopt_task(now, instance.clone(), addr, running);
        }
    }

    fn adopt_task(&mut self, now: Now, instance: InstanceId, addr: std::net::SocketAddr, found: platform::ListedTask) {
        let task = found.task;
        let Some(adoption) = &mut self.adoption else {
            return;
        };
        if self.tasks.contains_key(&task) || !adoption.adopting.insert(task) {
            return;
        }
        self.allotments.add_used(&found.team, 1);
        let running = RunningTask {
            team: found.team.clone(),
            instance: instance.clone(),
            addr,
            started_at: now.mono,
            start_by: now.mono,
            start_confirmed: true,
            lease_expires_at: now.mono + self.cfg.lease + self.cfg.max_clock_skew,
            next_renewal_at: now.mono + self.cfg.lease / 3,
            next_wait_at: None,
            detached: false,
        };
        self.tasks.insert(task, running);
        self.workers.entry(instance.clone()).or_default().own_tasks += 1;
        self.events.push(
            now,
            Kind::Adopted {
                job: task.job,
                team: found.team.clone(),
                instance: instance.clone(),
                from: found.holder.clone(),
            },
        );
        self.track_adopted_job(now, &found);
        let lease_ms = self.cfg.lease.as_millis() as u64;
        let to = self.cfg.id.clone();
        self.call(
            CallPurpose::Adopt(task, instance.clone()),
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

    /// Keeps the job known, so that its caller searches the answer here.
    fn track_adopted_job(&mut self, now: Now, found: &platform::ListedTask) {
        let phase = Phase::Running(found.task);
        if let Some(local) = self.jobs.get_mut(&found.task.job) {
            if !local.phase.is_ended() && !matches!(local.phase, Phase::Running(_) | Phase::Queued) {
                local.phase = phase;
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
        let mut local = LocalJob::new(job, now, phase);
        local.attempts = found.task.attempt;
        local.may_have_run = true;
        self.jobs.insert(found.task.job, local);
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
            adoption.cleared_workers.remove(&instance);
        }
        match result {
            // Whether it took effect or the task has ended, the wait tells.
            Ok(_) => self.wait(task),
            Err(_) => {
                if let Some(running) = self.tasks.get_mut(&task) {
                    running.next_wait_at = Some(now.mono);
                    running.next_renewal_at = now.mono;
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
            here.all(|(id, _)| adoption.cleared_workers.contains(id) || gone(id))
        };
        if adoption.settle_requested || now.mono < adoption.no_starts_after || !done || !adoption.adopting.is_empty() {
            return;
        }
        let ids = adoption.members.clone();
        let mut adopted: BTreeMap<TeamId, u64> = BTreeMap::new();
        for (team, used) in self.allotments.used_by_team() {
            let held = state.ledger.held(team, &self.cfg.id);
            let over = (used + self.allotments.transferring(team)).saturating_sub(held);
            if 0 < over {
                adopted.insert(team.clone(), over);
            }
        }
        let adopter = self.cfg.id.clone();
        if let Some(adoption) = &mut self.adoption {
            adoption.settle_requested = true;
        }
        self.append(now, Change::Settle { ids, adopter, adopted });
    }

    /// Asks for a graceful stop.
    pub(crate) fn on_stop(&mut self, now: Now) {
        if matches!(self.lifecycle, Lifecycle::Joining | Lifecycle::Active) {
            self.lifecycle = Lifecycle::Stopping { since: now.mono };
        }
    }

    /// Moves a stopping or fenced process towards its end.
    pub(crate) fn advance_lifecycle(&mut self, now: Now) {
        match self.lifecycle {
            Lifecycle::Stopping { since } => self.advance_stop(now, since),
            Lifecycle::Fenced { since } => self.advance_fenced(now, since),
            _ => {}
        }
    }

    fn advance_stop(&mut self, now: Now, since: Duration) {
        let waiting = self.jobs.values().any(|it| !it.phase.is_ended() && !it.waiting_requests.is_empty());
        let queued = self.jobs.values().any(|it| matches!(it.phase, Phase::Queued | Phase::Claiming));
        let over = since + self.cfg.stop_grace <= now.mono;
        if (waiting || queued) && !over {
            return;
        }
        self.answer_waiting_callers();
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

    fn advance_fenced(&mut self, now: Now, since: Duration) {
        let waiting = self.jobs.values().any(|it| !it.phase.is_ended() && !it.waiting_requests.is_empty());
        let untold = self.jobs.values().any(|it| it.phase.is_ended() && !it.report_to.is_empty());
        // New owners of its ids ask what it took, for as long as old views may be acted upon.
        let linger = self.cfg.max_view_age + 2 * self.cfg.max_clock_skew;
        let asked = since + linger <= now.mono;
        if (!waiting && !untold && asked) || since + self.cfg.stop_grace.max(linger) <= now.mono {
            self.answer_waiting_callers();
            self.end(now);
        }
    }

    fn end(&mut self, now: Now) {
        self.lifecycle = Lifecycle::Finished;
        self.events.push(now, Kind::Ended);
    }

    /// Answers waiting callers with the state of their jobs; they ask another entry.
    fn answer_waiting_callers(&mut self) {
        for local in self.jobs.values_mut() {
            let status = local.status();
            for request_id in std::mem::take(&mut local.waiting_requests) {
                let status = Some(status.clone());
                self.actions.push(crate::entry::Action::Reply { request_id, status });
            }
        }
    }
}
