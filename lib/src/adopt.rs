//! Members that fail or leave: fencing silent members, adopting the running tasks of
//! fenced ones, and the shutdown of this entry.
//!
//! In each zone, the member that joined first fences peers that have gone silent. It
//! then asks all workers of the zone for tasks held by fenced members and takes over
//! their leases. Once no such task can be left, one record settles their
//! allotments and removes them from the members.

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

/// Delay before a worker is asked for its tasks again.
const LIST_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Progress of adopting the tasks of the fenced members of this zone.
#[derive(Debug)]
pub(crate) struct Adoption {
    /// The fenced members.
    members: Vec<MemberId>,
    /// Instant after which no task of a fenced member can start: members act on an old
    /// view of the log for a bounded time.
    no_starts_after: Duration,
    /// Workers whose task list, requested after that instant, contains no running task
    /// of a fenced member.
    cleared_workers: BTreeSet<InstanceId>,
    /// When each worker was last asked for its tasks.
    list_requested_at: BTreeMap<InstanceId, Duration>,
    /// Tasks whose worker has not yet answered the adoption.
    adopting: BTreeSet<TaskAttempt>,
    /// The record that settles the members has been queued.
    settle_requested: bool,
}

impl Entry {
    /// Fences silent members of this zone and adopts the tasks of fenced ones.
    pub(crate) fn monitor_members(&mut self, now: Now) {
        if !matches!(self.lifecycle, Lifecycle::Active) {
            return;
        }
        self.fence_silent(now);
        self.advance_adoption(now);
    }

