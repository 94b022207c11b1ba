//! State shared by all tasks of an entry instance.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use arc_swap::ArcSwap;
use oriole_daemon::connection_pool::ConnectionPool;
use oriole_platform::advice::AdviceClient;
use oriole_platform::log::LogClient;
use oriolewall::append_queue::MAX_BATCH_BYTES;
use oriolewall::catalog::Catalog;
use oriolewall::id::{InstanceId, PoolId, fnv1a};
use oriolewall::log_view::{ReadLimits, View};
use oriolewall::owner_shortage::Census;
use oriolewall::quota;
use oriolewall::reachability::Reachability;
use oriolewall::refusal::Cause;
use oriolewall::rpc::PartitionId;
use oriolewall::tenure::{Epochs, Tenure};
use oriolewall::worker::ListedWorker;
use tokio::sync::{mpsc, watch};

use crate::clients::Clients;
use crate::coordinator::CoordinatorState;
use crate::log::Log;
use crate::metrics::Metrics;
use crate::owner::Event;
use crate::request_log::RequestLog;
use crate::settings::{PlatformBounds, Settings};
use crate::supervisor::Backoff;
use crate::{clock, decision_log, group};

/// Time after the sending of a confirmed join during which the coordinator may act.
/// With the time for an order to arrive it stays below the member's time to live.
const MEMBERSHIP_VALIDITY: Duration = quota::COORDINATOR_VALIDITY;
/// Number of connections to each of the other entry instances.
const PEER_CONNECTIONS: usize = 4;

/// Handle of a partition owner that runs in this process.
#[derive(Clone, Debug)]
pub(crate) struct OwnedPartition {
    /// Generation of the group at which this instance acquired the partition. It
    /// fences the writes and orders of earlier owners.
    pub(crate) epoch: u64,
    /// Time for which this instance has held the partition.
    pub(crate) tenure: Tenure,
    /// Input of the owner's event loop.
    pub(crate) events: mpsc::UnboundedSender<Event>,
}

/// Peer address of the owner of each partition.
pub(crate) type Owners = HashMap<PartitionId, SocketAddr>;

/// What an instance has read of operators' records.
#[derive(Clone, Debug)]
pub(crate) enum Configuration {
    /// Nothing.
    Unread,
    /// The newest records, but not the earlier ones that tell from which pools queues have moved.
    /// Such an instance cannot tell where the jobs of a queue may be.
    WithoutHistory,
    /// All that the log retains. The catalog's version is 0 while there is no configuration.
    Known(Arc<Catalog>),
}

impl Configuration {
    /// Returns the configuration in effect, or why there is none.
    pub(crate) fn catalog(&self) -> Result<Arc<Catalog>, Cause> {
        match self {
            Configuration::Known(catalog) if catalog.version != 0 => Ok(catalog.clone()),
            Configuration::WithoutHistory => Err(Cause::NoHistory),
            Configuration::Unread | Configuration::Known(_) => Err(Cause::NoConfiguration),
        }
    }
}

/// Shared state of an entry instance.
#[derive(Debug)]
pub(crate) struct Node {
    /// Settings as of the start of the process.
    pub(crate) settings: Settings,
    /// Limits of the platform, as last read from the settings file.
    pub(crate) bounds: ArcSwap<PlatformBounds>,
    /// Name of this process in the group of owners: its peer address and start time, and a suffix
    /// if it has little CPU.
    pub(crate) member: String,
    pub(crate) log: Log,
    pub(crate) request_log: RequestLog,
    pub(crate) advice_client: Option<AdviceClient>,
    pub(crate) decision_log: decision_log::DecisionLog,
    pub(crate) metrics: Metrics,
    /// Connections of clients.
    pub(crate) clients: Arc<Clients>,
    /// Operators' configuration, as far as it has been read.
    pub(crate) configuration: ArcSwap<Configuration>,
    /// How current `configuration` is.
    configuration_view: Mutex<View>,
    /// Number of changes of `configuration`; owners subscribe to it.
    pub(crate) catalog_changes: watch::Sender<u64>,
    /// Offset up to which operators' records have been read and applied.
    pub(crate) operator_records_read: watch::Sender<u64>,
    /// Requests a new read of operators' records, as the one that waits may have been lost.
    pub(crate) refresh_configuration: tokio::sync::Notify,
    /// Workers that the platform lists. Kept current only while this instance owns a partition.
    pub(crate) workers: ArcSwap<HashMap<InstanceId, ListedWorker>>,
    /// Number of changes of `workers`; owners subscribe to it.
    pub(crate) worker_list_changes: watch::Sender<u64>,
    /// Monotonic time at which the last successful read of the list of workers was sent.
    pub(crate) worker_list_read_at: watch::Sender<Duration>,
    /// Owners in all processes, as last read from the group.
    pub(crate) owners: ArcSwap<Owners>,
    /// Number of those owners by size.
    pub(crate) owner_census: ArcSwap<Census>,
    /// Requests a new read of `owners`.
    pub(crate) refresh_owners: tokio::sync::Notify,
    /// Epochs of the owners that have run in this process.
    epochs: Mutex<Epochs>,
    /// Partitions whose owner runs in this process.
    owned_partitions: Mutex<HashMap<PartitionId, OwnedPartition>>,
    /// Delays after panics of owners in this process, by partition.
    owner_backoffs: Mutex<HashMap<PartitionId, Backoff>>,
    /// Signals that this instance has acquired a partition.
    pub(crate) partition_acquired: tokio::sync::Notify,
    /// Reports that this instance has received as the fleet coordinator.
    coordinator_state: Mutex<CoordinatorState>,
    /// Connections to other entry instances, by peer address.
    peers: Mutex<HashMap<SocketAddr, Arc<ConnectionPool>>>,
    log_reachability: Mutex<Reachability>,
    /// Monotonic time at which the last confirmed join was sent, milliseconds.
    member_confirmed_ms: AtomicU64,
    stopping: AtomicBool,
    open_requests: AtomicU64,
}

