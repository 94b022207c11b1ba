//! Which connections of clients an instance keeps, and how much memory their requests may hold.
//!
//! It handles clients that send heads without end, that stop just short of the end of a body and
//! leave the connection open, that send slower than any link of an ordinary caller, or that connect
//! again as soon as they are closed. Connections and memory are bounded over all listeners. A
//! connection whose request has been read completely is never closed, as the request may have been
//! carried out. While memory or connections are short, the connections below the minimum rate are
//! closed, the one with the least progress first; small requests, calls between instances and
//! readiness checks have reserves that others cannot use.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use smallvec::SmallVec;

use crate::client_connection::{Connection, Phase, Share};

/// Identifies a connection for as long as the process runs.
pub type ConnectionId = u64;

/// Time for which a request waits for memory before it is refused. The caller can still retry
/// within the 3 s for which it waits.
const MEMORY_WAIT: Duration = Duration::from_secs(1);
/// Time between two checks from which the process was paused. What clients sent meanwhile has not
/// been read.
const PAUSE: Duration = Duration::from_secs(1);

/// File descriptors reserved for connections to the log, workers and peers, and for files.
const RESERVED_DESCRIPTORS: usize = 1200;
/// Lower limit for the memory of callers' requests, of which three quarters hold the largest legal
/// body of 256 KiB, its job and its record.
const MIN_CALLER_BYTES: usize = 2 << 20;
/// Lower limit for the memory of calls from other instances, of which three quarters hold the
/// largest legal body of 2 MiB and its records.
const MIN_PEER_BYTES: usize = 11 << 19;

/// Listener that admitted a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listener {
    /// API for callers.
    Callers,
    /// The platform's readiness checks.
    Readiness,
    /// Calls from other entry instances.
    Peers,
    /// Metrics.
    Metrics,
}

/// Number of listeners.
const LISTENERS: usize = 4;

/// Why a connection is closed, or its request refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The head of a request was not complete in time.
    HeadSlow,
    /// The head of a request, with the empty lines before it, is over the limit.
    HeadLarge,
    /// A body was not complete in time, or arrived below the minimum rate.
    BodySlow,
    /// A body is over the limit.
    BodyLarge,
    /// A response was not taken in time.
    ResponseSlow,
    /// There was no request for a long time.
    Idle,
    /// Memory for requests is short.
    Memory,
    /// Connections are short.
    Connections,
}

/// Limits on clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of connections of all listeners.
    pub connections: usize,
    /// Memory for requests of callers, bytes.
    pub caller_bytes: usize,
    /// Memory for calls from other instances, bytes.
    pub peer_bytes: usize,
    /// Time for the head of a request, with the empty lines before it.
    pub head_time: Duration,
    /// Time for a body.
    pub body_time: Duration,
    /// Minimum rate of a body, bytes per second.
    pub body_rate: u64,
    /// Time within which a client has to take more of a response.
    pub response_time: Duration,
    /// Time after which a connection without requests is closed.
    pub idle_time: Duration,
}

/// Answer to a request for memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Charge {
    /// The memory may be used.
    Granted,
    /// The memory may become available, as these connections have to be closed or others end.
    Wait(SmallVec<[ConnectionId; 4]>),
    /// The request has to be refused.
    Refused(Reason),
}

/// Answer to a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The connection is admitted under this id.
    Admitted(ConnectionId),
    /// The connection has to wait for another one to end; this one has to be closed.
    Wait(Option<ConnectionId>),
}

/// What is known about a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Listener that admitted it.
    pub listener: Listener,
    /// What it was doing: `new`, `head`, `body`, `handled` or `idle`.
    pub phase: &'static str,
    /// Time since it was admitted.
    pub age: Duration,
    /// Bytes received in all its requests.
    pub received: u64,
    /// Memory of its request, bytes.
    pub charged: usize,
}

