//! What all parts of an entry instance share.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwap;
use oriole_daemon::lane::Lane;
use oriole_platform::advice::AdviceClient;
use oriole_platform::log::LogClient;
use oriolewall::catalog::Catalog;
use oriolewall::exchange::PartId;
use oriolewall::id::{InstanceId, PoolId};
use oriolewall::worker::ListedWorker;
use tokio::sync::{mpsc, watch};

use crate::clock;
use crate::coordinator::CoordinatorState;
use crate::decision_log;
use crate::metrics::Metrics;
use crate::owner::Event;
use crate::settings::{PlatformBounds, Settings};

/// Silence of the log after which this instance asks for no new connections.
/// Longer than a restart of the log's connections, shorter than callers' deadlines.
const LOG_SILENCE_LIMIT: Duration = Duration::from_millis(2500);
/// Time after a join during which duties are carried out.
/// Below the member's time to live, less the time for an order to arrive.
const MEMBERSHIP_TERM: Duration = Duration::from_millis(1500);
/// Connections to each other entry instance.
const PEER_CONNECTIONS: usize = 4;

/// An owner of a partition in this process.
#[derive(Clone, Debug)]
pub(crate) struct OwnedPartition {
    pub(crate) epoch: u64,
    pub(crate) events: mpsc::UnboundedSender<Event>,
}

/// Where the owners of partitions are.
pub(crate) type Owners = HashMap<PartId, SocketAddr>;

/// What all parts of an entry instance share.
#[derive(Debug)]
pub(crate) struct Node {
    /// Settings at the start of the process.
    pub(crate) settings: Settings,
    /// Those that may change, as last read.
    pub(crate) bounds: ArcSwap<PlatformBounds>,
    pub(crate) member: String,
    pub(crate) log: LogClient,
    pub(crate) adviser: Option<AdviceClient>,
    pub(crate) decision_log: decision_log::DecisionLog,
    pub(crate) metrics: Metrics,
    /// Operators' configuration; version 0 until one is read.
    pub(crate) catalog: ArcSwap<Catalog>,
    pub(crate) catalog_changes: watch::Sender<u64>,
    /// The list of workers.
    pub(crate) workers: ArcSwap<HashMap<InstanceId, ListedWorker>>,
    pub(crate) worker_list_changes: watch::Sender<u64>,
    /// When the call was sent that last read the list of workers.
    pub(crate) worker_list_read_at: watch::Sender<Duration>,
    /// Owners elsewhere and here, as the log shows them.
    pub(crate) owners: ArcSwap<Owners>,
    pub(crate) refresh_owners: tokio::sync::Notify,
    /// Owners in this process.
    pub(crate) owned_partitions: Mutex<HashMap<PartId, OwnedPartition>>,
    /// Tells that this instance owns a partition since now.
    pub(crate) partition_acquired: tokio::sync::Notify,
    /// What this instance knows while it has the fleet's duties.
    pub(crate) coordinator_state: Mutex<CoordinatorState>,
    peers: Mutex<HashMap<SocketAddr, Arc<Lane>>>,
    last_log_answer_ms: AtomicU64,
    member_confirmed_ms: AtomicU64,
    stopping: AtomicBool,
    open_requests: AtomicU64,
}

/// Counts a request as open until it is dropped.
#[derive(Debug)]
pub(crate) struct OpenRequest<'a> {
    node: &'a Node,
}

impl Node {
    pub(crate) fn new(settings: Settings) -> Node {
        let member = format!("{}@{}", settings.peer_addr, clock::now().wall_ms());
        Node {
            log: LogClient::new(settings.log_addr),
            adviser: settings.advice_addr.map(AdviceClient::new),
            decision_log: decision_log::DecisionLog::start(settings.name.clone()),
            metrics: Metrics::new(),
            catalog: ArcSwap::from_pointee(Catalog::default()),
            catalog_changes: watch::Sender::new(0),
            workers: ArcSwap::from_pointee(HashMap::new()),
            worker_list_changes: watch::Sender::new(0),
            worker_list_read_at: watch::Sender::new(Duration::ZERO),
            partition_acquired: tokio::sync::Notify::new(),
            owners: ArcSwap::from_pointee(HashMap::new()),
            refresh_owners: tokio::sync::Notify::new(),
            owned_partitions: Mutex::new(HashMap::new()),
            coordinator_state: Mutex::new(CoordinatorState::default()),
            peers: Mutex::new(HashMap::new()),
            last_log_answer_ms: AtomicU64::new(0),
            member_confirmed_ms: AtomicU64::new(0),
            stopping: AtomicBool::new(false),
            open_requests: AtomicU64::new(0),
            member,
            bounds: ArcSwap::from_pointee(settings.bounds),
            settings,
        }
    }

    /// The partition of a pool's jobs, by a 64-bit FNV-1a hash of its name.
    pub(crate) fn partition_of(&self, pool: &PoolId) -> PartId {
        let hash = pool.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
        });
        // The low bits of the hash of short names are unevenly spread.
        ((hash >> 32) % u64::from(self.settings.partitions)) as PartId
    }

    /// The owner of a partition in this process.
    pub(crate) fn owned_partition(&self, part: PartId) -> Option<OwnedPartition> {
        self.owned_partitions.lock().ok()?.get(&part).cloned()
    }

    /// Whether this instance owns any partition.
    pub(crate) fn owns_any(&self) -> bool {
        self.owned_partitions.lock().is_ok_and(|it| !it.is_empty())
    }

    /// The lane to another entry instance.
    pub(crate) fn peer_connections(&self, addr: SocketAddr) -> Arc<Lane> {
        let mut peers = self.peers.lock().unwrap_or_else(|it| it.into_inner());
        peers
            .entry(addr)
            .or_insert_with(|| Arc::new(Lane::new(addr, PEER_CONNECTIONS)))
            .clone()
    }

    /// Notes an answer of the log.
    pub(crate) fn record_log_answer(&self) {
        self.last_log_answer_ms
            .store(clock::now().mono.as_millis() as u64, Ordering::Relaxed);
    }

    /// Whether the log has answered lately.
    pub(crate) fn is_log_reachable(&self) -> bool {
        let heard = Duration::from_millis(self.last_log_answer_ms.load(Ordering::Relaxed));
        clock::now().mono < heard + LOG_SILENCE_LIMIT
    }

    /// Notes that the group confirmed this member, by a call sent at this time.
    pub(crate) fn confirm_member(&self, sent: Duration) {
        self.member_confirmed_ms.store(sent.as_millis() as u64, Ordering::Relaxed);
    }

    /// Whether the group cannot have given this member's partitions to another one for want of life.
    pub(crate) fn is_member(&self) -> bool {
        let confirmed = Duration::from_millis(self.member_confirmed_ms.load(Ordering::Relaxed));
        clock::now().mono < confirmed + MEMBERSHIP_TERM
    }

    /// Whether callers should come here.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping() && self.catalog.load().version != 0 && self.is_log_reachable()
    }

    pub(crate) fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    pub(crate) fn open_request(&self) -> OpenRequest<'_> {
        self.open_requests.fetch_add(1, Ordering::Relaxed);
        OpenRequest { node: self }
    }

    pub(crate) fn open_requests(&self) -> u64 {
        self.open_requests.load(Ordering::Relaxed)
    }

    /// Waits until no request is open, up to a limit.
    pub(crate) async fn wait_idle(&self, limit: Duration) {
        let deadline = tokio::time::Instant::now() + limit;
        while self.open_requests() != 0 && tokio::time::Instant::now() < deadline {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.node.open_requests.fetch_sub(1, Ordering::Relaxed);
    }
}
