//! Instances, appenders and one partition of the log in virtual time.
//!
//! The partition processes one append at a time and refuses appends once two seconds of them
//! are queued. While it is slow, processing and answers take a multiple of their usual time.

mod appends;
mod outcomes;
mod relays;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::Duration;

use oriolewall::acceptance::{self, Avoided, Pace};
use oriolewall::append_queue::{AppendQueue, MAX_BATCH_BYTES, Waiting};
use oriolewall::resend::{AnswerTimes, CallKind, ResendBudget};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::previous::Router;
use super::{ARRIVALS, Load, Outcome, SLOW};

/// Time of a message between two instances.
const HOP: Duration = Duration::from_millis(1);
/// Time that callers wait.
const DEADLINE: Duration = Duration::from_millis(2850);
/// Mean delay between two attempts of a request.
const RETRY_DELAY: Duration = Duration::from_millis(30);
/// Time reserved for the reply of an appender.
const REPLY_MARGIN: Duration = Duration::from_millis(60);
/// Bytes of a request.
const REQUEST_BYTES: usize = 600;
/// Time limits of the previous build: of an append, of a call to an appender, and for which
/// a request without effect is tried again.
const PREVIOUS_LIMITS: (Duration, Duration, Duration) =
    (Duration::from_millis(800), Duration::from_millis(500), Duration::from_millis(120));

/// How requests get to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The product's: through ranked appenders.
    Ranked,
    /// That of the previous build: directly until an instance has seen a slow append.
    Previous,
}

/// What becomes of a request, or of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Status {
    Stored,
    Refused,
    Moved,
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    Attempt(usize),
    /// A request stops waiting in a queue, with its ticket and whether it is that of calls.
    Withdraw(usize, u64, bool),
    Call(usize),
    Check(usize, Duration),
    CheckFailed(usize),
    Replied(usize, Status),
    Answered(usize, Duration),
    Refused(usize),
    Overdue(usize, Duration),
    GiveUp(usize),
    Release(usize),
    Restart(usize),
}

#[derive(Clone, Copy, Debug)]
enum Unit {
    Request(usize),
    Call(usize),
}

#[derive(Debug)]
struct Request {
    arrived: Duration,
    instance: usize,
    is_relayed: bool,
    is_substitute: bool,
    failures: usize,
    possibly_stored: bool,
    is_in_log: bool,
    end: Option<(Status, Duration)>,
}

#[derive(Debug)]
struct Append {
    instance: usize,
    sent: Duration,
    last_sent: Duration,
    batch: Vec<Waiting<Unit>>,
    requests: Vec<usize>,
    attempts: usize,
}

#[derive(Debug)]
struct Call {
    origin: usize,
    appender: usize,
    deadline: Duration,
    is_substitute: bool,
    batch: Vec<Waiting<usize>>,
    requests: Vec<usize>,
}

#[derive(Debug)]
struct Instance {
    pace: Pace,
    router: Router,
    avoided: Avoided,
    answer_times: AnswerTimes,
    budget: ResendBudget,
    direct: AppendQueue<Unit>,
    relayed: AppendQueue<usize>,
}

/// One run.
#[derive(Debug)]
pub struct World {
    load: Load,
    policy: Policy,
    now: Duration,
    random: StdRng,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    next_event: u64,
    ranked: Vec<SocketAddr>,
    /// When the partition has processed all appends.
    partition_free: Duration,
    sent_appends: u32,
    refused_appends: u32,
    instances: Vec<Instance>,
    requests: Vec<Request>,
    appends: Vec<Append>,
    calls: Vec<Call>,
}

fn address(instance: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (instance / 250) as u8, (instance % 250) as u8], 7060))
}