    /// Fences silent peers of this zone, if this entry joined first among the members that
    /// are not silent.
    fn fence_silent(&mut self, now: Now) {
        if self.log.replica().age(now.mono).is_none_or(|age| self.settings.max_view_age < age) {
            return;
        }
        let roster = &self.log.state().roster;
        let mut silent = Vec::new();
        for (id, member) in roster.active() {
            if member.zone != self.settings.zone || *id == self.settings.id {
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
            if last_heard_at.max(self.timers.resumed_at) + self.settings.peer_timeout < now.mono {
                silent.push(id.clone());
            }
        }
        if roster.earliest_joined(&self.settings.zone, &silent) != Some(&self.settings.id) {
            return;
        }
        for id in silent {
            let fencing = |it: &Change| matches!(it, Change::Fence { id: other } if *other == id);
            if !self.log.unresolved_changes().any(fencing) {
                self.append(now, Change::Fence { id });
            }
        }
    }

    /// Starts, continues or abandons the adoption, depending on the fenced members and
    /// on whether this entry is the one of its zone that joined first.
    fn advance_adoption(&mut self, now: Now) {
        let roster = &self.log.state().roster;
        let in_zone = roster.fenced().filter(|(_, it)| it.zone == self.settings.zone);
        let fenced: Vec<MemberId> = in_zone.map(|(id, _)| id.clone()).collect();
        if fenced.is_empty() || roster.earliest_joined(&self.settings.zone, &[]) != Some(&self.settings.id) {
            self.adoption = None;
            return;
        }
        let is_current = self.adoption.as_ref().is_some_and(|it| it.members == fenced);
        if !is_current {
            self.adoption = Some(Adoption {
                members: fenced,
                no_starts_after: now.mono + self.settings.max_view_age + 2 * self.settings.max_clock_skew,
                cleared_workers: BTreeSet::new(),
                list_requested_at: BTreeMap::new(),
                adopting: BTreeSet::new(),
                settle_requested: false,
            });
        }
        self.list_worker_tasks(now);
        self.settle_fenced(now);
    }

    /// Asks the workers of the zone for their tasks, until each has answered that it runs
    /// none of a fenced member.
    fn list_worker_tasks(&mut self, now: Now) {
        let state = self.log.state();
        let in_zone = state.fleet.iter().filter(|(_, it)| it.zone == self.settings.zone);
        let workers: Vec<_> = in_zone.map(|(id, it)| (id.clone(), it.addr)).collect();
        for (id, addr) in workers {
            let Some(adoption) = &mut self.adoption else {
                return;
            };
            let due = adoption
                .list_requested_at
                .get(&id)
                .is_none_or(|asked| *asked + LIST_RETRY_DELAY <= now.mono);
            if adoption.cleared_workers.contains(&id) || !due {
                continue;
            }
            adoption.list_requested_at.insert(id.clone(), now.mono);
            self.call(CallPurpose::List(id.clone()), id, addr, WorkerRequest::List);
        }
    }

    /// Adopts the tasks of fenced members that a worker listed.
    pub(crate) fn on_tasks_listed(&mut self, now: Now, instance: InstanceId, result: Result<WorkerResponse, platform::Error>) {
        let Ok(WorkerResponse::Tasks(tasks)) = result else {
            return;
        };
        let Some(adoption) = &mut self.adoption else {
            return;
        };
        let fenced_tasks: Vec<_> = tasks.into_iter().filter(|it| adoption.members.contains(&it.holder)).collect();
        let asked = adoption.list_requested_at.get(&instance).copied().unwrap_or_default();
        let any_running = fenced_tasks.iter().any(|it| !it.finished);
        if !any_running && adoption.no_starts_after <= asked {
            adoption.cleared_workers.insert(instance.clone());
        }
        let Some(addr) = self.log.state().fleet.get(&instance).map(|it| it.addr) else {
            return;
        };
        for running in fenced_tasks {
            self.adopt_task(now, instance.clone(), addr, running);
        }
    }

    /// Counts a task as this entry's own and asks the worker to transfer its lease.
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
            lease_expires_at: now.mono + self.settings.lease + self.settings.max_clock_skew,
            next_renewal_at: now.mono + self.settings.lease / 3,
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
        let lease_ms = self.settings.lease.as_millis() as u64;
        let to = self.settings.id.clone();
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

    /// Adds the job of an adopted task, so that its caller can get the answer here.
    /// Payload and deadline are not known, so the job cannot be repeated.
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
            // The answer to the wait tells whether the adoption took effect or the task has ended.
            Ok(_) => self.send_wait(task),
            Err(_) => {
                if let Some(running) = self.tasks.get_mut(&task) {
                    running.next_wait_at = Some(now.mono);
                    running.next_renewal_at = now.mono;
                }
            }
        }
    }

    /// Queues the record that settles the fenced members once every worker of the zone
    /// is cleared or gone. Slots of adopted tasks beyond this entry's own allotment move
    /// to it from the settled members.
    fn settle_fenced(&mut self, now: Now) {
        let state = self.log.state();
        let Some(adoption) = &self.adoption else {
            return;
        };
        let presence = &self.presence;
        let is_gone = |id: &InstanceId| presence.as_ref().is_some_and(|it| !it.contains_key(id));
        let all_cleared = {
            let mut in_zone = state.fleet.iter().filter(|(_, it)| it.zone == self.settings.zone);
            in_zone.all(|(id, _)| adoption.cleared_workers.contains(id) || is_gone(id))
        };
        if adoption.settle_requested || now.mono < adoption.no_starts_after || !all_cleared || !adoption.adopting.is_empty() {
            return;
        }
        let ids = adoption.members.clone();
        let mut adopted: BTreeMap<TeamId, u64> = BTreeMap::new();
        for (team, used) in self.allotments.used_by_team() {
            let held = state.ledger.held(team, &self.settings.id);
            let over = (used + self.allotments.transferring(team)).saturating_sub(held);
            if 0 < over {
                adopted.insert(team.clone(), over);
            }
        }
        let adopter = self.settings.id.clone();
        if let Some(adoption) = &mut self.adoption {
            adoption.settle_requested = true;
        }
        self.append(now, Change::Settle { ids, adopter, adopted });
    }

    /// Begins a graceful stop.
    pub(crate) fn on_stop(&mut self, now: Now) {
        if matches!(self.lifecycle, Lifecycle::Joining | Lifecycle::Active) {
            self.lifecycle = Lifecycle::Stopping { since: now.mono };
        }
    }

    /// Ends a stopping or fenced process when its conditions are met.
    pub(crate) fn advance_lifecycle(&mut self, now: Now) {
        match self.lifecycle {
            Lifecycle::Stopping { since } => self.advance_stop(now, since),
            Lifecycle::Fenced { since } => self.advance_fenced(now, since),
            _ => {}
        }
    }

    /// Fences this entry once its callers are answered and its queue is empty, or the
    /// grace period is over.
    fn advance_stop(&mut self, now: Now, since: Duration) {
        let waiting = self.jobs.values().any(|it| !it.phase.is_ended() && !it.waiting_requests.is_empty());
        let queued = self.jobs.values().any(|it| matches!(it.phase, Phase::Queued | Phase::Claiming));
        let grace_over = since + self.settings.stop_grace <= now.mono;
        if (waiting || queued) && !grace_over {
            return;
        }
        self.answer_waiting_callers();
        let fencing_self = |it: &Change| matches!(it, Change::Fence { id } if *id == self.settings.id);
        if !self.log.unresolved_changes().any(fencing_self) {
            let id = self.settings.id.clone();
            self.append(now, Change::Fence { id });
        }
        // If the log does not accept the record, a peer fences this member later.
        if since + 2 * self.settings.stop_grace <= now.mono {
            self.finish_process(now);
        }
    }

    /// Ends the process once its callers are answered, its reports are acknowledged and no
    /// member may ask it for jobs any more, or the grace period is over.
    fn advance_fenced(&mut self, now: Now, since: Duration) {
        let waiting = self.jobs.values().any(|it| !it.phase.is_ended() && !it.waiting_requests.is_empty());
        let unacknowledged = self.jobs.values().any(|it| it.phase.is_ended() && !it.report_to.is_empty());
        // New owners of its ids ask which jobs it had accepted, for as long as members may
        // act on a view of the log from before the fence.
        let query_period = self.settings.max_view_age + 2 * self.settings.max_clock_skew;
        let queries_over = since + query_period <= now.mono;
        if (!waiting && !unacknowledged && queries_over) || since + self.settings.stop_grace.max(query_period) <= now.mono {
            self.answer_waiting_callers();
            self.finish_process(now);
        }
    }

    fn finish_process(&mut self, now: Now) {
        self.lifecycle = Lifecycle::Finished;
        self.events.push(now, Kind::Ended);
    }

    /// Answers waiting callers with the current status of their jobs; they can query
    /// another entry.
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