/// Guard that counts a caller request as open until it is dropped.
#[derive(Debug)]
pub(crate) struct OpenRequest<'a> {
    node: &'a Node,
}

impl Node {
    pub(crate) fn new(settings: Settings) -> Node {
        let member = group::member_name(&settings, clock::now().wall_ms());
        let metrics = Metrics::new();
        Node {
            log: Log::new(
                LogClient::new(settings.log_addr, settings.partitions as usize),
                metrics.log_resends.clone(),
            ),
            // A call between instances carries a batch as one unit, which has to fit into an append.
            request_log: RequestLog::new((settings.commit_limits.call_bytes / 2).min(MAX_BATCH_BYTES)),
            advice_client: settings.advice_addr.map(AdviceClient::new),
            decision_log: decision_log::DecisionLog::start(settings.name.clone()),
            clients: Arc::new(Clients::new(&settings, metrics.clients_closed.clone())),
            metrics,
            configuration: ArcSwap::from_pointee(Configuration::Unread),
            configuration_view: Mutex::new(View::new(Duration::ZERO)),
            catalog_changes: watch::Sender::new(0),
            operator_records_read: watch::Sender::new(0),
            refresh_configuration: tokio::sync::Notify::new(),
            workers: ArcSwap::from_pointee(HashMap::new()),
            worker_list_changes: watch::Sender::new(0),
            worker_list_read_at: watch::Sender::new(Duration::ZERO),
            partition_acquired: tokio::sync::Notify::new(),
            owners: ArcSwap::from_pointee(HashMap::new()),
            owner_census: ArcSwap::default(),
            refresh_owners: tokio::sync::Notify::new(),
            epochs: Mutex::default(),
            owned_partitions: Mutex::new(HashMap::new()),
            owner_backoffs: Mutex::new(HashMap::new()),
            coordinator_state: Mutex::new(CoordinatorState::default()),
            peers: Mutex::new(HashMap::new()),
            log_reachability: Mutex::default(),
            member_confirmed_ms: AtomicU64::new(0),
            stopping: AtomicBool::new(false),
            open_requests: AtomicU64::new(0),
            member,
            bounds: ArcSwap::from_pointee(settings.bounds),
            settings,
        }
    }

    /// Returns the configuration in effect, an empty one if there is none.
    pub(crate) fn catalog(&self) -> Arc<Catalog> {
        self.configuration.load().catalog().unwrap_or_default()
    }

    /// Returns the partition that holds a pool's jobs, from a 64-bit FNV-1a hash of the pool's name.
    pub(crate) fn partition_of(&self, pool: &PoolId) -> PartitionId {
        // For short names the low bits of the hash are unevenly distributed, so the high bits are used.
        ((fnv1a(pool) >> 32) % u64::from(self.settings.partitions)) as PartitionId
    }

    /// Returns the handle of a partition's owner, or `None` if no owner of it runs in this process.
    pub(crate) fn owned_partition(&self, part: PartitionId) -> Option<OwnedPartition> {
        self.lock_owned_partitions().get(&part).cloned()
    }

    /// Returns whether this instance owns any partition.
    pub(crate) fn owns_any(&self) -> bool {
        !self.lock_owned_partitions().is_empty()
    }

