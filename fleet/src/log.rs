//! Calls to the log, sent again on a new connection when an answer is overdue.
//!
//! All calls are idempotent: an append with a position is carried out once, one without
//! replaces the newest records of its keys by the same values, and the others are reads
//! or renew a membership.

use std::collections::HashMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::{Mutex, MutexGuard};
use std::task::Poll;
use std::time::Duration;

use oriole_platform::log::{
    AppendPosition, Entry, Error, GroupAssignment, JOBS, LogClient, Partition, PartitionHolder, REQUESTS, ReadResult,
};
use oriolewall::log_view::ReadLimits;
use oriolewall::platform;
use oriolewall::resend::{AnswerTimes, CallKind, PromptAnswers, ResendBudget};
use prometheus::IntCounterVec;
use tokio::time::Instant;

use crate::{clock, overdue};

/// Most attempts of one call in flight.
const MAX_ATTEMPTS: usize = 4;
/// Time until it is checked again whether an answer is lost.
const RECHECK_INTERVAL: Duration = Duration::from_millis(40);

/// Calls that share answer times and a budget of resends: those of one kind, appends also by
/// partition, as each partition has a queue of its own in the log service.
type CallGroup = (CallKind, Option<Partition>);

/// Time limit of a read that checks whether another one is silent.
const CHECK_TIMEOUT: Duration = Duration::from_millis(1500);

/// Client of the log that sends calls again.
#[derive(Debug)]
pub struct Log {
    client: LogClient,
    /// Client of calls that are sent again.
    resend_client: LogClient,
    pacing: Mutex<HashMap<CallGroup, Pacing>>,
    prompt_answers: Mutex<PromptAnswers>,
    /// Overdue calls by outcome: `sent` again, or `denied` by the budget.
    resends: IntCounterVec,
}

#[derive(Debug)]
struct Pacing {
    answer_times: AnswerTimes,
    budget: ResendBudget,
    /// Budget of calls whose answer is known to be lost.
    lost_budget: ResendBudget,
}

/// Outcome of a read that waits for records.
#[derive(Debug)]
pub struct Followed {
    /// The records, or why the read failed.
    pub result: Result<ReadResult, Error>,
    /// Monotonic time as of which the result tells the end of the partition.
    pub as_of: Duration,
    /// Time for which the read that waited had no answer when another one gave the result; `None`
    /// if it was answered itself.
    pub silent_for: Option<Duration>,
}

impl Followed {
    /// Creates the outcome of a read that was answered or has failed, from its send time and the
    /// time for which the log was to wait.
    fn new(result: Result<ReadResult, Error>, from: u64, sent: Duration, wait: Duration) -> Followed {
        // A partition that does not exist is answered without a wait.
        let has_no_records = |it: &ReadResult| it.next == from && it.end.is_some_and(|end| end <= from);
        let has_waited = result.as_ref().is_ok_and(has_no_records) && sent + wait <= clock::now().mono;
        Followed {
            result,
            as_of: if has_waited { sent + wait } else { sent },
            silent_for: None,
        }
    }
}

type Attempt<'a, T> = Pin<Box<dyn Future<Output = Result<T, Error>> + Send + 'a>>;

impl Log {
    /// Creates a client. `resends` counts overdue calls by outcome: `sent` again, or `denied`
    /// by the budget.
    pub fn new(client: LogClient, resends: IntCounterVec) -> Log {
        Log {
            resend_client: client.on_new_connections(),
            client,
            pacing: Mutex::default(),
            prompt_answers: Mutex::default(),
            resends,
        }
    }

    /// See [`LogClient::append`]. The timeout applies to all attempts together, here and below.
    pub async fn append(
        &self,
        part: Partition,
        position: Option<AppendPosition>,
        entries: &[Entry],
        timeout: Duration,
    ) -> Result<(), Error> {
        let group = match part.topic {
            REQUESTS => (CallKind::Requests, Some(part)),
            JOBS => (CallKind::Commit, Some(part)),
            _ => (CallKind::Configuration, None),
        };
        self.call(group, timeout, |client, left| {
            Box::pin(client.append(part, position, entries, left))
        })
        .await
    }

    /// See [`LogClient::read_newest`]. It is sent once, as it reads many pages of up to 1 MB.
    pub async fn read_newest(&self, part: Partition, timeout: Duration) -> Result<ReadResult, Error> {
        self.client.read_newest(part, timeout).await
    }

    /// Reads the records from an offset on that the log holds now. See [`LogClient::read`].
    pub async fn read(&self, part: Partition, from: u64, timeout: Duration) -> Result<ReadResult, Error> {
        let group = (CallKind::Configuration, None);
        self.call(group, timeout, |client, left| {
            Box::pin(client.read(part, from, Duration::ZERO, left))
        })
        .await
    }

    /// Reads records from an offset on, and waits for the first one if there are none. If the answer
    /// is overdue, another read on a new connection checks what the log holds; the first answer to
    /// either counts.
    pub async fn follow(&self, part: Partition, from: u64, limits: ReadLimits) -> Followed {
        let (sent, sent_at) = (clock::now().mono, std::time::Instant::now());
        let timeout = limits.overdue_after + CHECK_TIMEOUT;
        let mut waiting = std::pin::pin!(self.client.read(part, from, limits.wait, timeout));
        if let Some(result) = overdue::answer_within(&mut waiting, limits.overdue_after).await {
            return Followed::new(result, from, sent, limits.wait);
        }
        let checked = clock::now().mono;
        tokio::select! {
            result = &mut waiting => Followed::new(result, from, sent, limits.wait),
            result = self.check(part, from) => {
                // Other connections may be as silent as the one of the first read.
                self.client.close_idle_since(sent_at);
                Followed {
                    silent_for: Some(clock::now().mono.saturating_sub(sent)),
                    ..Followed::new(result, from, checked, Duration::ZERO)
                }
            }
        }
    }

