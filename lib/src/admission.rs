//! Admission of jobs, queries, cancellations and deadlines.
//!
//! A job that must not be repeated is queued only once this entry has established that
//! it owns the job's id and that no earlier owner has accepted the job. A job that may
//! be repeated is queued at once, and is reported as "not run" only after every entry
//! that may have it has answered that it does not.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::clock::Now;
use crate::entry::{Delegation, Entry, JobSearch, Lifecycle, LocalJob, Phase, RequestId, Wait};
use crate::event::Kind;
use crate::id::{self, JobId, MemberId, Offset};
use crate::job::{Class, Job, NotRunReason, Outcome, Repeat, Status, UnknownReason};
use crate::setting;
use crate::wire::{Message, Role};

/// Time for which answers of peers to a search for a job are awaited.
const SEARCH_TIMEOUT: Duration = Duration::from_millis(400);

/// A normal job is refused if its expected wait exceeds this part of the time to its deadline.
const MAX_WAIT_PART: f64 = 0.5;
/// Queue length up to which jobs are not refused for their expected wait.
const SHORT_QUEUE_LENGTH: usize = 4;
/// Time after its deadline for which the report on a delegated job is awaited, in
/// milliseconds.
const REPORT_GRACE_MS: u64 = 1_500;

/// What to do with a job that must not be repeated.
enum ClaimDecision {
    /// This entry owns the id and no other can have accepted the job.
    Accept,
    /// Another member owns the id.
    Forward(MemberId),
    /// These earlier owners of the id may have accepted the job; ask them.
    Ask(BTreeSet<MemberId>),
    /// Cannot be decided yet; retry at the next tick.
    Wait,
    /// It cannot be established whether the job was run before.
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

    /// Answers the request when the job ends, or now if it has ended.
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

    /// Adds a job to those of this entry.
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

    /// Queues an admitted job, or first establishes ownership of its id.
    pub(crate) fn process_admitted(&mut self, now: Now, id: JobId) {
        let Some(local) = self.jobs.get(&id) else {
            return;
        };
        match local.phase {
            Phase::Queued => self.enqueue(now, id),
            Phase::Claiming => self.try_claim(now, id),
            _ => {}
        }
    }

    /// Queues a job, unless its team's queue is full or the wait is likely too long.
    fn enqueue(&mut self, now: Now, id: JobId) {
        let Some(local) = self.jobs.get_mut(&id) else {
            return;
        };
        local.phase = Phase::Queued;
        let (team, class) = (local.job.team.clone(), local.job.class);
        let limit = self.log.state().tree.get_number(&team, setting::QUEUE_LIMIT);
        // A job that would wait too long is refused early, while its caller still has time to
        // submit it elsewhere.
        let left = Duration::from_millis(local.job.deadline_ms.saturating_sub(now.wall_ms()));
        let ahead = self.queues.len(&team);
        let too_long = self
            .run_times
            .estimate_wait(&team, ahead, self.in_use(&team))
            .is_some_and(|wait| left.mul_f64(MAX_WAIT_PART) < wait);
        if too_long && SHORT_QUEUE_LENGTH < ahead && class == Class::Normal {
            let limit = ahead as u64;
            self.refuse(now, id, NotRunReason::QueueFull { team, limit });
            return;
        }
        if self.queues.push(&team, class, id, limit).is_err() {
            self.refuse(now, id, NotRunReason::QueueFull { team, limit });
        }
    }

    /// Retries claims that could not be decided.
    pub(crate) fn retry_claims(&mut self, now: Now) {
        let claiming = |it: &(&JobId, &LocalJob)| it.1.phase == Phase::Claiming;
        let ids: Vec<JobId> = self.jobs.iter().filter(claiming).map(|(id, _)| *id).collect();
        for id in ids {
            self.try_claim(now, id);
        }
    }

    fn try_claim(&mut self, now: Now, id: JobId) {
        match self.decide_claim(now, id) {
            ClaimDecision::Accept => self.enqueue(now, id),
            ClaimDecision::Forward(owner) => self.delegate(now, id, owner, Role::Own),
            ClaimDecision::Ask(owners) => self.ask_earlier_owners(now, id, &owners),
            ClaimDecision::Wait => {}
            ClaimDecision::Unknown(reason) => self.finish(now, id, Outcome::Unknown(reason)),
        }
    }

    fn decide_claim(&self, now: Now, id: JobId) -> ClaimDecision {
        let max_clock_skew_ms = self.settings.max_clock_skew.as_millis() as u64;
        let Some(created_ms) = id::uuid_timestamp_ms(&id) else {
            return ClaimDecision::Unknown(UnknownReason::Age);
        };
        let oldest = now.wall_ms().saturating_sub(self.settings.id_retention.as_millis() as u64 / 2);
        let oldest = oldest.max(self.log.state().roster.history_start_ms(&self.epochs_known_at));
        let is_recent_id = oldest <= created_ms && created_ms <= now.wall_ms() + max_clock_skew_ms;
        if !is_recent_id {
            return ClaimDecision::Unknown(UnknownReason::Age);
        }
        // With an outdated view, an earlier owner could accept the job as well as the
        // current one.
        if self.usable_view_time(now).is_none() || !matches!(self.lifecycle, Lifecycle::Active | Lifecycle::Stopping { .. }) {
            return ClaimDecision::Wait;
        }
        let roster = &self.log.state().roster;
        let Some(owner) = roster.owner(&id) else {
            return ClaimDecision::Wait;
        };
        if *owner != self.settings.id {
            return ClaimDecision::Forward(owner.clone());
        }
        let margin = self.settings.max_view_age + 2 * self.settings.max_clock_skew;
        let earlier = roster.earlier_owners(&self.settings.id, &self.epochs_known_at, &id, created_ms, margin);
        if earlier.is_empty() {
            return ClaimDecision::Accept;
        }
        ClaimDecision::Ask(earlier.into_iter().cloned().collect())
    }

