//! Which way a caller's request takes to the log: an append by the instance that received
//! it, or through an aggregator, an instance that appends the requests of many others.
//!
//! Load pattern: a queue in its turn gets several times the requests that its partition
//! takes as single appends, spread over a hundred and more instances, so that each of them
//! has little to batch by itself. Requests then go through a few aggregators, whose
//! appends hold tens of records. A partition with little load is appended to directly, as
//! that takes one hop less and depends on no other instance.

use std::net::SocketAddr;
use std::time::Duration;

use smallvec::SmallVec;

/// Time of an append from which on its partition is crowded: about ten appends of 3 ms each
/// were ahead of it.
const CROWDED_APPEND: Duration = Duration::from_millis(40);
/// Requests a second at one aggregator below which the partition is calm. With all
/// aggregators that is under half of the appends that a partition takes.
const CALM_RATE: u64 = 50;
/// Shortest time for which an instance uses aggregators. The rate that they report follows
/// a change within it.
const MIN_RELAY_TIME: Duration = Duration::from_secs(2);
/// Number of aggregators of a partition. Each has one append in flight.
const AGGREGATORS: usize = 3;
/// Time for which an aggregator that failed is avoided.
const AVOID_TIME: Duration = Duration::from_secs(2);

/// A way of a request to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Route {
    /// An append by this instance.
    Direct,
    /// A call to an aggregator.
    Aggregated,
}

/// Chooses the route for the requests of one partition.
#[derive(Clone, Copy, Debug, Default)]
pub struct Router {
    /// When the partition was last found crowded; `None` while requests go directly.
    crowded_at: Option<Duration>,
}

impl Router {
    /// Returns the route of the next request.
    pub fn route(&self) -> Route {
        match self.crowded_at {
            Some(_) => Route::Aggregated,
            None => Route::Direct,
        }
    }

    /// Records a direct append that was answered now.
    pub fn record_append(&mut self, now: Duration, time: Duration) {
        if CROWDED_APPEND <= time {
            self.crowded_at = Some(now);
        }
    }

    /// Records what an aggregator reports: how many requests a second it stores.
    pub fn record_rate(&mut self, now: Duration, requests_per_second: u64) {
        if requests_per_second < CALM_RATE && self.crowded_at.is_some_and(|it| it + MIN_RELAY_TIME <= now) {
            self.crowded_at = None;
        }
    }
}

/// Returns the instances that may aggregate the requests of a partition, best first, out of
/// the instances that own partitions. Owners with pools come last, as starting tasks takes
/// most of their processor time.
pub fn rank_aggregators<I>(part: u32, owners: I) -> Vec<SocketAddr>
where
    I: IntoIterator<Item = (SocketAddr, bool)>,
{
    let mut ranked: Vec<(bool, u64, SocketAddr)> = owners
        .into_iter()
        .map(|(addr, has_pools)| (has_pools, hash(part, addr), addr))
        .collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, _, addr)| addr).collect()
}

/// Returns whether an instance is one of the aggregators that others use while none fails.
pub fn is_aggregator(ranked: &[SocketAddr], addr: SocketAddr) -> bool {
    ranked.iter().take(AGGREGATORS).any(|it| *it == addr)
}

/// Hash that orders instances differently for each partition.
fn hash(part: u32, addr: SocketAddr) -> u64 {
    let text = format!("{part} {addr}");
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3).rotate_left(29)
    })
}

/// Instances that failed as aggregators and are avoided for a time.
#[derive(Clone, Debug, Default)]
pub struct Avoided {
    until: SmallVec<[(SocketAddr, Duration); AGGREGATORS]>,
}

impl Avoided {
    /// Records that an aggregator failed.
    pub fn record_failure(&mut self, now: Duration, addr: SocketAddr) {
        self.until.retain(|(it, until)| *it != addr && now < *until);
        self.until.push((addr, now + AVOID_TIME));
    }

    /// Picks the aggregator that an instance uses: one of the best, a different one for
    /// different instances, and the others in turn while these are avoided. `None` if
    /// there is no other instance left.
    pub fn pick(&self, now: Duration, ranked: &[SocketAddr], instance: SocketAddr) -> Option<SocketAddr> {
        let best = AGGREGATORS.min(ranked.len());
        let offset = (hash(0, instance) % best.max(1) as u64) as usize;
        let is_usable = |addr: &SocketAddr| {
            let is_avoided = self.until.iter().any(|(it, until)| it == addr && now < *until);
            *addr != instance && !is_avoided
        };
        let in_turn = ranked[offset..best].iter().chain(&ranked[..offset]).chain(&ranked[best..]);
        in_turn.copied().find(is_usable)
    }
}