    /// Reads like [`Log::read`], on new connections only.
    async fn check(&self, part: Partition, from: u64) -> Result<ReadResult, Error> {
        let group = (CallKind::Configuration, None);
        self.call(group, CHECK_TIMEOUT, |_, left| {
            Box::pin(self.resend_client.read(part, from, Duration::ZERO, left))
        })
        .await
    }

    /// See [`LogClient::join`]. A join is sent once: one that the log carries out seconds late
    /// makes a process that has ended a member again.
    pub async fn join(
        &self,
        group: &str,
        member: &str,
        ttl: Duration,
        generation: u64,
        timeout: Duration,
    ) -> Result<GroupAssignment, Error> {
        self.client.join(group, member, ttl, generation, timeout).await
    }

    /// See [`LogClient::leave`].
    pub async fn leave(&self, group: &str, member: &str, timeout: Duration) -> Result<(), Error> {
        let calls = (CallKind::Membership, None);
        self.call(calls, timeout, |client, left| Box::pin(client.leave(group, member, left)))
            .await
    }

    /// See [`LogClient::owners`].
    pub async fn owners(&self, group: &str, timeout: Duration) -> Result<Vec<PartitionHolder>, Error> {
        let calls = (CallKind::Membership, None);
        self.call(calls, timeout, |client, left| Box::pin(client.owners(group, left))).await
    }

    /// Makes a call and sends it again while its answer is overdue. Earlier attempts go on:
    /// the first answer of any of them counts. `attempt` gets the client and the time that is left.
    /// Later attempts use new connections, as the one of the first may not be the only silent one.
    async fn call<'a, T, F>(&'a self, group: CallGroup, timeout: Duration, mut attempt: F) -> Result<T, Error>
    where
        F: FnMut(&'a LogClient, Duration) -> Attempt<'a, T>,
    {
        let deadline = Instant::now() + timeout;
        let mut overdue_after = self.with_pacing(group, |it| {
            it.budget.record_call();
            it.lost_budget.record_call();
            it.answer_times.overdue_after()
        });
        let mut last_sent = clock::now().mono;
        let mut attempts = vec![(Instant::now(), attempt(&self.client, timeout))];
        let mut lost = None;
        let mut resend_at = Instant::now() + overdue_after;
        loop {
            let answer = tokio::select! {
                answer = first_answer(&mut attempts) => answer,
                () = tokio::time::sleep_until(resend_at), if attempts.len() < MAX_ATTEMPTS && resend_at < deadline => {
                    let now = clock::now().mono;
                    if group.0.requires_loss() && !self.prompt_answers().is_lost(now, last_sent, overdue_after) {
                        resend_at = Instant::now() + RECHECK_INTERVAL;
                        continue;
                    }
                    overdue_after *= 2;
                    resend_at = Instant::now() + overdue_after;
                    let is_lost = self.prompt_answers().is_answered_since(last_sent);
                    let is_allowed = self.with_pacing(group, |it| match is_lost {
                        true => it.lost_budget.take(),
                        false => it.budget.take(),
                    });
                    self.resends.with_label_values(&[if is_allowed { "sent" } else { "denied" }]).inc();
                    if is_allowed {
                        last_sent = now;
                        attempts.push((Instant::now(), attempt(&self.resend_client, deadline - Instant::now())));
                    }
                    continue;
                }
            };
            let (sent, result) = answer;
            match result {
                Err(err @ Error::Call(platform::Error::Lost)) => lost = Some(err),
                // The call may have taken effect if any of its attempts may.
                Err(err @ Error::Call(_)) if attempts.is_empty() => return Err(lost.unwrap_or(err)),
                Err(Error::Call(_)) => {}
                result => {
                    let time = sent.elapsed();
                    self.with_pacing(group, |it| it.answer_times.record(time));
                    self.prompt_answers().record(clock::now().mono.saturating_sub(time), time);
                    return result;
                }
            }
            if let Some(err) = lost.clone().filter(|_| attempts.is_empty()) {
                return Err(err);
            }
        }
    }

    fn prompt_answers(&self) -> MutexGuard<'_, PromptAnswers> {
        self.prompt_answers.lock().unwrap_or_else(|it| it.into_inner())
    }

    fn with_pacing<T, F>(&self, group: CallGroup, action: F) -> T
    where
        F: FnOnce(&mut Pacing) -> T,
    {
        let mut pacing = self.pacing.lock().unwrap_or_else(|it| it.into_inner());
        let new_pacing = || Pacing {
            answer_times: group.0.answer_times(),
            budget: group.0.budget(),
            lost_budget: ResendBudget::of_lost_answers(),
        };
        action(pacing.entry(group).or_insert_with(new_pacing))
    }
}

/// Waits for the first answer to any attempt, and removes that attempt.
async fn first_answer<T>(attempts: &mut Vec<(Instant, Attempt<'_, T>)>) -> (Instant, Result<T, Error>) {
    std::future::poll_fn(|context| {
        for index in 0..attempts.len() {
            if let Poll::Ready(result) = attempts[index].1.as_mut().poll(context) {
                let (sent, _) = attempts.swap_remove(index);
                return Poll::Ready((sent, result));
            }
        }
        Poll::Pending
    })
    .await
}
