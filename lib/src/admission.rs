//! Taking jobs in: ownership of ids that may run once only, queries, cancels.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::clock::Now;
use crate::entry::{Delegation, Entry, JobSearch, Lifecycle, LocalJob, Phase, RequestId, Wait};
use crate::event::Kind;
use crate::id::{self, JobId, MemberId, Offset};
use crate::job::{Class, Job, NotRunReason, Outcome, Repeat, Status, UnknownReason};
use crate::setting;
use crate::wire::{Message, Role};

/// Time for which peers are asked whether they have a job.
const FIND_TIME: Duration = Duration::from_millis(400);

/// Part of the time to its deadline that a job may be expected to queue.
const QUEUE_PART: f64 = 0.5;
/// Queue length up to which no wait is predicted.
const SHORT_QUEUE: usize = 4;
/// Time after a deadline for another entry's report, milliseconds.
const REPORT_GRACE_MS: u64 = 1_500;

/// What to do with an id that may run once only.
enum ClaimDecision {
    /// This entry takes it as first.
    Take,
    /// Another member owns it.
    Forward(MemberId),
    /// An earlier owner may have it: ask around.
    Ask(BTreeSet<MemberId>),
    /// Not certain now; look again later.
    Wait,
    /// Its fate cannot be known.
    Unknown(UnknownReason),
}

impl Entry {
    pub(crate) fn on_submit(&mut self, now: Now, request_id: RequestId, job: Job) {
        let id = job.id;
        if let Some(local) = self.jobs.get_mut(&id) {
            if local.job.team != job.team {
                let outcome = Outcome::NotRun(NotRunReason::IdTaken);
                self.reply_ended(request_id, outcome);
                return;
            }
            self.attach_request(request_id, id);
            return;
        }
        let phase = match job.repeat {
            Repeat::Allowed => Phase::Queued,
            Repeat::Forbidden => Phase::Claiming,
        };
        self.admit(now, job, phase);
        self.attach_request(request_id, id);
        self.process_admitted(now, id);
    }

    /// Adds a waiting caller, or answers it if the job has ended.
    fn attach_request(&mut self, request_id: RequestId, id: JobId) {
        let Some(local) = self.jobs.get_mut(&id) else {
            return;
        };
        if local.phase.is_ended() {
            let status = Some(local.status());
            self.actions.push(crate::entry::Action::Reply { request_id, status });
            return;
        }
        local.waiting_requests.push(request_id);
    }

    fn reply_ended(&mut self, request_id: RequestId, outcome: Outcome) {
        let status = Some(Status::Ended(outcome));
        self.actions.push(crate::entry::Action::Reply { request_id, status });
    }

    /// Records a job as held here.
    pub(crate) fn admit(&mut self, now: Now, job: Job, phase: Phase) {
        let id = job.id;
        self.counters.accepted += 1;
        self.events.push(
            now,
            Kind::Accepted {
                job: id,
                team: job.team.clone(),
                key: job.key.clone(),
            },
        );
        self.deadlines.insert((job.deadline_ms, id));
        self.jobs.insert(id, LocalJob::new(job, now, phase));
    }

    /// TeamQueues an admitted job, or settles its ownership first.
    pub(crate) fn process_admitted(&mut self, now: Now, id: JobId) {
        let Some(local) = self.jobs.get(&id) else {
            return;
        };
        match local.phase {
            Phase::Queued => self.enqueue(now, id),
            Phase::Claiming => self.claim(now, id),
            _ => {}
        }
    }

