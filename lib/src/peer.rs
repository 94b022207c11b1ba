//! Messages to and from other entry instances: gossip, catching up with the log,
//! delegation of jobs and reports on them.

use std::time::Duration;

use crate::clock::Now;
use crate::entry::{Action, CatchUpSource, Entry, Lifecycle, Phase};
use crate::id::{JobId, MemberId, Offset};
use crate::job::{Job, Outcome, Repeat, Status, UnknownReason};
use crate::wire::{AgedHold, Frame, Gossip, Message, Role, TeamUsage};

/// Age of the view of the log above which peers are asked for entries.
const PULL_AGE_THRESHOLD: Duration = Duration::from_millis(600);
/// Interval between two pulls from peers.
const PULL_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which an unanswered assignment is repeated.
const REPEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Time without a frame from a peer after which no jobs are delegated to it.
const MAX_SILENCE: Duration = Duration::from_millis(1_000);
/// Time without a frame from a peer after which jobs delegated to it are treated as lost.
const PEER_LOST_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Most jobs delegated to one peer in one round.
const MAX_DELEGATIONS_PER_ROUND: usize = 16;

impl Entry {
    /// Adds a message to the frame for a peer; it is dropped if the peer is not a member.
    pub(crate) fn send(&mut self, to: &MemberId, message: Message) {
        self.outbox.entry(to.clone()).or_default().push(message);
    }

    /// Sends the frames collected during this step.
    pub(crate) fn flush(&mut self) {
        let outbox = std::mem::take(&mut self.outbox);
        for (to, messages) in outbox {
            let Some(member) = self.log.state().roster.get(&to) else {
                continue;
            };
            let addr = member.addr;
            let frame = Frame {
                from: self.settings.id.clone(),
                stamp: self.events.stamp(),
                messages,
            };
            self.actions.push(Action::Send { to, addr, frame });
        }
    }

    /// Sends gossip to all active members if it is due, and pulls from peers.
    pub(crate) fn send_gossip(&mut self, now: Now) {
        if now.mono < self.timers.next_gossip_at {
            return;
        }
        self.timers.next_gossip_at = now.mono + self.settings.gossip_interval;
        let zone_gossip = self.build_gossip(now);
        let remote_gossip = Gossip {
            workers: Default::default(),
            ..zone_gossip.clone()
        };
        let roster = &self.log.state().roster;
        let others = roster.active().filter(|(id, _)| **id != self.settings.id);
        let others: Vec<(MemberId, bool)> = others.map(|(id, it)| (id.clone(), it.zone == self.settings.zone)).collect();
        for (id, same_zone) in others {
            let gossip = if same_zone { zone_gossip.clone() } else { remote_gossip.clone() };
            self.send(&id, Message::Gossip(gossip));
        }
        let roster = &self.log.state().roster;
        self.peers.retain(|id, _| roster.get(id).is_some());
        self.pull_from_peers(now);
    }

    fn build_gossip(&self, now: Now) -> Gossip {
        let age_ms = |since: Duration| now.mono.saturating_sub(since).as_millis() as u64;
        let mut gossip = Gossip {
            next: self.log.state().next_offset(),
            log_age_ms: self.log.last_successful_read().map(age_ms),
            open: self.can_start_jobs(now),
            stopping: self.lifecycle != Lifecycle::Active,
            holds: self
                .holds
                .iter()
                .map(|(hold, since)| AgedHold {
                    hold: hold.clone(),
                    age_ms: age_ms(*since),
                })
                .collect(),
            ..Gossip::default()
        };
        for (team, queued) in self.queues.lengths() {
            let usage = TeamUsage {
                running: 0,
                queued: queued as u32,
                short: self.missing_slots(now, team) as u32,
            };
            gossip.teams.insert(team.clone(), usage);
        }
        for (team, running) in self.allotments.used_by_team() {
            gossip.teams.entry(team.clone()).or_default().running = running as u32;
        }
        let busy = self.workers.iter().filter(|(_, it)| 0 < it.own_tasks);
        gossip.workers = busy.map(|(id, it)| (id.clone(), it.own_tasks)).collect();
        gossip
    }

