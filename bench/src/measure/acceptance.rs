//! Acceptance of submissions by one pool at several arrival rates: what the log stores in
//! time, and how long callers wait.
//!
//! The log's partition processes one append at a time and refuses appends once two seconds
//! of them are waiting. The baseline makes one append for each submission and tries again
//! after a time limit, directly and through another instance in turn.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::Duration;

use hdrhistogram::Histogram;
use oriolewall::acceptance::{self, Avoided, Route, Router};
use oriolewall::append_queue::AppendQueue;
use oriolewall::estimate::ArrivalRate;
use oriolewall::resend::{AnswerTimes, ResendBudget};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use serde_json::json;

use super::ScenarioResult;

/// Time of one append at the partition.
const APPEND: Duration = Duration::from_millis(3);
/// Time of an answer beyond the append itself, there and back.
const ROUND_TRIP: Duration = Duration::from_millis(5);
/// Time of a message between two instances.
const HOP: Duration = Duration::from_millis(1);
/// Appends that wait longer than this are refused.
const MAX_LOG_QUEUE: Duration = Duration::from_secs(2);
/// Time that callers wait.
const DEADLINE: Duration = Duration::from_millis(2850);
/// Time limits of an attempt of the baseline: directly and through another instance.
const ATTEMPT_TIMEOUTS: [Duration; 2] = [Duration::from_millis(800), Duration::from_millis(500)];
/// Number of entry instances, of which each third owns a partition.
const INSTANCES: usize = 150;
/// Time for which submissions arrive.
const ARRIVALS: Duration = Duration::from_secs(8);
/// Arrival rates, submissions a second.
const RATES: [u32; 7] = [100, 300, 440, 700, 1300, 2000, 3000];

/// What became of the submissions of one run.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Outcome {
    /// Submissions a second.
    pub offered: u32,
    /// Submissions that were answered as stored before their deadline, a second.
    pub accepted: u32,
    /// Median and 99th percentile of the time until that answer, milliseconds.
    pub wait_ms: (u64, u64),
    /// Appends at the partition, a second.
    pub appends: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    /// A call with a batch reaches an aggregator.
    Call {
        origin: usize,
        aggregator: usize,
    },
    /// The log's answer reaches an instance.
    Appended {
        instance: usize,
    },
    /// An append is sent again.
    Resend,
    /// An aggregator's answer reaches the instance that called.
    Replied {
        origin: usize,
        rate: u64,
    },
    /// An attempt of the baseline.
    Attempt {
        request: usize,
        number: usize,
    },
}

/// Submissions of callers, or a batch of another instance.
#[derive(Clone, Copy, Debug)]
enum Unit {
    Caller(usize),
    Call { origin: usize },
}

#[derive(Debug)]
struct Instance {
    rate: ArrivalRate,
    /// Batch of the append in flight and when it was sent.
    appending: (Duration, Vec<Unit>),
    /// Submissions of the call to an aggregator in flight.
    relaying: Vec<usize>,
    router: Router,
    direct: AppendQueue<Unit>,
    aggregated: AppendQueue<usize>,
    answer_times: AnswerTimes,
    budget: ResendBudget,
}

#[derive(Debug)]
struct World {
    now: Duration,
    random: StdRng,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    next_event: u64,
    /// When the partition has processed all appends.
    partition_free: Duration,
    appends: u32,
    instances: Vec<Instance>,
    arrived: Vec<Duration>,
    accepted: Vec<Option<Duration>>,
}

impl Instance {
    fn new() -> Instance {
        Instance {
            rate: ArrivalRate::new(Duration::from_millis(700)),
            appending: (Duration::ZERO, Vec::new()),
            relaying: Vec::new(),
            router: Router::default(),
            direct: AppendQueue::default(),
            aggregated: AppendQueue::default(),
            answer_times: AnswerTimes::of_requests(),
            budget: ResendBudget::default(),
        }
    }
}

impl World {
    fn new(rate: u32, seed: u64) -> World {
        let mut world = World {
            now: Duration::ZERO,
            random: StdRng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            next_event: 0,
            partition_free: Duration::ZERO,
            appends: 0,
            instances: (0..INSTANCES).map(|_| Instance::new()).collect(),
            arrived: Vec::new(),
            accepted: Vec::new(),
        };
        let mut at = Duration::ZERO;
        loop {
            let uniform: f64 = world.random.random();
            at += Duration::from_secs_f64(-(1.0 - uniform).ln() / f64::from(rate));
            if ARRIVALS <= at {
                return world;
            }
            world.schedule(at, Event::Arrival(world.arrived.len()));
            world.arrived.push(at);
            world.accepted.push(None);
        }
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.next_event += 1;
        self.events.push(Reverse((at, self.next_event, event)));
    }

    /// Appends at the partition. Returns when the answer arrives; `None` if the log refuses.
    fn append(&mut self) -> Option<Duration> {
        self.appends += 1;
        let start = self.partition_free.max(self.now);
        if MAX_LOG_QUEUE < start - self.now {
            return None;
        }
        self.partition_free = start + APPEND;
        Some(self.partition_free + ROUND_TRIP)
    }

    fn accept(&mut self, request: usize) {
        if self.now <= self.arrived[request] + DEADLINE {
            self.accepted[request].get_or_insert(self.now);
        }
    }

