//! Which images slow down which others on the same worker.
//!
//! Load pattern: tasks of some images use caches, memory bandwidth or CPU beyond their share, so
//! tasks of other images beside them take longer or answer later, on every worker on which both
//! meet. A single slow worker or rack, or a task that is long by itself, must not look like that.
//!
//! What a task costs beside an image is compared with what tasks of its image cost without it: on
//! the same worker if possible, else on the same rack, else on others. Each worker counts once.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use crate::id::{InstanceId, RackId};

/// Image of a task.
pub type Image = Arc<str>;

/// Most images whose slowdown is observed.
const MAX_VICTIMS: usize = 64;
/// Most observations that are kept of an image.
const MAX_OBSERVATIONS: usize = 256;
/// Most images that are found to slow down one image.
const MAX_EFFECTS: usize = 4;
/// Time for which an observation counts, and an effect that is no longer observed, as when the
/// images are kept apart. Interference changes within seconds.
const LIFETIME: Duration = Duration::from_secs(20);
/// Time in which all images are evaluated, one after the other.
const EVALUATION_INTERVAL: Duration = Duration::from_secs(2);
/// Least number of workers on which both images met. Tasks that take several times as long by
/// themselves are 3% of all, so four workers rarely have one at the same time.
const MIN_WORKERS: usize = 4;
/// Standard errors by which an effect must exceed [`MIN_SLOWDOWN`]: with four workers, a
/// confidence of 97%.
const STANDARD_ERRORS: f64 = 3.0;
/// Smallest slowdown that is of consequence. Response times vary by a tenth between two statuses.
const MIN_SLOWDOWN: f64 = 1.2;

/// What a task cost over some time.
#[derive(Clone, Debug)]
pub struct Observation {
    /// Worker that ran the task.
    pub worker: InstanceId,
    /// Rack of the worker.
    pub rack: RackId,
    /// Time that the work took, as a multiple of the expected one, or a response time in a fixed
    /// unit.
    pub cost: f64,
    /// Images of other tasks that were on the worker all the time.
    pub neighbors: SmallVec<[Image; 4]>,
    /// Images of other tasks that were there for a part of the time.
    pub passing: SmallVec<[Image; 4]>,
}

/// How costs of an image are measured; costs of different kinds are not compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Kind {
    /// By run times.
    Work,
    /// By response times.
    Serving,
}

/// Slowdown of an image beside another one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Effect {
    /// Cost beside the other image as a multiple of the cost without it.
    pub slowdown: f64,
    /// Number of workers on which it was observed.
    pub workers: usize,
    /// Standard deviation over the workers of the logarithm of the slowdown.
    pub spread: f64,
}

/// A change of what is known.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Image that is slowed down.
    pub image: Image,
    /// Image beside which it is.
    pub neighbor: Image,
    /// The slowdown that was found; `None` if it has ended.
    pub effect: Option<Effect>,
}

type Victim = (Image, Kind);

/// Latest observations of an image.
#[derive(Clone, Debug, Default)]
struct History {
    observations: VecDeque<(Duration, Observation)>,
    evaluated_at: Duration,
}

/// Learned interference.
#[derive(Clone, Debug, Default)]
pub struct Interference {
    histories: HashMap<Victim, History>,
    /// Effects by the image that is slowed down and its neighbor, each with the time until which
    /// it holds.
    effects: BTreeMap<(Victim, Image), (Effect, Duration)>,
    next_evaluation: Duration,
}

impl Interference {
    /// Adds an observation of a task of an image.
    pub fn record(&mut self, now: Duration, image: &Image, kind: Kind, observation: Observation) {
        if observation.cost <= 0.0 || !observation.cost.is_finite() {
            return;
        }
        let victim = (image.clone(), kind);
        if MAX_VICTIMS <= self.histories.len() && !self.histories.contains_key(&victim) {
            self.evict();
        }
        let history = &mut self.histories.entry(victim).or_default().observations;
        if history.len() == MAX_OBSERVATIONS {
            history.pop_front();
        }
        history.push_back((now, observation));
    }

