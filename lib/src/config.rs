//! Settings of an entry instance's state machine.

use std::net::SocketAddr;
use std::time::Duration;

use crate::id::{MemberId, ZoneId};

/// Settings of one entry instance.
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

/// Ways of deciding that measurements compare; daemons run the default.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Whose job starts next.
    pub scheduling: SchedulingPolicy,
    /// How caps are divided among members.
    pub caps: CapDivision,
    /// Whether replicas may catch up from peers.
    pub catch_up: CatchUpSource,
}

/// Whose job starts next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SchedulingPolicy {
    /// The team furthest below its weighted share.
    FairShare,
    /// The job that has waited longest.
    FirstCome,
}

/// How caps are divided among members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CapDivision {
    /// Allotments follow demand.
    OnDemand,
    /// Every member keeps an equal part.
    Static,
}

/// Whether replicas may catch up from peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CatchUpSource {
    /// They pull from peers when the log does not answer.
    Peers,
    /// They read the log only.
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

/// Builds [`Settings`] from the three that have no default.
#[derive(Clone, Debug)]
pub struct SettingsBuilder {
    settings: Settings,
}

impl Settings {
    /// Starts from the incarnation's name, its zone and its address.
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

    /// The settings of a new incarnation, named after the moment it begins.
    pub fn new_incarnation(&self, wall_ms: u64) -> Settings {
        let name = self.id.split('@').next().unwrap_or_default();
        let mut settings = self.clone();
        settings.id = format!("{name}@{wall_ms:x}").into();
        settings.seed = self.seed ^ wall_ms;
        settings
    }

    /// Name of the incarnation.
    pub fn id(&self) -> &MemberId {
        &self.id
    }

    /// Zone whose workers it places on.
    pub fn zone(&self) -> &ZoneId {
        &self.zone
    }
}

impl SettingsBuilder {
    /// Age of knowledge up to which work starts.
    pub fn max_view_age(mut self, bound: Duration) -> SettingsBuilder {
        self.settings.max_view_age = bound;
        self
    }

    /// Largest difference between two instances' clocks.
    pub fn max_clock_skew(mut self, bound: Duration) -> SettingsBuilder {
        self.settings.max_clock_skew = bound;
        self
    }

    /// Length of task leases.
    pub fn lease(mut self, lease: Duration) -> SettingsBuilder {
        self.settings.lease = lease;
        self
    }

    /// Time for which job ids are remembered.
    pub fn id_retention(mut self, age: Duration) -> SettingsBuilder {
        self.settings.id_retention = age;
        self
    }

    /// Time between two rounds of gossip.
    pub fn gossip_interval(mut self, every: Duration) -> SettingsBuilder {
        self.settings.gossip_interval = every;
        self
    }

    /// Silence after which a peer of the zone is fenced.
    pub fn peer_timeout(mut self, silence: Duration) -> SettingsBuilder {
        self.settings.peer_timeout = silence;
        self
    }

    /// Time for which a stopping entry waits for its callers' answers.
    pub fn stop_grace(mut self, grace: Duration) -> SettingsBuilder {
        self.settings.stop_grace = grace;
        self
    }

    /// Seed of the random numbers, such as operation ids.
    pub fn seed(mut self, seed: u64) -> SettingsBuilder {
        self.settings.seed = seed;
        self
    }

    /// Ways of deciding, for measurements.
    pub fn policy(mut self, policy: Policy) -> SettingsBuilder {
        self.settings.policy = policy;
        self
    }

    /// The settings.
    pub fn build(self) -> Settings {
        self.settings
    }
}
