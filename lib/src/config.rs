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
    pub(crate) fresh_bound: Duration,
    pub(crate) clock_bound: Duration,
    pub(crate) lease: Duration,
    pub(crate) id_age: Duration,
    pub(crate) gossip_every: Duration,
    pub(crate) peer_dead: Duration,
    pub(crate) stop_grace: Duration,
    pub(crate) seed: u64,
    pub(crate) policy: Policy,
}

/// Ways of deciding that measurements compare; daemons run the default.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Whose job starts next.
    pub order: Order,
    /// How caps are divided among members.
    pub caps: Caps,
    /// Whether replicas may catch up from peers.
    pub relay: Relay,
}

/// Whose job starts next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// The team furthest below its weighted share.
    Share,
    /// The job that has waited longest.
    FirstCome,
}

/// How caps are divided among members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Caps {
    /// Allotments follow demand.
    Escrow,
    /// Every member keeps an equal part.
    Static,
}

/// Whether replicas may catch up from peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Relay {
    /// They pull from peers when the log does not answer.
    Peers,
    /// They read the log only.
    LogOnly,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            order: Order::Share,
            caps: Caps::Escrow,
            relay: Relay::Peers,
        }
    }
}

/// Builds [`Settings`] from the three that have no default.
#[derive(Clone, Debug)]
pub struct Builder {
    settings: Settings,
}

impl Settings {
    /// Starts from the incarnation's name, its zone and its address.
    pub fn builder(id: &str, zone: &str, addr: SocketAddr) -> Builder {
        let settings = Settings {
            id: id.into(),
            zone: zone.into(),
            addr,
            fresh_bound: Duration::from_millis(2_000),
            clock_bound: Duration::from_millis(250),
            lease: Duration::from_millis(6_000),
            id_age: Duration::from_secs(900),
            gossip_every: Duration::from_millis(100),
            peer_dead: Duration::from_millis(2_500),
            stop_grace: Duration::from_secs(10),
            seed: 0,
            policy: Policy::default(),
        };
        Builder { settings }
    }

    /// The settings of a new incarnation, named after the moment it begins.
    pub fn incarnate(&self, wall_ms: u64) -> Settings {
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

impl Builder {
    /// Age of knowledge up to which work starts.
    pub fn fresh_bound(mut self, bound: Duration) -> Builder {
        self.settings.fresh_bound = bound;
        self
    }

    /// Largest difference between two instances' clocks.
    pub fn clock_bound(mut self, bound: Duration) -> Builder {
        self.settings.clock_bound = bound;
        self
    }

    /// Length of task leases.
    pub fn lease(mut self, lease: Duration) -> Builder {
        self.settings.lease = lease;
        self
    }

    /// Time for which job ids are remembered.
    pub fn id_age(mut self, age: Duration) -> Builder {
        self.settings.id_age = age;
        self
    }

    /// Time between two rounds of gossip.
    pub fn gossip_every(mut self, every: Duration) -> Builder {
        self.settings.gossip_every = every;
        self
    }

    /// Silence after which a peer of the zone is fenced.
    pub fn peer_dead(mut self, silence: Duration) -> Builder {
        self.settings.peer_dead = silence;
        self
    }

    /// Time for which a stopping entry waits for its callers' answers.
    pub fn stop_grace(mut self, grace: Duration) -> Builder {
        self.settings.stop_grace = grace;
        self
    }

    /// Seed of the random numbers, such as operation ids.
    pub fn seed(mut self, seed: u64) -> Builder {
        self.settings.seed = seed;
        self
    }

    /// Ways of deciding, for measurements.
    pub fn policy(mut self, policy: Policy) -> Builder {
        self.settings.policy = policy;
        self
    }

    /// The settings.
    pub fn build(self) -> Settings {
        self.settings
    }
}