    fn enqueue(&mut self, now: Now, id: JobId) {
        let Some(local) = self.jobs.get_mut(&id) else {
            return;
        };
        local.phase = Phase::Queued;
        let (team, class) = (local.job.team.clone(), local.job.class);
        let limit = self.journal.state().tree.get_number(&team, setting::QUEUE_LIMIT);
        // A job that would wait past its deadline is refused while there is time to go elsewhere.
        let left = Duration::from_millis(local.job.deadline_ms.saturating_sub(now.wall_ms()));
        let ahead = self.queues.len(&team);
        let late = self
            .run_times
            .estimate_wait(&team, ahead, self.in_use(&team))
            .is_some_and(|wait| left.mul_f64(QUEUE_PART) < wait);
        if late && SHORT_QUEUE < ahead && class == Class::Normal {
            let limit = ahead as u64;
            self.refuse(now, id, NotRunReason::QueueFull { team, limit });
            return;
        }
        if self.queues.push(&team, class, id, limit).is_err() {
            self.refuse(now, id, NotRunReason::QueueFull { team, limit });
        }
    }

    /// Looks again at jobs whose ownership was not certain.
    pub(crate) fn retry_claims(&mut self, now: Now) {
        let claiming = |it: &(&JobId, &LocalJob)| it.1.phase == Phase::Claiming;
        let ids: Vec<JobId> = self.jobs.iter().filter(claiming).map(|(id, _)| *id).collect();
        for id in ids {
            self.claim(now, id);
        }
    }

    fn claim(&mut self, now: Now, id: JobId) {
        match self.decide_claim(now, id) {
            ClaimDecision::Take => self.enqueue(now, id),
            ClaimDecision::Forward(owner) => self.delegate(now, id, owner, Role::Own),
            ClaimDecision::Ask(owners) => self.query_earlier_owners(now, id, &owners),
            ClaimDecision::Wait => {}
            ClaimDecision::Unknown(reason) => self.finish(now, id, Outcome::Unknown(reason)),
        }
    }

    fn decide_claim(&self, now: Now, id: JobId) -> ClaimDecision {
        let max_clock_skew_ms = self.cfg.max_clock_skew.as_millis() as u64;
        let Some(mint_ms) = id::uuid_timestamp_ms(&id) else {
            return ClaimDecision::Unknown(UnknownReason::Age);
        };
        let oldest = now.wall_ms().saturating_sub(self.cfg.id_retention.as_millis() as u64 / 2);
        let oldest = oldest.max(self.journal.state().roster.history_start_ms(&self.epochs_known_at));
        let in_time = oldest <= mint_ms && mint_ms <= now.wall_ms() + max_clock_skew_ms;
        if !in_time {
            return ClaimDecision::Unknown(UnknownReason::Age);
        }
        // An owner acts on a fresh view only, or an old one could act beside a new one.
        if self.usable_view_time(now).is_none() || !matches!(self.lifecycle, Lifecycle::Active | Lifecycle::Stopping { .. }) {
            return ClaimDecision::Wait;
        }
        let roster = &self.journal.state().roster;
        let Some(owner) = roster.owner(&id) else {
            return ClaimDecision::Wait;
        };
        if *owner != self.cfg.id {
            return ClaimDecision::Forward(owner.clone());
        }
        let margin = self.cfg.max_view_age + 2 * self.cfg.max_clock_skew;
        let earlier = roster.earlier_owners(&self.cfg.id, &self.epochs_known_at, &id, mint_ms, margin);
        if earlier.is_empty() {
            return ClaimDecision::Take;
        }
        ClaimDecision::Ask(earlier.into_iter().cloned().collect())
    }

    /// Asks all members for a job that an earlier owner may have. It is first
    /// here once every earlier owner says that it has not taken it and never will.
    fn query_earlier_owners(&mut self, now: Now, id: JobId, owners: &BTreeSet<MemberId>) {
        let Some(search) = self.searches.get(&id) else {
            self.start_search(now, id, None);
            return;
        };
        if owners.is_subset(&search.members_without_job) {
            self.searches.remove(&id);
            self.enqueue(now, id);
        } else if search.expires_at <= now.mono {
            self.searches.remove(&id);
            self.finish(now, id, Outcome::Unknown(UnknownReason::EarlierOwner));
        }
    }