    /// Asks peers for log entries while the view of the log is outdated.
    fn pull_from_peers(&mut self, now: Now) {
        let stale = self.log.replica().age(now.mono).is_none_or(|age| PULL_AGE_THRESHOLD < age);
        let disabled = self.settings.policy.catch_up == CatchUpSource::LogOnly;
        if disabled || !stale || now.mono < self.timers.next_pull_at {
            return;
        }
        self.timers.next_pull_at = now.mono + PULL_INTERVAL;
        self.pending_pulls.retain(|_, sent| now.mono < *sent + PEER_LOST_TIMEOUT);
        let from = self.log.state().next_offset();
        let ids: Vec<MemberId> = self.peers.keys().cloned().collect();
        for id in ids {
            let nonce = self.pending_pulls.keys().last().map_or(1, |it| it + 1);
            self.pending_pulls.insert(nonce, now.mono);
            self.send(&id, Message::Pull { nonce, from });
        }
    }

    pub(crate) fn on_frame(&mut self, now: Now, frame: Frame) {
        self.events.observe(frame.stamp);
        self.peers.entry(frame.from.clone()).or_default().last_heard_at = now.mono;
        for message in frame.messages {
            self.on_message(now, &frame.from, message);
        }
    }

    fn on_message(&mut self, now: Now, from: &MemberId, message: Message) {
        match message {
            Message::Gossip(gossip) => self.on_gossip(now, from, gossip),
            Message::Pull { nonce, from: offset } => self.on_pull(now, from, nonce, offset),
            Message::Pulled {
                nonce,
                tail,
                age_ms,
                log_down,
                delta,
            } => {
                let Some(sent) = self.pending_pulls.remove(&nonce) else {
                    return;
                };
                let age = age_ms.map(Duration::from_millis);
                let seen = age.and_then(|it| sent.checked_sub(it));
                if self.log.replica_mut().apply_delta(seen, tail, &delta).is_ok() {
                    self.on_state(now);
                }
                let agrees = log_down && tail <= self.log.state().next_offset();
                self.peers.entry(from.clone()).or_default().outage_agreed_at = agrees.then_some(sent);
            }
            Message::Assign { job, role } => self.on_assign(now, from, job, role),
            Message::Declined { job } => self.on_declined(now, from, job),
            Message::Report { job, status } => self.on_report(now, from, job, status),
            Message::Thanks { job } => self.on_thanks(from, job),
            Message::Find { job } => self.on_find(from, job),
            Message::Absent { job, next } => self.on_absent(now, from, job, next),
            Message::Cancel { job } if self.jobs.contains_key(&job) => self.on_cancel(now, job),
            Message::Cancel { .. } => {}
        }
    }

    fn on_pull(&mut self, now: Now, from: &MemberId, nonce: u64, offset: Offset) {
        let replica = self.log.replica();
        // Rounded up, so that the peer does not treat the view as younger than it is.
        let age_ms = replica.age(now.mono).map(|it| it.as_millis() as u64 + 1);
        let pulled = Message::Pulled {
            nonce,
            tail: replica.state().next_offset(),
            age_ms,
            log_down: self.log.failing_since(now.mono).is_some(),
            delta: replica.delta_from(offset),
        };
        self.send(from, pulled);
    }

    fn on_gossip(&mut self, now: Now, from: &MemberId, gossip: Gossip) {
        for hold in &gossip.holds {
            self.merge_hold(now, hold.clone());
        }
        let behind = self.log.state().next_offset() < gossip.next;
        if behind && self.log.replica().age(now.mono).is_none_or(|age| PULL_AGE_THRESHOLD < age) {
            self.timers.next_pull_at = now.mono;
        }
        self.peers.entry(from.clone()).or_default().gossip = gossip;
    }

    /// Adds a hold received from a peer, if it is still in force.
    fn merge_hold(&mut self, now: Now, aged: AgedHold) {
        let since = now.mono.saturating_sub(Duration::from_millis(aged.age_ms));
        if self.is_hold_in_force(&aged.hold, since) {
            self.holds.entry(aged.hold).or_insert(since);
        }
    }

