//! Carries out the actions of an owner's scheduler: calls to workers, the log and the advice
//! service, each in a task of its own, and lines in the decision log.

use std::sync::Arc;

use bytes::Bytes;
use oriole_daemon::client::Connection;
use oriole_platform::log::{AppendPosition, Entry, Error, JOBS, Partition, REQUESTS};
use oriole_platform::worker::StatusRequest;
use oriolewall::decision::Decision;
use oriolewall::id::PoolId;
use oriolewall::inquiry::Holding;
use oriolewall::job_record::{self, CancelKey, JobKey, Request};
use oriolewall::order::{Action, OrderOutcome, fencing_token};
use oriolewall::rpc::{Call, PartitionId, Reply, RequestRecord};
use serde::Serialize;
use serde_json::json;

use crate::node::Node;
use crate::owner::{ADVICE_TIMEOUT, CALL_TIMEOUT, Event, Owner, RETRY_DELAY};
use crate::{clock, peer, request_log, watch, worker_status};

/// A decision with the ownership under which it was made.
#[derive(Serialize)]
struct DecisionLine<'a> {
    part: PartitionId,
    epoch: u64,
    #[serde(flatten)]
    decision: &'a Decision,
}

impl Owner {
    /// Executes an action of the scheduler, in a separate task if it needs a call.
    pub(crate) fn execute(&mut self, action: Action) {
        match action {
            Action::Commit(records) => self.commit(records),
            Action::RemoveRequests { submissions, cancels } => self.remove_requests(&submissions, &cancels),
            Action::HandOn { id, pool, requests } => self.hand_on(id, &pool, &requests),
            Action::Inquire { pool, version, jobs } => self.inquire(pool, version, jobs),
            Action::Start(start) => {
                let (events, fencing_token) = (self.events.clone(), fencing_token(self.epoch, start.contact));
                let (id, key, contact) = (start.worker.clone(), start.key.clone(), start.contact);
                let node = self.node.clone();
                let worker = self.workers.get(&id).cloned();
                self.background_tasks.spawn(async move {
                    let Some(worker) = worker else { return };
                    let answer = worker.start(&start, fencing_token).await;
                    count_order(&node, "start", answer);
                    let _ = events.send(Event::StartAnswered(id, key, contact, answer));
                });
            }
            Action::Stop {
                worker: id,
                contact,
                key,
                is_repeated,
            } => {
                let (events, fencing_token) = (self.events.clone(), fencing_token(self.epoch, contact));
                let node = self.node.clone();
                let worker = self.workers.get(&id).cloned();
                self.background_tasks.spawn(async move {
                    let Some(worker) = worker else { return };
                    let connection = if is_repeated { Connection::New } else { Connection::Any };
                    let answer = worker.stop(&key, fencing_token, connection).await;
                    count_order(&node, "stop", answer);
                    let _ = events.send(Event::OrderAnswered(id, contact, answer));
                });
            }
            Action::FetchStatus {
                worker: id,
                contact,
                ack_cursor,
                lease_until_ms,
                wait,
                overdue_after,
                withdrawal,
            } => {
                let events = self.events.clone();
                let request = StatusRequest {
                    token: fencing_token(self.epoch, contact),
                    ack_through: ack_cursor,
                    lease_until_ms,
                    wait,
                    connection: Connection::Any,
                    withdrawal,
                };
                let worker = self.workers.get(&id).cloned();
                self.background_tasks.spawn(async move {
                    let Some(worker) = worker else { return };
                    let fetched = worker_status::fetch(&worker, request, overdue_after).await;
                    let _ = events.send(Event::StatusReceived(id, contact, fetched));
                });
            }
            Action::SetSpeed {
                worker: id,
                contact,
                key,
                percent,
            } => {
                let (events, fencing_token) = (self.events.clone(), fencing_token(self.epoch, contact));
                let node = self.node.clone();
                let worker = self.workers.get(&id).cloned();
                self.background_tasks.spawn(async move {
                    let Some(worker) = worker else { return };
                    let answer = worker.set_speed(&key, percent, fencing_token).await;
                    count_order(&node, "pace", answer);
                    let _ = events.send(Event::OrderAnswered(id, contact, answer));
                });
            }
            Action::RequestAdvice { step, workers } => {
                let (events, node) = (self.events.clone(), self.node.clone());
                self.background_tasks.spawn(async move {
                    let (job, occurrence, step_index) = &step;
                    let advice = match &node.advice_client {
                        Some(client) => client.advise(job, *occurrence, *step_index, &workers, ADVICE_TIMEOUT).await.ok(),
                        None => None,
                    };
                    let approved = advice.as_ref().map(|it| it.approved.len());
                    node.decision_log.write(
                        "advice",
                        json!({ "job": job, "step": step_index, "asked": workers.len(), "approved": approved }),
                    );
                    let _ = events.send(Event::AdviceReceived(step, advice));
                });
            }
            Action::LogDecision(decision) => self.log_decision(&decision),
        }
    }