    /// Compares the observations of the next image if that is due. Returns what has changed.
    pub fn evaluate(&mut self, now: Duration) -> Vec<Change> {
        let mut changes = Vec::new();
        let next = self.histories.iter().min_by_key(|(victim, it)| (it.evaluated_at, *victim));
        let Some(victim) = next.filter(|_| self.next_evaluation <= now).map(|(it, _)| it.clone()) else {
            return changes;
        };
        self.next_evaluation = now + EVALUATION_INTERVAL / self.histories.len() as u32;
        let history = self.histories.get_mut(&victim).expect("its key was just found");
        history.evaluated_at = now;
        history.observations.retain(|(at, _)| now < *at + LIFETIME);
        let all: Vec<&Observation> = history.observations.iter().map(|(_, it)| it).collect();
        for (neighbor, effect) in effects_of(all.clone()) {
            let newest = history.observations.iter().rev().find(|(_, it)| it.neighbors.contains(&neighbor));
            let until = newest.map_or(now, |(at, _)| *at + LIFETIME);
            let known = self.effects.insert((victim.clone(), neighbor.clone()), (effect, until));
            if known.is_none() {
                changes.push(Change {
                    image: victim.0.clone(),
                    neighbor,
                    effect: Some(effect),
                });
            }
        }
        self.effects.retain(|(of, neighbor), (_, until)| {
            let is_contradicted = || *of == victim && effect_of(neighbor, &all).is_some_and(|it| it.slowdown < MIN_SLOWDOWN);
            let has_ended = *until <= now || is_contradicted();
            if has_ended {
                changes.push(Change {
                    image: of.0.clone(),
                    neighbor: neighbor.clone(),
                    effect: None,
                });
            }
            !has_ended
        });
        if all.is_empty() {
            self.histories.remove(&victim);
        }
        changes
    }

    /// Whether no interference is known.
    pub fn is_empty(&self) -> bool {
        self.effects.is_empty()
    }

    /// Whether an image is known to slow down another one, or to be slowed down.
    pub fn concerns(&self, image: &Image) -> bool {
        self.effects.keys().any(|((of, _), neighbor)| of == image || neighbor == image)
    }

    /// Returns how many times as much a task of an image costs beside another one.
    pub fn slowdown(&self, image: &Image, neighbor: &Image) -> f64 {
        let of = |kind| self.effects.get(&((image.clone(), kind), neighbor.clone()));
        let effects = [Kind::Work, Kind::Serving].into_iter().filter_map(of);
        effects.map(|(it, _)| it.slowdown).fold(1.0, f64::max)
    }

    /// Number of observations that are kept.
    pub fn observation_count(&self) -> usize {
        self.histories.values().map(|it| it.observations.len()).sum()
    }

    /// Removes the image that was not observed for the longest time.
    fn evict(&mut self) {
        let oldest = self
            .histories
            .iter()
            .min_by_key(|(_, it)| it.observations.back().map(|(at, _)| *at));
        if let Some(victim) = oldest.map(|(victim, _)| victim.clone()) {
            self.histories.remove(&victim);
        }
    }
}

impl Effect {
    /// Whether the slowdown is of consequence and not due to chance.
    fn is_certain(&self) -> bool {
        MIN_SLOWDOWN.ln() <= self.slowdown.ln() - STANDARD_ERRORS * self.spread / (self.workers as f64).sqrt()
    }
}

/// Returns the certain effects on an image, the largest first.
fn effects_of(mut observations: Vec<&Observation>) -> Vec<(Image, Effect)> {
    let mut found = Vec::new();
    while found.len() < MAX_EFFECTS {
        let images = neighbors_of(&observations);
        let effects = images
            .into_iter()
            .filter_map(|it| Some((it.clone(), effect_of(it, &observations)?)));
        let largest = effects
            .filter(|(_, it)| it.is_certain())
            .max_by(|a, b| a.1.slowdown.total_cmp(&b.1.slowdown));
        let Some((neighbor, effect)) = largest else {
            break;
        };
        // Images that are often beside that one would seem to have its effect.
        observations.retain(|it| !it.neighbors.contains(&neighbor) && !it.passing.contains(&neighbor));
        found.push((neighbor, effect));
    }
    found
}

