//! Talking to other entry instances: gossip, catching up, jobs handed over.

use std::time::Duration;

use crate::clock::Now;
use crate::entry::{Action, CatchUpSource, Entry, Lifecycle, Phase};
use crate::id::{JobId, MemberId, Offset};
use crate::job::{Job, Outcome, Repeat, Status, UnknownReason};
use crate::wire::{AgedHold, Frame, Gossip, Message, Role, TeamUsage};

/// Age of knowledge above which a replica asks peers.
const PULL_AFTER: Duration = Duration::from_millis(600);
/// Time between two questions to peers.
const PULL_EVERY: Duration = Duration::from_millis(200);
/// Time between two copies of an unanswered message.
const REPEAT_EVERY: Duration = Duration::from_millis(300);
/// Silence after which a peer gets no jobs.
const PEER_SILENT: Duration = Duration::from_millis(1_000);
/// Silence after which a job handed to a peer is given up or repeated.
const PEER_LOST: Duration = Duration::from_millis(4_000);
/// Jobs handed to one peer in one round.
const DELEGATIONS_PER_ROUND: usize = 16;

impl Entry {
    /// Puts a message into the frame for a peer; unknown peers are skipped.
    pub(crate) fn send(&mut self, to: &MemberId, message: Message) {
        self.outbox.entry(to.clone()).or_default().push(message);
    }

    pub(crate) fn flush(&mut self) {
        let outbox = std::mem::take(&mut self.outbox);
        for (to, messages) in outbox {
            let Some(member) = self.journal.state().roster.get(&to) else {
                continue;
            };
            let addr = member.addr;
            let frame = Frame {
                from: self.cfg.id.clone(),
                stamp: self.events.stamp(),
                messages,
            };
            self.actions.push(Action::Send { to, addr, frame });
        }
    }

    /// Tells all members what this entry knows and runs.
    pub(crate) fn gossip(&mut self, now: Now) {
        if now.mono < self.timers.next_gossip_at {
            return;
        }
        self.timers.next_gossip_at = now.mono + self.cfg.gossip_interval;
        let near = self.build_gossip(now);
        let far = Gossip {
            workers: Default::default(),
            ..near.clone()
        };
        let roster = &self.journal.state().roster;
        let others = roster.active().filter(|(id, _)| **id != self.cfg.id);
        let others: Vec<(MemberId, bool)> = others.map(|(id, it)| (id.clone(), it.zone == self.cfg.zone)).collect();
        for (id, is_near) in others {
            let gossip = if is_near { near.clone() } else { far.clone() };
            self.send(&id, Message::Gossip(gossip));
        }
        let roster = &self.journal.state().roster;
        self.peers.retain(|id, _| roster.get(id).is_some());
        self.pull(now);
    }

    fn build_gossip(&self, now: Now) -> Gossip {
        let millis = |since: Duration| now.mono.saturating_sub(since).as_millis() as u64;
        let mut gossip = Gossip {
            next: self.journal.state().next_offset(),
            log_age_ms: self.journal.last_successful_read().map(millis),
            open: self.can_start_jobs(now),
            stopping: self.lifecycle != Lifecycle::Active,
            holds: self
                .holds
                .iter()
                .map(|(hold, since)| AgedHold {
                    hold: hold.clone(),
                    age_ms: millis(*since),
                })
                .collect(),
            ..Gossip::default()
        };
        for (team, queued) in self.queues.lengths() {
            let used = TeamUsage {
                running: 0,
                queued: queued as u32,
                short: self.missing_slots(now, team) as u32,
            };
            gossip.teams.insert(team.clone(), used);
        }
        for (team, running) in self.allotments.used_by_team() {
            gossip.teams.entry(team.clone()).or_default().running = running as u32;
        }
        let busy = self.workers.iter().filter(|(_, it)| 0 < it.own_tasks);
        gossip.workers = busy.map(|(id, it)| (id.clone(), it.own_tasks)).collect();
        gossip
    }

    /// Asks peers for what the log does not say.
    fn pull(&mut self, now: Now) {
        let stale = self.journal.replica().age(now.mono).is_none_or(|age| PULL_AFTER < age);
        let off = self.cfg.policy.catch_up == CatchUpSource::LogOnly;
        if off || !stale || now.mono < self.timers.next_pull_at {
            return;
        }
        self.timers.next_pull_at = now.mono + PULL_EVERY;
        self.pending_pulls.retain(|_, sent| now.mono < *sent + PEER_LOST);
        let from = self.journal.state().next_offset();
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
                if self.journal.replica_mut().apply_delta(seen, tail, &delta).is_ok() {
                    self.on_state(now);
                }
                let agrees = log_down && tail <= self.journal.state().next_offset();
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
        let replica = self.journal.replica();
        // Rounded up: a peer must not take what was seen for younger than it is.
        let age_ms = replica.age(now.mono).map(|it| it.as_millis() as u64 + 1);
        let pulled = Message::Pulled {
            nonce,
            tail: replica.state().next_offset(),
            age_ms,
            log_down: self.journal.failing_since(now.mono).is_some(),
            delta: replica.delta_from(offset),
        };
        self.send(from, pulled);
    }