    /// Asks all members for a job that an earlier owner may have accepted. The job is
    /// queued once every earlier owner has answered that it has not accepted it and
    /// never will; it ends as unknown if that takes too long.
    fn ask_earlier_owners(&mut self, now: Now, id: JobId, owners: &BTreeSet<MemberId>) {
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

    /// Handles the answer of a peer that it does not have a job. `next` is the next
    /// offset of the peer's replica.
    pub(crate) fn on_absent(&mut self, now: Now, from: &MemberId, id: JobId, next: Offset) {
        // A peer that has not applied the latest membership change could still accept the
        // job as its owner.
        if next <= self.log.state().roster.current_epoch() {
            return;
        }
        let Some(search) = self.searches.get_mut(&id) else {
            return;
        };
        search.members_without_job.insert(from.clone());
        match self.jobs.get(&id).map(|it| &it.phase) {
            Some(Phase::Claiming) => self.try_claim(now, id),
            Some(Phase::Confirming(_)) => self.try_confirm(now, id),
            _ => {}
        }
    }

    /// Asks all peers for a job, unless a search is under way, and adds the request to
    /// those that wait for it.
    fn start_search(&mut self, now: Now, id: JobId, request_id: Option<RequestId>) {
        let under_way = self.searches.contains_key(&id);
        let search = self.searches.entry(id).or_insert_with(|| JobSearch {
            expires_at: now.mono + SEARCH_TIMEOUT,
            ..JobSearch::default()
        });
        search.waiting_requests.extend(request_id);
        if under_way {
            return;
        }
        let peers: Vec<MemberId> = self.peers.keys().cloned().collect();
        for peer in peers {
            self.send(&peer, Message::Find { job: id });
        }
    }

    /// Answers queries for jobs that no peer reported in time.
    pub(crate) fn expire_searches(&mut self, now: Now) {
        let expired = |it: &JobSearch| it.expires_at <= now.mono;
        let ids: Vec<JobId> = self.searches.iter().filter(|(_, it)| expired(it)).map(|(id, _)| *id).collect();
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
            // The other entry ends the job at the same deadline; wait for its report.
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

    /// Refuses queued jobs whose key has been withdrawn, if the keys have changed
    /// since the last check.
    pub(crate) fn refuse_withdrawn_jobs(&mut self, now: Now) {
        let keys = self.log.state().keys.clone();
        if self
            .allotments
            .checked_keys
            .as_ref()
            .is_some_and(|it| std::sync::Arc::ptr_eq(it, &keys))
        {
            return;
        }
        self.allotments.checked_keys = Some(keys.clone());
        let mut withdrawn = Vec::new();
        for (id, local) in self.jobs.iter().filter(|(_, it)| it.phase == Phase::Queued) {
            if let Err(crate::key::Error::Withdrawn { offset, .. }) = keys.ensure_not_withdrawn(&local.job.key) {
                withdrawn.push((*id, offset));
            }
        }
        for (id, offset) in withdrawn {
            self.refuse(now, id, NotRunReason::KeyWithdrawn { offset });
        }
    }

    /// Ends a job that was not started here. A caller may have submitted a repeatable job
    /// to other entries too, so it ends as "not run" only if none of them has it.
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
        self.try_confirm(now, id);
    }

    /// Ends a refused job as "not run" once every entry that may have it has answered
    /// that it has not, or as unknown if that takes too long.
    fn try_confirm(&mut self, now: Now, id: JobId) {
        let Some(Phase::Confirming(reason)) = self.jobs.get(&id).map(|it| it.phase.clone()) else {
            return;
        };
        let Some(search) = self.searches.get(&id) else {
            return;
        };
        let roster = &self.log.state().roster;
        let margin = self.settings.max_view_age + 2 * self.settings.max_clock_skew;
        let created_ms = id::uuid_timestamp_ms(&id).filter(|it| roster.history_start_ms(&self.epochs_known_at) <= *it);
        let confirmed = created_ms.is_some_and(|created_ms| {
            roster
                .members_since(&self.settings.id, &self.epochs_known_at, created_ms, margin)
                .is_subset(&search.members_without_job.iter().collect())
        });
        if confirmed {
            self.searches.remove(&id);
            self.finish(now, id, Outcome::NotRun(reason));
        } else if search.expires_at <= now.mono {
            self.searches.remove(&id);
            self.finish(now, id, Outcome::Unknown(UnknownReason::Elsewhere));
        }
    }

    /// Retries refusals that peers have not confirmed.
    pub(crate) fn retry_refusals(&mut self, now: Now) {
        let ids: Vec<JobId> = self.searches.keys().copied().collect();
        for id in ids {
            self.try_confirm(now, id);
        }
    }

    /// Assigns a job to another member, as owner of its id or to run it.
    pub(crate) fn delegate(&mut self, now: Now, id: JobId, to: MemberId, role: Role) {
        let Some(local) = self.jobs.get_mut(&id) else {
            return;
        };
        let job = local.job.clone();
        local.phase = Phase::Delegated(Delegation {
            to: to.clone(),
            role,
            acked: false,
            last_exchange_at: now.mono,
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