/// Connections of all listeners, and the memory of their requests.
#[derive(Debug)]
pub struct ClientBudget {
    limits: Limits,
    connections: BTreeMap<ConnectionId, Connection>,
    /// Connections whose request waits for memory.
    waiting: BTreeSet<ConnectionId>,
    counts: [usize; LISTENERS],
    callers: Share,
    peers: Share,
    next_id: ConnectionId,
    last_check: Option<Duration>,
}

impl Limits {
    /// Derives the limits on connections and memory from the memory and the descriptors of an
    /// instance, where a connection without a body costs up to `connection_bytes`.
    ///
    /// Connections get a quarter of the memory and bodies a fifth, so that more than half remains
    /// for the rest of the process. Each kind of request gets enough for its largest legal one.
    pub fn derive(memory: usize, descriptors: usize, connection_bytes: usize) -> Limits {
        let by_descriptors = descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(descriptors / 2);
        Limits {
            connections: by_descriptors.min(memory / 4 / connection_bytes),
            caller_bytes: (memory / 10).max(MIN_CALLER_BYTES),
            peer_bytes: (memory / 10).max(MIN_PEER_BYTES),
            ..Limits::default()
        }
    }
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            connections: 2900,
            caller_bytes: MIN_CALLER_BYTES,
            peer_bytes: MIN_PEER_BYTES,
            head_time: Duration::from_secs(10),
            body_time: Duration::from_secs(15),
            body_rate: 8192,
            response_time: Duration::from_secs(10),
            idle_time: Duration::from_secs(86_400),
        }
    }
}

impl Reason {
    /// Name in metrics and in the decision log.
    pub fn name(self) -> &'static str {
        match self {
            Reason::HeadSlow => "head_slow",
            Reason::HeadLarge => "head_large",
            Reason::BodySlow => "body_slow",
            Reason::BodyLarge => "body_large",
            Reason::ResponseSlow => "response_slow",
            Reason::Idle => "idle",
            Reason::Memory => "memory",
            Reason::Connections => "connections",
        }
    }
}

impl Listener {
    /// All listeners.
    pub const ALL: [Listener; LISTENERS] = [Listener::Callers, Listener::Readiness, Listener::Peers, Listener::Metrics];

    /// Name in metrics and in the decision log.
    pub fn name(self) -> &'static str {
        match self {
            Listener::Callers => "callers",
            Listener::Readiness => "ready",
            Listener::Peers => "peers",
            Listener::Metrics => "metrics",
        }
    }
}

impl ClientBudget {
    /// Creates a budget without connections.
    pub fn new(limits: Limits) -> ClientBudget {
        ClientBudget {
            limits,
            connections: BTreeMap::new(),
            waiting: BTreeSet::new(),
            counts: [0; LISTENERS],
            callers: Share::new(limits.caller_bytes),
            peers: Share::new(limits.peer_bytes),
            next_id: 0,
            last_check: None,
        }
    }

    /// Number of connections that are reserved for a listener. Those for readiness and metrics get
    /// no more; callers and other instances may also use what is not reserved.
    fn reserve(&self, listener: Listener) -> usize {
        let share = |part: usize| (self.limits.connections * part / 32).max(2);
        match listener {
            Listener::Callers | Listener::Peers => share(12),
            Listener::Readiness | Listener::Metrics => share(2),
        }
    }

    fn count(&self, listener: Listener) -> usize {
        self.counts[listener as usize]
    }

    /// Decides on a new connection. If there is no room, the caller asks again once a connection
    /// has ended or a moment has passed.
    pub fn admit(&mut self, now: Duration, listener: Listener) -> Admission {
        let is_reserved = self.count(listener) < self.reserve(listener);
        let may_share = matches!(listener, Listener::Callers | Listener::Peers);
        let taken: usize = Listener::ALL.iter().map(|it| self.count(*it).max(self.reserve(*it))).sum();
        if !is_reserved && (!may_share || self.limits.connections <= taken) {
            return Admission::Wait(self.close_for_connection(now, listener));
        }
        let id = self.next_id;
        self.next_id += 1;
        self.counts[listener as usize] += 1;
        self.connections.insert(id, Connection::new(listener, now));
        Admission::Admitted(id)
    }