    /// Locks the owned partitions. A panic of another task does not leave them half changed.
    pub(crate) fn lock_owned_partitions(&self) -> MutexGuard<'_, HashMap<PartitionId, OwnedPartition>> {
        self.owned_partitions.lock().unwrap_or_else(|it| it.into_inner())
    }

    /// Records that the owner of a partition panicked. Returns the time until this instance takes
    /// the partition again.
    pub(crate) fn record_owner_panic(&self, part: PartitionId) -> Duration {
        self.lock_owner_backoffs().entry(part).or_default().record_panic(clock::now().mono)
    }

    /// Returns whether this instance leaves a partition alone for a time as its owner panicked.
    pub(crate) fn is_backing_off(&self, part: PartitionId) -> bool {
        let backoffs = self.lock_owner_backoffs();
        backoffs.get(&part).is_some_and(|it| !it.is_over(clock::now().mono))
    }

    /// Locks the delays after panics of owners, which are changed as a whole.
    fn lock_owner_backoffs(&self) -> MutexGuard<'_, HashMap<PartitionId, Backoff>> {
        self.owner_backoffs.lock().unwrap_or_else(|it| it.into_inner())
    }

    /// Locks the epochs of this process's owners.
    pub(crate) fn lock_epochs(&self) -> MutexGuard<'_, Epochs> {
        self.epochs.lock().unwrap_or_else(|it| it.into_inner())
    }

    /// Locks the state of the coordinator, whose entries are replaced as a whole.
    pub(crate) fn lock_coordinator_state(&self) -> MutexGuard<'_, CoordinatorState> {
        self.coordinator_state.lock().unwrap_or_else(|it| it.into_inner())
    }

    /// Returns the connections to another entry instance, which all calls to it share.
    pub(crate) fn peer_connections(&self, addr: SocketAddr) -> Arc<ConnectionPool> {
        let mut peers = self.peers.lock().unwrap_or_else(|it| it.into_inner());
        peers
            .entry(addr)
            .or_insert_with(|| Arc::new(ConnectionPool::new(addr, PEER_CONNECTIONS)))
            .clone()
    }

    fn log_reachability(&self) -> MutexGuard<'_, Reachability> {
        self.log_reachability.lock().unwrap_or_else(|it| it.into_inner())
    }

    /// Records that the log answered now.
    pub(crate) fn record_log_answer(&self) {
        self.log_reachability().record_answer(clock::now().mono);
    }

    /// Records that a call to the log that was sent at this monotonic time was not answered
    /// within its time limit.
    pub(crate) fn record_log_timeout(&self, sent: Duration) {
        self.log_reachability().record_timeout(sent);
    }

    /// Returns whether the log answers this instance, as far as is known.
    pub(crate) fn is_log_reachable(&self) -> bool {
        self.log_reachability().is_reachable(clock::now().mono)
    }

    /// Records that the log refused a call other than an append of requests.
    pub(crate) fn record_log_refusal(&self) {
        self.log_reachability().record_refusal();
    }

    /// Returns whether the log has answered a call since this monotonic time.
    pub(crate) fn has_log_answered_since(&self, sent: Duration) -> bool {
        self.log_reachability().has_answered_since(sent)
    }

    /// Returns whether this instance should give up the partitions that it owns, as the log
    /// does not answer it.
    pub(crate) fn should_hand_over(&self) -> bool {
        self.owns_any() && self.log_reachability().calls_for_handover(clock::now().mono)
    }

    /// Returns the time since the log's last answer.
    pub(crate) fn log_silence(&self) -> Duration {
        self.log_reachability().silence(clock::now().mono)
    }

    /// Records that the group confirmed this member in answer to a join sent at this monotonic time.
    pub(crate) fn confirm_member(&self, sent: Duration) {
        self.member_confirmed_ms.store(sent.as_millis() as u64, Ordering::Relaxed);
    }

    /// Returns whether this member was confirmed recently enough that the group
    /// cannot have expired it and reassigned its partitions.
    pub(crate) fn is_member(&self) -> bool {
        let confirmed = Duration::from_millis(self.member_confirmed_ms.load(Ordering::Relaxed));
        clock::now().mono < confirmed + MEMBERSHIP_VALIDITY
    }

    /// Adds a read of operators' records to the view of the configuration; see [`View::add_read`].
    pub(crate) fn add_configuration_read(&self, as_of: Duration, next: u64, end: u64) {
        self.configuration_view().add_read(as_of, next, end);
    }

    /// Returns the limits of the next read of operators' records.
    pub(crate) fn configuration_read_limits(&self) -> ReadLimits {
        let view = *self.configuration_view();
        view.read_limits(clock::now().mono, self.bounds.load().config_apply)
    }

    /// Returns whether every configuration is known here that has to be in effect.
    pub(crate) fn is_configuration_current(&self) -> bool {
        let time_left = self
            .configuration_view()
            .time_left(clock::now().mono, self.bounds.load().config_apply);
        !time_left.is_zero()
    }

    /// Locks the view of the configuration, which is replaced as a whole.
    fn configuration_view(&self) -> MutexGuard<'_, View> {
        self.configuration_view.lock().unwrap_or_else(|it| it.into_inner())
    }

    /// Returns whether the platform should route callers to this instance.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping() && self.configuration.load().catalog().is_ok() && self.is_log_reachable()
    }

    /// Marks this instance as stopping, so that it is no longer ready.
    pub(crate) fn set_stopping(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Counts a caller request as open while the returned guard lives.
    pub(crate) fn open_request(&self) -> OpenRequest<'_> {
        self.open_requests.fetch_add(1, Ordering::Relaxed);
        OpenRequest { node: self }
    }

    /// Returns the number of open caller requests.
    pub(crate) fn open_requests(&self) -> u64 {
        self.open_requests.load(Ordering::Relaxed)
    }

    /// Waits until no caller request is open, or until the limit has passed.
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
