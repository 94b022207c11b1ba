//! Calls to the log, sent again when an answer is overdue.
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
use oriolewall::platform;
use oriolewall::resend::{AnswerTimes, CallKind, PromptAnswers, ResendBudget};
use prometheus::IntCounterVec;
use tokio::time::Instant;

use crate::clock;

/// Most attempts of one call in flight.
const MAX_ATTEMPTS: usize = 4;
/// Time until it is checked again whether an answer is lost.
const RECHECK_INTERVAL: Duration = Duration::from_millis(40);

/// Calls that share answer times and a budget of resends: those of one kind, appends also by
/// partition, as each partition has a queue of its own in the log service.
type CallGroup = (CallKind, Option<Partition>);

/// Client of the log that sends calls again.
#[derive(Debug)]
pub struct Log {
    client: LogClient,
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

type Attempt<'a, T> = Pin<Box<dyn Future<Output = Result<T, Error>> + Send + 'a>>;

impl Log {
    /// Creates a client. `resends` counts overdue calls by outcome: `sent` again, or `denied`
    /// by the budget.
    pub fn new(client: LogClient, resends: IntCounterVec) -> Log {
        Log {
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
        self.call(group, timeout, |left| Box::pin(self.client.append(part, position, entries, left)))
            .await
    }

    /// See [`LogClient::read_newest`]. It is sent once, as it reads many pages of up to 1 MB.
    pub async fn read_newest(&self, part: Partition, timeout: Duration) -> Result<ReadResult, Error> {
        self.client.read_newest(part, timeout).await
    }

    /// See [`LogClient::read`]. A read that waits for records is sent once.
    pub async fn read(&self, part: Partition, from: u64, wait: Duration, timeout: Duration) -> Result<ReadResult, Error> {
        match wait.is_zero() {
            true => {
                let group = (CallKind::Configuration, None);
                self.call(group, timeout, |left| Box::pin(self.client.read(part, from, wait, left)))
                    .await
            }
            false => self.client.read(part, from, wait, timeout).await,
        }
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
        self.call(calls, timeout, |left| Box::pin(self.client.leave(group, member, left)))
            .await
    }

    /// See [`LogClient::owners`].
    pub async fn owners(&self, group: &str, timeout: Duration) -> Result<Vec<PartitionHolder>, Error> {
        let calls = (CallKind::Membership, None);
        self.call(calls, timeout, |left| Box::pin(self.client.owners(group, left))).await
    }

    /// Makes a call and sends it again while its answer is overdue. Earlier attempts go on:
    /// the first answer of any of them counts. `attempt` gets the time that is left.
    async fn call<'a, T, F>(&'a self, group: CallGroup, timeout: Duration, mut attempt: F) -> Result<T, Error>
    where
        F: FnMut(Duration) -> Attempt<'a, T>,
    {
        let deadline = Instant::now() + timeout;
        let mut overdue_after = self.with_pacing(group, |it| {
            it.budget.record_call();
            it.lost_budget.record_call();
            it.answer_times.overdue_after()
        });
        let mut last_sent = clock::now().mono;
        let mut attempts = vec![(Instant::now(), attempt(timeout))];
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
                        attempts.push((Instant::now(), attempt(deadline - Instant::now())));
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