    /// Chooses the connection to close for a new one of a listener, unless one is being closed.
    /// Idle connections belong to ordinary callers, so they are closed only while no request that
    /// is being read could end instead.
    fn close_for_connection(&mut self, now: Duration, listener: Listener) -> Option<ConnectionId> {
        let exceeds = Listener::ALL.map(|it| self.reserve(it) < self.count(it));
        let body_rate = self.limits.body_rate;
        let competes = |it: &Connection| it.listener == listener || exceeds[it.listener as usize];
        if self.connections.values().any(|it| it.closing.is_some() && competes(it)) {
            return None;
        }
        let is_reading = self.connections.values().any(|it| competes(it) && it.is_incomplete());
        let may_close = |it: &Connection| match is_reading {
            true => it.is_stalled(now, body_rate),
            false => it.is_unused(now),
        };
        let candidates = self.connections.iter_mut().filter(|(_, it)| competes(it) && may_close(it));
        let (id, connection) = candidates.min_by_key(|(_, it)| it.rank(now))?;
        connection.closing = Some(Reason::Connections);
        Some(*id)
    }

    fn share(&mut self, listener: Listener) -> &mut Share {
        match listener {
            Listener::Peers => &mut self.peers,
            Listener::Callers | Listener::Readiness | Listener::Metrics => &mut self.callers,
        }
    }