    fn on_assign(&mut self, now: Now, from: &MemberId, job: Job, role: Role) {
        let id = job.id;
        if let Some(local) = self.jobs.get_mut(&id) {
            if !local.report_to.contains(from) {
                local.report_to.push(from.clone());
            }
            let status = local.status();
            self.send(from, Message::Report { job: id, status });
            return;
        }
        let phase = match role {
            Role::Run => {
                let must_decline = self.declined.contains_key(&id) || !self.can_start_jobs(now);
                if must_decline {
                    self.declined.insert(id, now.mono);
                    self.send(from, Message::Declined { job: id });
                    return;
                }
                Phase::Queued
            }
            Role::Own if self.log.state().roster.owner(&id) == Some(&self.settings.id) => Phase::Claiming,
            // This entry is not the owner as far as it knows. The sender repeats the
            // assignment until both have the same view of the members.
            Role::Own => return,
        };
        self.admit(now, job, phase);
        if let Some(local) = self.jobs.get_mut(&id) {
            local.report_to.push(from.clone());
        }
        self.process_admitted(now, id);
        let status = self.jobs.get(&id).map(|it| it.status());
        if let Some(status) = status {
            self.send(from, Message::Report { job: id, status });
        }
    }

    fn on_declined(&mut self, now: Now, from: &MemberId, id: JobId) {
        let Some(local) = self.jobs.get(&id) else {
            return;
        };
        let Phase::Delegated(delegation) = &local.phase else {
            return;
        };
        if delegation.to == *from && delegation.role == Role::Run {
            self.requeue(now, id);
        }
    }

    fn on_report(&mut self, now: Now, from: &MemberId, id: JobId, status: Status) {
        let has_ended = matches!(status, Status::Ended(_));
        if has_ended {
            self.send(from, Message::Thanks { job: id });
        }
        if let Some(search) = self.searches.remove(&id) {
            for request_id in search.waiting_requests {
                let status = Some(status.clone());
                self.actions.push(Action::Reply { request_id, status });
            }
        }
        let Some(local) = self.jobs.get_mut(&id) else {
            return;
        };
        match (&mut local.phase, status) {
            (Phase::Delegated(delegation), Status::Ended(outcome)) if delegation.to == *from => match outcome {
                Outcome::NotRun(reason) => self.refuse(now, id, reason),
                outcome => self.finish(now, id, outcome),
            },
            (Phase::Delegated(delegation), _) if delegation.to == *from => {
                delegation.acked = true;
                delegation.last_exchange_at = now.mono;
            }
            // An earlier owner or another entry has the job, and this is its outcome.
            (Phase::Claiming, Status::Ended(outcome)) => self.finish(now, id, outcome),
            (Phase::Confirming(_), Status::Ended(outcome)) => self.finish(now, id, outcome),
            (Phase::Claiming | Phase::Confirming(_), _) => {
                if local.phase == Phase::Confirming(crate::job::NotRunReason::Cancelled) {
                    self.outbox.entry(from.clone()).or_default().push(Message::Cancel { job: id });
                }
                let delegation = crate::entry::Delegation {
                    to: from.clone(),
                    role: Role::Own,
                    acked: true,
                    last_exchange_at: now.mono,
                };
                local.phase = Phase::Delegated(delegation);
            }
            _ => {}
        }
    }

    fn on_thanks(&mut self, from: &MemberId, id: JobId) {
        if let Some(local) = self.jobs.get_mut(&id) {
            local.report_to.retain(|it| it != from);
        }
    }

    fn on_find(&mut self, from: &MemberId, id: JobId) {
        let next = self.log.state().next_offset();
        let Some(local) = self.jobs.get_mut(&id) else {
            self.send(from, Message::Absent { job: id, next });
            return;
        };
        // These jobs were not started here, unless an earlier attempt was.
        let not_started_here = match &local.phase {
            Phase::Claiming | Phase::Confirming(_) => true,
            Phase::Delegated(delegation) => delegation.role == Role::Own || delegation.to == *from,
            _ => false,
        };
        if not_started_here {
            if !local.may_have_run {
                self.send(from, Message::Absent { job: id, next });
            }
            return;
        }
        if !local.report_to.contains(from) {
            local.report_to.push(from.clone());
        }
        let status = local.status();
        self.send(from, Message::Report { job: id, status });
    }