    /// Writes a decision of the scheduler to the decision log, and counts ended runs.
    fn log_decision(&self, decision: &Decision) {
        let event = match decision {
            Decision::Admitted { .. } => "admitted",
            Decision::Placed { .. } => "placed",
            Decision::Ordered { .. } => "ordered",
            Decision::StartsHeld { held, .. } => {
                self.node.metrics.starts_held.inc_by(u64::from(*held));
                "starts_held"
            }
            Decision::Unexpected { .. } => {
                self.node.metrics.unexpected_runs.inc();
                "unexpected_run"
            }
            Decision::Restarted { .. } => {
                self.node.metrics.worker_restarts.inc();
                "worker_restarted"
            }
            Decision::Ended { how, .. } => {
                self.node.metrics.run_ends.with_label_values(&[how]).inc();
                "ended"
            }
            Decision::HeldElsewhere { .. } => "held_elsewhere",
            Decision::Closed { .. } => "closed",
            Decision::RoomHeld { .. } => "room_held",
            Decision::Refused { .. } => "order_refused",
            Decision::Contact { .. } => "contact",
            Decision::Numbered { .. } => "numbered",
            Decision::Suspect { .. } => "suspect",
            Decision::Slow { .. } => "slow",
            Decision::Interferes { .. } => "interferes",
            Decision::InterferenceOver { .. } => "interference_over",
            Decision::Preferred { why, .. } => {
                self.node.metrics.preferences.with_label_values(&[why]).inc();
                "preferred"
            }
            Decision::Silent { .. } => "silent",
            Decision::Overloaded { .. } => {
                self.node.metrics.overloads.inc();
                "overloaded"
            }
            Decision::Interrupted { .. } => "interrupted",
            Decision::RecordTooLarge { .. } => "record_too_large",
        };
        let line = DecisionLine {
            part: self.part,
            epoch: self.epoch,
            decision,
        };
        self.node.decision_log.write(event, line);
    }

    /// Appends the scheduler's records to the log, retrying until the log accepts or
    /// rejects them.
    fn commit(&mut self, records: Vec<(Arc<str>, Option<Bytes>)>) {
        let (node, events) = (self.node.clone(), self.events.clone());
        let partition = Partition {
            topic: JOBS,
            number: self.part,
        };
        let entry = |(key, value): (Arc<str>, Option<Bytes>)| Entry {
            key: key.to_string(),
            value,
        };
        let entries: Vec<Entry> = records.into_iter().map(entry).collect();
        let mut position = AppendPosition {
            epoch: self.epoch,
            sequence: self.next_sequence,
        };
        // The log decides whether the append that set the epoch used up a sequence number,
        // so the first commit adopts the number that the log expects.
        let is_first_commit = !self.first_commit_sent;
        self.first_commit_sent = true;
        self.background_tasks.spawn(async move {
            let started = clock::now().mono;
            let result = loop {
                match node.log.append(partition, Some(position), &entries, CALL_TIMEOUT).await {
                    Ok(()) => break Ok(position.sequence),
                    Err(Error::OutOfSequence { expected }) if is_first_commit => position.sequence = expected,
                    Err(err @ (Error::Fenced | Error::OutOfSequence { .. })) => break Err(err),
                    Err(err) => watch::report_log_error(&node, "commit", &err),
                }
                tokio::time::sleep(RETRY_DELAY).await;
            };
            let elapsed = clock::now().mono.saturating_sub(started);
            node.metrics.commit_seconds.observe(elapsed.as_secs_f64());
            let _ = events.send(Event::Committed(result));
        });
    }