    /// Asks for memory for the body of a request. A request that waits asks again once memory was
    /// released, and at each check.
    pub fn charge(&mut self, now: Duration, id: ConnectionId, bytes: usize) -> Charge {
        let Some(connection) = self.connections.get_mut(&id) else {
            return Charge::Refused(Reason::Memory);
        };
        if let Some(reason) = connection.closing {
            return Charge::Refused(reason);
        }
        let (listener, charged, waiting_since) = (connection.listener, connection.charged, connection.waiting_since);
        let (shortage, of_large) = self.share(listener).shortage(charged, bytes);
        if shortage == 0 {
            self.share(listener).change(charged, charged + bytes);
            if let Some(connection) = self.connections.get_mut(&id) {
                connection.charged += bytes;
                if connection.waiting_since.take().is_some() {
                    connection.read_again(now);
                    self.waiting.remove(&id);
                }
            }
            return Charge::Granted;
        }
        if self.share(listener).large_limit() < charged + bytes || waiting_since.is_some_and(|it| it + MEMORY_WAIT <= now) {
            return Charge::Refused(Reason::Memory);
        }
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.waiting_since.get_or_insert(now);
            self.waiting.insert(id);
        }
        Charge::Wait(self.close_for_memory(now, id, listener, shortage, of_large))
    }

    /// Closes slow connections, the one with the least progress first, until those that are being
    /// closed release enough memory.
    fn close_for_memory(
        &mut self,
        now: Duration,
        requester: ConnectionId,
        listener: Listener,
        shortage: usize,
        of_large: bool,
    ) -> SmallVec<[ConnectionId; 4]> {
        let body_rate = self.limits.body_rate;
        let mut closed = SmallVec::new();
        let of_peers = listener == Listener::Peers;
        let holds = |it: &Connection| it.holds(of_peers, of_large);
        let closing = self.connections.values().filter(|it| it.closing.is_some() && holds(it));
        let mut released: usize = closing.map(|it| it.charged).sum();
        while released < shortage {
            let may_close = |it: &Connection| it.closing.is_none() && holds(it) && it.is_slow_body(now, body_rate);
            let candidates = self.connections.iter_mut().filter(|(id, it)| **id != requester && may_close(it));
            let Some((id, connection)) = candidates.min_by_key(|(_, it)| it.rank(now)) else {
                break;
            };
            connection.closing = Some(Reason::Memory);
            released += connection.charged;
            closed.push(*id);
        }
        closed
    }

    /// Records bytes that a client sent.
    pub fn record_received(&mut self, now: Duration, id: ConnectionId, bytes: usize) {
        if let Some(connection) = self.connections.get_mut(&id) {
            if matches!(connection.phase, Phase::New | Phase::Idle) {
                connection.enter(now, Phase::Head);
            }
            connection.receive(now, bytes as u64);
        }
    }

    /// Records that the body of a request is being read.
    pub fn record_body(&mut self, now: Duration, id: ConnectionId) {
        self.enter(now, id, Phase::Body);
    }

    /// Records that a request is complete, or that its body will not be read. Returns why it has to
    /// be refused, if its connection is to be closed; from then on the connection is not closed.
    pub fn record_complete(&mut self, now: Duration, id: ConnectionId) -> Option<Reason> {
        let closing = self.closing(id);
        if closing.is_none() {
            self.enter(now, id, Phase::Handled);
        }
        closing
    }

    /// Records that the response to a request is ready, and releases the memory of the request.
    pub fn record_response(&mut self, now: Duration, id: ConnectionId) {
        self.release(id);
        self.enter(now, id, Phase::Idle);
    }

    fn enter(&mut self, now: Duration, id: ConnectionId, phase: Phase) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.enter(now, phase);
        }
    }

    fn release(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.waiting_since = None;
        self.waiting.remove(&id);
        let (listener, charged) = (connection.listener, std::mem::take(&mut connection.charged));
        self.share(listener).change(charged, 0);
    }

    /// Records whether a client takes no more of a response.
    pub fn record_write_blocked(&mut self, now: Duration, id: ConnectionId, is_blocked: bool) {
        if let Some(connection) = self.connections.get_mut(&id) {
            match is_blocked {
                true => _ = connection.write_blocked_since.get_or_insert(now),
                false => connection.write_blocked_since = None,
            }
        }
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, id: ConnectionId) {
        self.release(id);
        if let Some(connection) = self.connections.remove(&id) {
            self.counts[connection.listener as usize] -= 1;
        }
    }

    /// Returns the connections that have exceeded a time limit, which have to be closed. After a
    /// pause of the process all time limits begin again.
    pub fn check(&mut self, now: Duration) -> Vec<ConnectionId> {
        let was_paused = self.last_check.is_some_and(|it| it + PAUSE < now);
        self.last_check = Some(now);
        let mut closed = Vec::new();
        for (id, connection) in &mut self.connections {
            if was_paused {
                connection.restart(now);
                continue;
            }
            if connection.closing.is_none() {
                connection.closing = connection.exceeded(now, &self.limits);
                closed.extend(connection.closing.map(|_| *id));
            }
            connection.advance_rate_period(now);
        }
        closed
    }

    /// Returns why a connection has to be closed.
    pub fn closing(&self, id: ConnectionId) -> Option<Reason> {
        self.connections.get(&id).and_then(|it| it.closing)
    }

    /// Whether the body of a request is being read.
    pub fn is_reading_body(&self, id: ConnectionId) -> bool {
        self.connections.get(&id).is_some_and(|it| it.phase == Phase::Body)
    }

    /// Connections whose request waits for memory.
    pub fn waiting(&self) -> impl Iterator<Item = ConnectionId> {
        self.connections
            .iter()
            .filter(|(_, it)| it.waiting_since.is_some())
            .map(|(id, _)| *id)
    }

    /// Number of connections of a listener.
    pub fn open(&self, listener: Listener) -> usize {
        self.count(listener)
    }

    /// Memory of all requests, bytes.
    pub fn used_bytes(&self) -> usize {
        self.callers.used + self.peers.used
    }

    /// Describes a connection.
    pub fn report(&self, now: Duration, id: ConnectionId) -> Option<Report> {
        self.connections.get(&id).map(|it| it.report(now))
    }
}