    fn outcome(&self, offered: u32) -> Outcome {
        let mut waits: Histogram<u64> = Histogram::new(3).expect("the precision is valid");
        for (arrived, accepted) in self.arrived.iter().zip(&self.accepted) {
            if let Some(accepted) = accepted {
                waits.saturating_record((*accepted - *arrived).as_millis() as u64);
            }
        }
        let seconds = ARRIVALS.as_secs() as u32;
        Outcome {
            offered,
            accepted: waits.len() as u32 / seconds,
            wait_ms: (waits.value_at_quantile(0.5), waits.value_at_quantile(0.99)),
            appends: self.appends / seconds,
        }
    }
}

fn address(instance: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (instance / 250) as u8, (instance % 250) as u8], 7060))
}

/// Runs the product's routes and queues at one arrival rate.
pub fn grouped(rate: u32, seed: u64) -> Outcome {
    let mut world = World::new(rate, seed);
    let ranked = acceptance::rank_aggregators(0, (0..INSTANCES).step_by(3).map(|it| (address(it), false)));
    let aggregator_index = |addr: SocketAddr| (0..INSTANCES).find(|it| address(*it) == addr).expect("it was ranked");
    while let Some(Reverse((at, _, event))) = world.events.pop() {
        world.now = at;
        let instance = match event {
            Event::Arrival(request) => {
                let index = world.random.random_range(0..INSTANCES);
                let instance = &mut world.instances[index];
                let is_aggregator = acceptance::is_aggregator(&ranked, address(index));
                match instance.router.route() {
                    Route::Aggregated if !is_aggregator => _ = instance.aggregated.push(100, request),
                    _ => _ = instance.direct.push(100, Unit::Caller(request)),
                }
                index
            }
            Event::Call { origin, aggregator } => {
                world.instances[aggregator].direct.push(100, Unit::Call { origin });
                aggregator
            }
            Event::Appended { instance } => {
                let state = &mut world.instances[instance];
                let (sent, units) = std::mem::take(&mut state.appending);
                state.direct.finish();
                state.router.record_append(at, at - sent);
                state.answer_times.record(at - sent);
                for unit in units {
                    match unit {
                        Unit::Caller(request) => {
                            world.instances[instance].rate.record(at, 1000);
                            world.accept(request);
                        }
                        Unit::Call { origin } => {
                            let records = world.instances[origin].relaying.len() as u64;
                            let state = &mut world.instances[instance];
                            state.rate.record(at, 1000 * records);
                            let rate = state.rate.rate(at);
                            world.schedule(at + HOP, Event::Replied { origin, rate });
                        }
                    }
                }
                instance
            }
            Event::Replied { origin, rate } => {
                let state = &mut world.instances[origin];
                state.aggregated.finish();
                state.router.record_rate(at, rate);
                let requests = std::mem::take(&mut state.relaying);
                requests.into_iter().for_each(|it| world.accept(it));
                origin
            }
            Event::Resend => {
                world.append();
                continue;
            }
            Event::Attempt { .. } => continue,
        };
        if let Some(units) = world.instances[instance].direct.next_batch() {
            match world.append() {
                Some(answer_at) => {
                    let state = &mut world.instances[instance];
                    state.appending = (at, units);
                    state.budget.record_call();
                    let overdue_at = at + state.answer_times.overdue_after();
                    if overdue_at < answer_at && state.budget.take() {
                        world.schedule(overdue_at, Event::Resend);
                    }
                    world.schedule(answer_at, Event::Appended { instance });
                }
                // Refused without effect: answered with 503 soon.
                None => world.instances[instance].direct.finish(),
            }
        }
        if let Some(requests) = world.instances[instance].aggregated.next_batch() {
            let picked = Avoided::default()
                .pick(at, &ranked, address(instance))
                .expect("there are aggregators");
            world.instances[instance].relaying = requests;
            let call = Event::Call {
                origin: instance,
                aggregator: aggregator_index(picked),
            };
            world.schedule(at + HOP, call);
        }
    }
    world.outcome(rate)
}

/// Runs one append for each submission at one arrival rate.
pub fn single(rate: u32, seed: u64) -> Outcome {
    let mut world = World::new(rate, seed);
    while let Some(Reverse((at, _, event))) = world.events.pop() {
        world.now = at;
        let (request, number) = match event {
            Event::Arrival(request) => (request, 0),
            Event::Attempt { request, number } => (request, number),
            _ => continue,
        };
        if world.accepted[request].is_some() || world.arrived[request] + DEADLINE <= at {
            continue;
        }
        let timeout = ATTEMPT_TIMEOUTS[number % ATTEMPT_TIMEOUTS.len()];
        match world.append() {
            Some(answer_at) if answer_at <= at + timeout => {
                world.now = answer_at;
                world.accept(request);
            }
            Some(_) => world.schedule(
                at + timeout,
                Event::Attempt {
                    request,
                    number: number + 1,
                },
            ),
            // Refused without effect: answered with 503 soon.
            None => {}
        }
    }
    world.outcome(rate)
}

/// Compares group commit with one append for each submission.
pub fn run(seed: u64) -> ScenarioResult {
    let product: Vec<Outcome> = RATES.iter().map(|rate| grouped(*rate, seed)).collect();
    let baseline: Vec<Outcome> = RATES.iter().map(|rate| single(*rate, seed)).collect();
    ScenarioResult {
        scenario: "acceptance",
        seed,
        broken: 0,
        product: json!(product),
        baselines: json!({ "one append for each": baseline }),
    }
}