    /// A peer does not have a job; `next` tells which members it knows.
    pub(crate) fn on_absent(&mut self, now: Now, from: &MemberId, id: JobId, next: Offset) {
        // Only who knows of the latest owner will certainly not take the job itself.
        if next <= self.journal.state().roster.current_epoch() {
            return;
        }
        let Some(search) = self.searches.get_mut(&id) else {
            return;
        };
        search.members_without_job.insert(from.clone());
        match self.jobs.get(&id).map(|it| &it.phase) {
            Some(Phase::Claiming) => self.claim(now, id),
            Some(Phase::Confirming(_)) => self.confirm(now, id),
            _ => {}
        }
    }

    fn start_search(&mut self, now: Now, id: JobId, request_id: Option<RequestId>) {
        let known = self.searches.contains_key(&id);
        let search = self.searches.entry(id).or_insert_with(|| JobSearch {
            expires_at: now.mono + FIND_TIME,
            ..JobSearch::default()
        });
        search.waiting_requests.extend(request_id);
        if known {
            return;
        }
        let peers: Vec<MemberId> = self.peers.keys().cloned().collect();
        for peer in peers {
            self.send(&peer, Message::Find { job: id });
        }
    }

    /// Answers questions about unknown jobs when no peer has them.
    pub(crate) fn expire_searches(&mut self, now: Now) {
        let over = |it: &JobSearch| it.expires_at <= now.mono;
        let ids: Vec<JobId> = self.searches.iter().filter(|(_, it)| over(it)).map(|(id, _)| *id).collect();
        for id in ids {
            if self.jobs.contains_key(&id) {
                continue;
            }
            let search = self.searches.remove(&id).unwrap_or_default();
            for request_id in search.waiting_requests {
                self.actions.push(crate::entry::Action::Reply { request_id, status: None });
            }
        }
    }

    pub(crate) fn on_query(&mut self, now: Now, request_id: RequestId, id: JobId, wait: Wait) {
        let Some(local) = self.jobs.get_mut(&id) else {
            self.start_search(now, id, Some(request_id));
            return;
        };
        if wait == Wait::UntilEnded && !local.phase.is_ended() {
            local.waiting_requests.push(request_id);
            return;
        }
        let status = Some(local.status());
        self.actions.push(crate::entry::Action::Reply { request_id, status });
    }

    pub(crate) fn on_cancel(&mut self, now: Now, id: JobId) {
        let Some(local) = self.jobs.get(&id) else {
            let peers: Vec<MemberId> = self.peers.keys().cloned().collect();
            for peer in peers {
                self.send(&peer, Message::Cancel { job: id });
            }
            return;
        };
        match local.phase.clone() {
            Phase::Queued => self.refuse(now, id, NotRunReason::Cancelled),
            Phase::Claiming => self.finish(now, id, Outcome::Unknown(UnknownReason::Cancelled)),
            Phase::Running(task) => {
                self.stop_task(task, false);
                self.finish(now, id, Outcome::Unknown(UnknownReason::Cancelled));
            }
            Phase::Delegated(delegation) => self.send(&delegation.to, Message::Cancel { job: id }),
            Phase::Confirming(_) | Phase::Ended(_) => {}
        }
    }

    pub(crate) fn on_deadline(&mut self, now: Now, id: JobId) {
        let Some(local) = self.jobs.get(&id) else {
            return;
        };
        let deadline_ms = local.job.deadline_ms;
        match local.phase.clone() {
            Phase::Queued => self.refuse(now, id, NotRunReason::Deadline),
            Phase::Claiming => self.finish(now, id, Outcome::Unknown(UnknownReason::OwnerUnreachable)),
            Phase::Running(task) => {
                self.stop_task(task, false);
                self.finish(now, id, Outcome::Unknown(UnknownReason::Deadline));
            }
            // The other entry ends it at the same deadline; its report is waited for a little.
            Phase::Delegated(_) if now.wall_ms() < deadline_ms + REPORT_GRACE_MS => {
                self.deadlines.insert((deadline_ms + REPORT_GRACE_MS, id));
            }
            Phase::Delegated(delegation) if delegation.role == Role::Own && !delegation.acked => {
                self.finish(now, id, Outcome::Unknown(UnknownReason::OwnerUnreachable));
            }
            Phase::Delegated(_) => self.finish(now, id, Outcome::Unknown(UnknownReason::Deadline)),
            Phase::Confirming(_) | Phase::Ended(_) => {}
        }
    }