impl World {
    /// Creates a run with all arrivals.
    pub fn new(load: Load, policy: Policy, seed: u64) -> World {
        let new_instance = |_| Instance {
            pace: Pace::default(),
            router: Router::default(),
            avoided: Avoided::default(),
            answer_times: AnswerTimes::of_requests(),
            budget: policy.budget(),
            direct: AppendQueue::default(),
            relayed: AppendQueue::new(if policy == Policy::Ranked { 2 } else { 1 }, MAX_BATCH_BYTES),
        };
        // Each third instance owns a partition.
        let owners = (0..load.instances).step_by(3).map(|it| (address(it), false));
        let mut world = World {
            load,
            policy,
            now: Duration::ZERO,
            random: StdRng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            next_event: 0,
            ranked: acceptance::rank_appenders(0, owners),
            partition_free: Duration::ZERO,
            sent_appends: 0,
            refused_appends: 0,
            instances: (0..load.instances).map(new_instance).collect(),
            requests: Vec::new(),
            appends: Vec::new(),
            calls: Vec::new(),
        };
        let mut at = Duration::ZERO;
        loop {
            let uniform: f64 = world.random.random();
            at += Duration::from_secs_f64(-(1.0 - uniform).ln() / f64::from(load.rate));
            if ARRIVALS <= at {
                break;
            }
            world.schedule(at, Event::Arrival(world.requests.len()));
            let instance = loop {
                let instance = world.random.random_range(0..load.instances);
                if !load.pauses_appender || address(instance) != world.ranked[0] {
                    break instance;
                }
            };
            world.requests.push(Request {
                arrived: at,
                instance,
                is_relayed: false,
                is_substitute: false,
                failures: 0,
                possibly_stored: false,
                is_in_log: false,
                end: None,
            });
        }
        if let Some(interval) = load.restart_interval {
            let restarts = (0..load.instances).map(|it| (SLOW.0 + interval * it as u32, it));
            let restarts: Vec<_> = restarts.filter(|(at, _)| *at < SLOW.1).collect();
            restarts.into_iter().for_each(|(at, it)| world.schedule(at, Event::Restart(it)));
        }
        world
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.next_event += 1;
        self.events.push(Reverse((at, self.next_event, event)));
    }

    /// End of the pause of an instance if it is paused now.
    fn paused_until(&self, instance: usize) -> Option<Duration> {
        let is_paused = self.load.pauses_appender && address(instance) == self.ranked[0];
        let until = SLOW.0 + Duration::from_secs(3);
        (is_paused && SLOW.0 + Duration::from_secs(1) <= self.now && self.now < until).then_some(until)
    }