    /// Appends requests for a job to the partition of another pool, retrying until the log
    /// accepts them, then removes them from this partition. If the ownership ends before, the
    /// next owner finds them here.
    fn hand_on(&mut self, id: JobKey, pool: &PoolId, requests: &[Request]) {
        let (node, events, part) = (self.node.clone(), self.events.clone(), self.part);
        let records: Vec<RequestRecord> = requests.iter().map(|it| request_log::encode(&id, it)).collect();
        let target = node.partition_of(pool);
        node.decision_log
            .write("handed_on", json!({ "part": part, "job": id, "pool": pool, "to": target }));
        self.background_tasks.spawn(async move {
            let entry = |(key, value): RequestRecord| Entry { key, value: Some(value) };
            let entries: Vec<Entry> = records.into_iter().map(entry).collect();
            let partition = |number| Partition { topic: REQUESTS, number };
            while let Err(err) = node.log.append(partition(target), None, &entries, CALL_TIMEOUT).await {
                watch::report_log_error(&node, "hand_on", &err);
                tokio::time::sleep(RETRY_DELAY).await;
            }
            // The event loop may have ended since.
            let _ = events.send(Event::HandedOn(id));
            // In the same partition the records have replaced the ones that were read.
            if target == part {
                return;
            }
            let entries: Vec<Entry> = entries.into_iter().map(|it| Entry { value: None, ..it }).collect();
            // If this fails, the next owner hands them on once more, which changes nothing.
            if let Err(err) = node.log.append(partition(part), None, &entries, CALL_TIMEOUT).await {
                watch::report_log_error(&node, "forget", &err);
            }
        });
    }

    /// Asks the owner of another pool whether it has jobs.
    fn inquire(&mut self, pool: PoolId, version: u64, jobs: Vec<JobKey>) {
        let (node, events, own_part) = (self.node.clone(), self.events.clone(), self.part);
        self.background_tasks.spawn(async move {
            let part = node.partition_of(&pool);
            let answer = if part == own_part {
                // The jobs of all pools of a partition have one owner, which does not know these.
                Some(vec![Holding::NotHeld; jobs.len()])
            } else {
                let call = Call::Inquire {
                    part,
                    version,
                    jobs: jobs.clone(),
                };
                match peer::call(&node, part, call).await {
                    Reply::Holdings(holdings) => Some(holdings),
                    _ => None,
                }
            };
            node.metrics.inquiries.with_label_values(&[answer_name(answer.as_deref())]).inc();
            node.decision_log.write(
                "inquiry",
                json!({
                    "part": own_part,
                    "pool": pool,
                    "to": part,
                    "version": version,
                    "jobs": jobs.len(),
                    "first": jobs.first(),
                    "answer": answer_name(answer.as_deref()),
                }),
            );
            let _ = events.send(Event::HoldingsReceived {
                pool,
                version,
                jobs,
                answer,
            });
        });
    }

    /// Removes submissions and cancellations from the log that job records contain.
    fn remove_requests(&mut self, submissions: &[JobKey], cancels: &[CancelKey]) {
        let node = self.node.clone();
        let partition = Partition {
            topic: REQUESTS,
            number: self.part,
        };
        let keys = submissions.iter().map(ToString::to_string);
        let keys = keys.chain(cancels.iter().map(|(id, team)| job_record::cancel_record_key(id, team.as_ref())));
        let entries: Vec<Entry> = keys.map(|key| Entry { key, value: None }).collect();
        self.background_tasks.spawn(async move {
            // If this fails, the next owner finds the requests and removes them.
            if let Err(err) = node.log.append(partition, None, &entries, CALL_TIMEOUT).await {
                watch::report_log_error(&node, "forget", &err);
            }
        });
    }
}

/// Returns the name of an answer to an inquiry in the metrics.
fn answer_name(answer: Option<&[Holding]>) -> &'static str {
    match answer {
        None => "none",
        Some(holdings) if holdings.contains(&Holding::Undecided) => "undecided",
        Some(holdings) if holdings.contains(&Holding::Held) => "held",
        Some(_) => "not_held",
    }
}

/// Counts an order to a worker by its outcome.
fn count_order(node: &Node, order: &str, answer: OrderOutcome) {
    let outcome = match answer {
        OrderOutcome::Done { .. } => "done",
        OrderOutcome::Refused(_) => "refused",
        OrderOutcome::Lost => "lost",
    };
    node.metrics.orders.with_label_values(&[order, outcome]).inc();
}