    /// Ends queued jobs whose key has been withdrawn.
    pub(crate) fn drop_withdrawn(&mut self, now: Now) {
        let keys = self.journal.state().keys.clone();
        if self
            .allotments
            .checked_keys
            .as_ref()
            .is_some_and(|it| std::sync::Arc::ptr_eq(it, &keys))
        {
            return;
        }
        self.allotments.checked_keys = Some(keys.clone());
        let mut ended = Vec::new();
        for (id, local) in self.jobs.iter().filter(|(_, it)| it.phase == Phase::Queued) {
            if let Err(crate::key::Error::Withdrawn { offset, .. }) = keys.ensure_not_withdrawn(&local.job.key) {
                ended.push((*id, offset));
            }
        }
        for (id, offset) in ended {
            self.refuse(now, id, NotRunReason::KeyWithdrawn { offset });
        }
    }

    /// Ends a job that was not started here. A caller may have given a job that
    /// may be repeated to other entries too: "not run" is said only if none has it.
    pub(crate) fn refuse(&mut self, now: Now, id: JobId, reason: NotRunReason) {
        let Some(local) = self.jobs.get_mut(&id) else {
            return;
        };
        if local.is_at_most_once() || local.may_have_run {
            self.finish(now, id, Outcome::NotRun(reason));
            return;
        }
        let (team, class) = (local.job.team.clone(), local.job.class);
        local.phase = Phase::Confirming(reason);
        self.queues.remove(&team, class, id);
        self.searches.remove(&id);
        self.start_search(now, id, None);
        self.confirm(now, id);
    }

    /// Ends a refused job once every entry that may have been given it has said
    /// that it has not, or when that takes too long.
    fn confirm(&mut self, now: Now, id: JobId) {
        let Some(Phase::Confirming(reason)) = self.jobs.get(&id).map(|it| it.phase.clone()) else {
            return;
        };
        let Some(search) = self.searches.get(&id) else {
            return;
        };
        let roster = &self.journal.state().roster;
        let margin = self.cfg.max_view_age + 2 * self.cfg.max_clock_skew;
        let mint_ms = id::uuid_timestamp_ms(&id).filter(|it| roster.history_start_ms(&self.epochs_known_at) <= *it);
        let certain = mint_ms.is_some_and(|mint_ms| {
            roster
                .members_since(&self.cfg.id, &self.epochs_known_at, mint_ms, margin)
                .is_subset(&search.members_without_job.iter().collect())
        });
        if certain {
            self.searches.remove(&id);
            self.finish(now, id, Outcome::NotRun(reason));
        } else if search.expires_at <= now.mono {
            self.searches.remove(&id);
            self.finish(now, id, Outcome::Unknown(UnknownReason::Elsewhere));
        }
    }

    /// Looks again at refusals that peers have not confirmed.
    pub(crate) fn retry_refusals(&mut self, now: Now) {
        let ids: Vec<JobId> = self.searches.keys().copied().collect();
        for id in ids {
            self.confirm(now, id);
        }
    }

    /// Hands a job to another member.
    pub(crate) fn delegate(&mut self, now: Now, id: JobId, to: MemberId, role: Role) {
        let Some(local) = self.jobs.get_mut(&id) else {
            return;
        };
        let job = local.job.clone();
        local.phase = Phase::Delegated(Delegation {
            to: to.clone(),
            role,
            acked: false,
            last_sent_at: now.mono,
        });
        self.queues.remove(&job.team, job.class, id);
        self.events.push(
            now,
            Kind::Delegated {
                job: id,
                team: job.team.clone(),
                to: to.clone(),
            },
        );
        self.send(&to, Message::Assign { job, role });
    }
}