    fn on_gossip(&mut self, now: Now, from: &MemberId, gossip: Gossip) {
        for hold in &gossip.holds {
            self.merge_hold(now, hold.clone());
        }
        let behind = self.journal.state().next_offset() < gossip.next;
        if behind && self.journal.replica().age(now.mono).is_none_or(|age| PULL_AFTER < age) {
            self.timers.next_pull_at = now.mono;
        }
        self.peers.entry(from.clone()).or_default().gossip = gossip;
    }

    /// Takes a hold over from a peer, unless it is recorded or over by now.
    fn merge_hold(&mut self, now: Now, restriction: AgedHold) {
        let since = now.mono.saturating_sub(Duration::from_millis(restriction.age_ms));
        if self.is_in_force(&restriction.hold, since) {
            self.holds.entry(restriction.hold).or_insert(since);
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
                let decline = self.declined.contains_key(&id) || !self.can_start_jobs(now);
                if decline {
                    self.declined.insert(id, now.mono);
                    self.send(from, Message::Declined { job: id });
                    return;
                }
                Phase::Queued
            }
            Role::Own if self.journal.state().roster.owner(&id) == Some(&self.cfg.id) => Phase::Claiming,
            // The sender asks again once both know the same members.
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
        let ended = matches!(status, Status::Ended(_));
        if ended {
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
                delegation.last_sent_at = now.mono;
            }
            // An id that an earlier owner may have: it does, and this is its state.
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
                    last_sent_at: now.mono,
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
        let next = self.journal.state().next_offset();
        let Some(local) = self.jobs.get_mut(&id) else {
            self.send(from, Message::Absent { job: id, next });
            return;
        };
        // A job handed to another entry was not started here, unless an earlier try was.
        let elsewhere = match &local.phase {
            Phase::Claiming | Phase::Confirming(_) => true,
            Phase::Delegated(delegation) => delegation.role == Role::Own || delegation.to == *from,
            _ => false,
        };
        if elsewhere {
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

    /// Repeats unanswered messages, takes jobs back from lost peers, and hands
    /// out what cannot start here.
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
        let roster = &self.journal.state().roster;
        let known = roster.is_active(&delegation.to);
        let last_heard_at = self.peers.get(&delegation.to).map_or(Duration::ZERO, |it| it.last_heard_at);
        let lost = !known || last_heard_at.max(delegation.last_sent_at) + PEER_LOST <= now.mono;
        if lost && delegation.role == Role::Own {
            // The id has a new owner, which knows what it can tell.
            if let Some(local) = self.jobs.get_mut(&id).filter(|_| !known) {
                local.phase = Phase::Claiming;
            }
            return;
        }
        if lost {
            self.take_back(now, id);
            return;
        }
        if delegation.last_sent_at + REPEAT_EVERY <= now.mono {
            let job = local.job.clone();
            if let Some(local) = self.jobs.get_mut(&id)
                && let Phase::Delegated(delegation) = &mut local.phase
            {
                delegation.last_sent_at = now.mono;
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

    /// The peer that was to run a job is lost.
    fn take_back(&mut self, now: Now, id: JobId) {
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

    fn repeat_reports(&mut self) {
        let roster = &self.journal.state().roster;
        let mut reports = Vec::new();
        for (id, local) in self.jobs.iter_mut().filter(|(_, it)| it.phase.is_ended()) {
            local.report_to.retain(|it| roster.get(it).is_some());
            reports.extend(local.report_to.iter().map(|it| (it.clone(), *id, local.status())));
        }
        for (to, job, status) in reports {
            self.send(&to, Message::Report { job, status });
        }
    }

    /// Hands queued jobs that cannot start here to open entries of other zones.
    fn delegate_queued_jobs(&mut self, now: Now) {
        if self.can_start_jobs(now) || self.lifecycle == Lifecycle::Joining {
            return;
        }
        let open = self
            .peers
            .iter()
            .filter(|(id, it)| now.mono < it.last_heard_at + PEER_SILENT && it.gossip.open && self.journal.state().roster.is_active(id));
        let open: Vec<MemberId> = open.map(|(id, _)| id.clone()).collect();
        for peer in open {
            for _ in 0..DELEGATIONS_PER_ROUND {
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