    /// Repeats unanswered assignments and reports, takes jobs back from lost peers, and
    /// delegates jobs that cannot start here.
    pub(crate) fn retry_delegations(&mut self, now: Now) {
        if now.mono < self.timers.next_delegation_check_at {
            return;
        }
        self.timers.next_delegation_check_at = now.mono + Duration::from_millis(100);
        let delegated: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, it)| matches!(it.phase, Phase::Delegated(_)))
            .map(|(id, _)| *id)
            .collect();
        for id in delegated {
            self.retry_delegation(now, id);
        }
        self.repeat_reports();
        self.delegate_queued_jobs(now);
    }

    fn retry_delegation(&mut self, now: Now, id: JobId) {
        let Some(local) = self.jobs.get(&id) else {
            return;
        };
        let Phase::Delegated(delegation) = local.phase.clone() else {
            return;
        };
        let roster = &self.log.state().roster;
        let is_member = roster.is_active(&delegation.to);
        let last_heard_at = self.peers.get(&delegation.to).map_or(Duration::ZERO, |it| it.last_heard_at);
        let lost = !is_member || last_heard_at.max(delegation.last_exchange_at) + PEER_LOST_TIMEOUT <= now.mono;
        if lost && delegation.role == Role::Own {
            // Once that member is fenced, the id has a new owner and the claim starts over.
            // Until then, only that member can decide.
            if let Some(local) = self.jobs.get_mut(&id).filter(|_| !is_member) {
                local.phase = Phase::Claiming;
            }
            return;
        }
        if lost {
            self.on_delegate_lost(now, id);
            return;
        }
        if delegation.last_exchange_at + REPEAT_INTERVAL <= now.mono {
            let job = local.job.clone();
            if let Some(local) = self.jobs.get_mut(&id)
                && let Phase::Delegated(delegation) = &mut local.phase
            {
                delegation.last_exchange_at = now.mono;
            }
            self.send(
                &delegation.to,
                Message::Assign {
                    job,
                    role: delegation.role,
                },
            );
        }
    }

    /// Handles the loss of the peer that was to run a job: queues the job again if it may
    /// be repeated, ends it as unknown otherwise.
    fn on_delegate_lost(&mut self, now: Now, id: JobId) {
        let Some(local) = self.jobs.get_mut(&id) else {
            return;
        };
        local.may_have_run = true;
        if local.job.repeat == Repeat::Forbidden {
            self.finish(now, id, Outcome::Unknown(UnknownReason::WorkerLost));
            return;
        }
        self.requeue(now, id);
    }

    /// Repeats the reports of ended jobs that have not been acknowledged.
    fn repeat_reports(&mut self) {
        let roster = &self.log.state().roster;
        let mut reports = Vec::new();
        for (id, local) in self.jobs.iter_mut().filter(|(_, it)| it.phase.is_ended()) {
            local.report_to.retain(|it| roster.get(it).is_some());
            reports.extend(local.report_to.iter().map(|it| (it.clone(), *id, local.status())));
        }
        for (to, job, status) in reports {
            self.send(&to, Message::Report { job, status });
        }
    }

    /// Delegates queued jobs to peers that accept them, while this entry cannot start any.
    fn delegate_queued_jobs(&mut self, now: Now) {
        if self.can_start_jobs(now) || self.lifecycle == Lifecycle::Joining {
            return;
        }
        let accepting = self
            .peers
            .iter()
            .filter(|(id, it)| now.mono < it.last_heard_at + MAX_SILENCE && it.gossip.open && self.log.state().roster.is_active(id));
        let accepting: Vec<MemberId> = accepting.map(|(id, _)| id.clone()).collect();
        for peer in accepting {
            for _ in 0..MAX_DELEGATIONS_PER_ROUND {
                let Some(id) = self.next_to_delegate() else {
                    return;
                };
                self.delegate(now, id, peer.clone(), Role::Run);
            }
        }
    }

    fn next_to_delegate(&self) -> Option<JobId> {
        use crate::job::Class;
        let classes = [Class::Urgent, Class::Normal].into_iter();
        let mut jobs = classes.flat_map(|class| self.queues.teams_with(class).filter_map(move |it| self.queues.front(it, class)));
        jobs.next()
    }
}
