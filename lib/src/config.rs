//! Settings of an entry instance's state machine.

use std::net::SocketAddr;
use std::time::Duration;

use crate::id::{MemberId, ZoneId};

/// Settings of one incarnation of an entry instance.
#[derive(Clone, Debug)]
pub struct Settings {
    pub(crate) id: MemberId,
    pub(crate) zone: ZoneId,
    pub(crate) addr: SocketAddr,
    pub(crate) max_view_age: Duration,
    pub(crate) max_clock_skew: Duration,
    pub(crate) lease: Duration,
    pub(crate) id_retention: Duration,
    pub(crate) gossip_interval: Duration,
    pub(crate) peer_timeout: Duration,
    pub(crate) stop_grace: Duration,
    pub(crate) seed: u64,
    pub(crate) policy: Policy,
}

/// Alternatives that the benchmarks compare; the daemon runs the default.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Which queued job starts next.
    pub scheduling: SchedulingPolicy,
    /// How a team's cap is divided among entries.
    pub caps: CapDivision,
    /// Where a replica may read entries of the log from.
    pub catch_up: CatchUpSource,
}

/// Which queued job starts next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SchedulingPolicy {
    /// The next job of the team with the least usage relative to its weight.
    FairShare,
    /// The job that was accepted first.
    FirstCome,
}

/// How a team's cap is divided among entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CapDivision {
    /// Entries exchange allotments through the log as their demand changes.
    OnDemand,
    /// Each active entry has an equal, fixed part of the cap.
    Static,
}

/// Where a replica may read entries of the log from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CatchUpSource {
    /// From the log, and from peers while the log does not answer.
    Peers,
    /// From the log only.
    LogOnly,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            scheduling: SchedulingPolicy::FairShare,
            caps: CapDivision::OnDemand,
            catch_up: CatchUpSource::Peers,
        }
    }
}

/// Builder for [`Settings`]; id, zone and address have no default.
#[derive(Clone, Debug)]
pub struct SettingsBuilder {
    settings: Settings,
}

impl Settings {
    /// Starts from the id of the incarnation, its zone and its address.
    pub fn builder(id: &str, zone: &str, addr: SocketAddr) -> SettingsBuilder {
        let settings = Settings {
            id: id.into(),
            zone: zone.into(),
            addr,
            max_view_age: Duration::from_millis(2_000),
            max_clock_skew: Duration::from_millis(250),
            lease: Duration::from_millis(6_000),
            id_retention: Duration::from_secs(900),
            gossip_interval: Duration::from_millis(100),
            peer_timeout: Duration::from_millis(2_500),
            stop_grace: Duration::from_secs(10),
            seed: 0,
            policy: Policy::default(),
        };
        SettingsBuilder { settings }
    }

    /// Settings for a new incarnation, with an id made of the instance's name and
    /// the time at which the incarnation begins.
    pub fn new_incarnation(&self, wall_ms: u64) -> Settings {
        let name = self.id.split('@').next().unwrap_or_default();
        let mut settings = self.clone();
        settings.id = format!("{name}@{wall_ms:x}").into();
        settings.seed = self.seed ^ wall_ms;
        settings
    }

    /// Id of the incarnation.
    pub fn id(&self) -> &MemberId {
        &self.id
    }

    /// Availability zone of the instance; it starts tasks on workers of this zone only.
    pub fn zone(&self) -> &ZoneId {
        &self.zone
    }
}

impl SettingsBuilder {
    /// Largest age of the view of the log at which jobs are started.
    pub fn max_view_age(mut self, bound: Duration) -> SettingsBuilder {
        self.settings.max_view_age = bound;
        self
    }

    /// Largest difference between the wall clocks of two instances.
    pub fn max_clock_skew(mut self, bound: Duration) -> SettingsBuilder {
        self.settings.max_clock_skew = bound;
        self
    }

    /// Duration of the lease under which a worker runs a task.
    pub fn lease(mut self, lease: Duration) -> SettingsBuilder {
        self.settings.lease = lease;
        self
    }

    /// Time for which jobs and their ids are kept after acceptance.
    pub fn id_retention(mut self, retention: Duration) -> SettingsBuilder {
        self.settings.id_retention = retention;
        self
    }

    /// Interval at which gossip is sent to all members.
    pub fn gossip_interval(mut self, interval: Duration) -> SettingsBuilder {
        self.settings.gossip_interval = interval;
        self
    }

    /// Time without a frame from a peer of the same zone after which it is fenced.
    pub fn peer_timeout(mut self, timeout: Duration) -> SettingsBuilder {
        self.settings.peer_timeout = timeout;
        self
    }

    /// Longest time for which a stopping entry waits until its callers are answered and its
    /// queue is empty.
    pub fn stop_grace(mut self, grace: Duration) -> SettingsBuilder {
        self.settings.stop_grace = grace;
        self
    }

    /// Seed for random numbers, such as operation ids.
    pub fn seed(mut self, seed: u64) -> SettingsBuilder {
        self.settings.seed = seed;
        self
    }

    /// Replaces the default policies, for benchmarks.
    pub fn policy(mut self, policy: Policy) -> SettingsBuilder {
        self.settings.policy = policy;
        self
    }

    /// Returns the finished settings.
    pub fn build(self) -> Settings {
        self.settings
    }
}