/// Returns the images beside which tasks cost more on average than without them. Only these are
/// compared by worker, which takes much longer.
fn neighbors_of<'a>(observations: &[&'a Observation]) -> Vec<&'a Image> {
    let mut total: Sum = (0.0, 0.0);
    let mut sums: HashMap<&Image, Sum> = HashMap::new();
    for observation in observations {
        let cost = observation.cost.ln();
        total = (total.0 + cost, total.1 + 1.0);
        for image in &observation.neighbors {
            let sum = sums.entry(image).or_default();
            *sum = (sum.0 + cost, sum.1 + 1.0);
        }
    }
    let costs_more = |with: Sum| {
        let without = mean((total.0 - with.0, total.1 - with.1));
        mean(with)
            .zip(without)
            .is_some_and(|(with, without)| MIN_SLOWDOWN.ln() / 2.0 <= with - without)
    };
    let costly = sums.into_iter().filter(|(_, it)| MIN_WORKERS as f64 <= it.1 && costs_more(*it));
    let mut images: Vec<&Image> = costly.map(|(it, _)| it).collect();
    images.sort();
    images
}

/// Logarithms of costs: their sum and number.
type Sum = (f64, f64);

fn mean((sum, count): Sum) -> Option<f64> {
    (0.0 < count).then(|| sum / count)
}

/// Returns the effect of an image; `None` if there are too few workers to compare.
fn effect_of(neighbor: &Image, observations: &[&Observation]) -> Option<Effect> {
    // With and without the image, by worker.
    let mut workers: BTreeMap<&InstanceId, (&RackId, Sum, Sum)> = BTreeMap::new();
    for observation in observations.iter().filter(|it| !it.passing.contains(neighbor)) {
        let entry = workers
            .entry(&observation.worker)
            .or_insert((&observation.rack, (0.0, 0.0), (0.0, 0.0)));
        let sum = match observation.neighbors.contains(neighbor) {
            true => &mut entry.1,
            false => &mut entry.2,
        };
        *sum = (sum.0 + observation.cost.ln(), sum.1 + 1.0);
    }
    let others = |rack: Option<&RackId>| {
        let others = workers.values().filter(|it| rack.is_none_or(|rack| it.0 == rack));
        let mut means: Vec<f64> = others.filter_map(|it| mean(it.2)).collect();
        means.sort_by(f64::total_cmp);
        (2 <= means.len()).then(|| means[means.len() / 2])
    };
    let mut by_rack: BTreeMap<&RackId, Option<f64>> = BTreeMap::new();
    let elsewhere = others(None);
    let mut differences: Vec<f64> = Vec::new();
    // Differences to other racks; they may be those of the rack.
    let mut to_other_racks: Vec<(&RackId, f64)> = Vec::new();
    for (rack, with, without) in workers.values() {
        let Some(cost) = mean(*with) else {
            continue;
        };
        let same_rack = *by_rack.entry(rack).or_insert_with(|| others(Some(rack)));
        if let Some(usual) = mean(*without).or(same_rack) {
            differences.push(cost - usual);
        } else if let Some(usual) = elsewhere {
            to_other_racks.push((rack, cost - usual));
        }
    }
    if to_other_racks.iter().any(|(rack, _)| *rack != to_other_racks[0].0) {
        differences.extend(to_other_racks.into_iter().map(|(_, it)| it));
    }
    if differences.len() < MIN_WORKERS {
        return None;
    }
    let count = differences.len() as f64;
    let average = differences.iter().sum::<f64>() / count;
    let variance = differences.iter().map(|it| (it - average).powi(2)).sum::<f64>() / (count - 1.0);
    Some(Effect {
        slowdown: average.exp(),
        workers: differences.len(),
        spread: variance.sqrt(),
    })
}