    /// Processes all events.
    pub fn run(mut self) -> Outcome {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            if let Some(until) = self.instance_of(&event).and_then(|it| self.paused_until(it)) {
                self.schedule(until, event);
                continue;
            }
            self.handle(event);
        }
        self.outcome()
    }

    /// Instance at which an event happens and waits while it is paused.
    fn instance_of(&self, event: &Event) -> Option<usize> {
        match event {
            Event::Call(call) => Some(self.calls[*call].appender),
            Event::Answered(append, _) | Event::Refused(append) | Event::GiveUp(append) | Event::Overdue(append, _) => {
                Some(self.appends[*append].instance)
            }
            Event::Release(instance) => Some(*instance),
            _ => None,
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(request) | Event::Attempt(request) => self.attempt(request),
            Event::Withdraw(request, ticket, is_relayed) => self.withdraw(request, ticket, is_relayed),
            Event::Call(call) => {
                let (appender, deadline) = (self.calls[call].appender, self.calls[call].deadline);
                if !self.calls[call].is_substitute && !self.accepts(appender) {
                    self.schedule(self.now + HOP, Event::Replied(call, Status::Moved));
                    return;
                }
                if self.is_too_late(appender, self.calls[call].requests.len(), deadline - REPLY_MARGIN) {
                    self.schedule(self.now + HOP, Event::Replied(call, Status::Refused));
                    return;
                }
                let bytes = REQUEST_BYTES * self.calls[call].requests.len();
                self.instances[appender].direct.push(bytes, Unit::Call(call));
                self.send_append(appender);
            }
            Event::Check(call, after) => self.check(call, after),
            Event::CheckFailed(call) => self.replied(call, Status::Unknown),
            Event::Replied(call, status) => self.replied(call, status),
            Event::Answered(append, sent) => self.answered(append, sent),
            Event::Refused(append) => self.refused(append),
            Event::Overdue(append, after) => self.overdue(append, after),
            Event::GiveUp(append) => {
                let batch = std::mem::take(&mut self.appends[append].batch);
                if !batch.is_empty() {
                    self.end_append(self.appends[append].instance, batch, Status::Unknown);
                }
            }
            Event::Release(instance) => {
                self.instances[instance].direct.finish();
                self.send_append(instance);
            }
            Event::Restart(index) => {
                let instance = &mut self.instances[index];
                instance.pace = Pace::default();
                instance.router = Router::default();
                instance.avoided = Avoided::default();
                instance.answer_times = AnswerTimes::of_requests();
                instance.budget = self.policy.budget();
            }
        }
    }

    /// Puts a request into a queue of its instance.
    fn attempt(&mut self, index: usize) {
        let request = &self.requests[index];
        let deadline = request.arrived + DEADLINE;
        let instance = request.instance;
        let state = &self.instances[instance];
        let appenders = self.appenders(instance);
        let is_appender = acceptance::place(&self.ranked, address(instance)).is_some_and(|it| it < appenders);
        let is_relayed = match self.policy {
            Policy::Ranked => {
                let picked = state.avoided.pick(self.now, &self.ranked, appenders, address(instance));
                !state.pace.allows_direct(request.failures) && !is_appender && picked.is_some()
            }
            Policy::Previous if request.failures == 0 => state.router.is_crowded() && !is_appender,
            // The routes alternate.
            Policy::Previous => !request.is_relayed,
        };
        self.requests[index].is_relayed = is_relayed;
        self.requests[index].is_substitute = !is_relayed && !is_appender;
        if !is_relayed && self.is_too_late(instance, 1, deadline) {
            self.end_attempt(index, Status::Refused);
            return;
        }
        let state = &mut self.instances[instance];
        let ticket = match is_relayed {
            true => state.relayed.push(REQUEST_BYTES, index),
            false => state.direct.push(REQUEST_BYTES, Unit::Request(index)),
        };
        let until = match self.policy {
            Policy::Ranked => deadline,
            Policy::Previous => deadline.min(self.now + PREVIOUS_LIMITS.0),
        };
        self.schedule(until, Event::Withdraw(index, ticket, is_relayed));
        match is_relayed {
            true => self.send_calls(instance),
            false => self.send_append(instance),
        }
    }

    fn withdraw(&mut self, index: usize, ticket: u64, is_relayed: bool) {
        let state = &mut self.instances[self.requests[index].instance];
        let is_withdrawn = match is_relayed {
            true => state.relayed.withdraw(ticket).is_some(),
            false => state.direct.withdraw(ticket).is_some(),
        };
        if is_withdrawn {
            self.end_attempt(index, Status::Refused);
        } else if self.requests[index].end.is_none() && self.requests[index].arrived + DEADLINE <= self.now {
            self.end(index, Status::Unknown);
        }
    }

    /// Ends one attempt of a request: answers it or tries again.
    fn end_attempt(&mut self, index: usize, status: Status) {
        let request = &mut self.requests[index];
        if request.end.is_some() {
            return;
        }
        let deadline = request.arrived + DEADLINE;
        request.possibly_stored |= status == Status::Unknown;
        // A busy appender has not failed.
        request.failures += usize::from(status == Status::Unknown || self.policy == Policy::Previous);
        if status == Status::Stored {
            self.end(index, Status::Stored);
            return;
        }
        if status == Status::Moved {
            self.schedule(self.now, Event::Attempt(index));
            return;
        }
        let is_over = deadline <= self.now + RETRY_DELAY;
        let gives_up = self.policy == Policy::Previous && request.arrived + PREVIOUS_LIMITS.2 <= self.now + RETRY_DELAY;
        match request.possibly_stored {
            true if is_over => self.end(index, Status::Unknown),
            false if is_over || gives_up => self.end(index, Status::Refused),
            _ => {
                let delay = RETRY_DELAY.mul_f64(0.5 + self.random.random::<f64>());
                self.schedule(self.now + delay, Event::Attempt(index));
            }
        }
    }

    fn end(&mut self, index: usize, status: Status) {
        let now = self.now;
        self.requests[index].end.get_or_insert((status, now));
    }
}

impl Policy {
    fn budget(self) -> ResendBudget {
        match self {
            Policy::Ranked => CallKind::Requests.budget(),
            Policy::Previous => ResendBudget::default(),
        }
    }
}
