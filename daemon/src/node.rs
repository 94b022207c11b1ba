//! Runs an entry instance.
//!
//! One task owns the state machine ([`Entry`]) and receives events and commands
//! over a channel. Each action that does I/O is executed by a task of its own,
//! which sends the result back as an event. Request handlers read a
//! [`PublishedState`] without locking, and send events and commands through an
//! [`EntryHandle`].

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use arc_swap::ArcSwap;
use oriolewall::clock::Now;
use oriolewall::entry::{Action, Entry, Event, Lifecycle, RequestId, Settings};
use oriolewall::id::MemberId;
use oriolewall::job::Status;
use oriolewall::key::Keyring;
use oriolewall::log_sync::LogRequest;
use oriolewall::member::Membership;
use oriolewall::platform::{InstanceList as _, Log as _, Worker as _};
use oriolewall::replica::Replica;
use oriolewall::tree::Tree;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};

use crate::client::{Call, Client};
use crate::platform::{InstanceListClient, LogClient, WorkerClient};
use crate::{metrics, routes, server};

/// Interval between two ticks of the state machine.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of a call to another entry instance.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Configuration of an entry instance.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// Settings of the state machine. [`run`] derives the settings of each incarnation from them.
    pub settings: Settings,
    /// Address of the log.
    pub log: SocketAddr,
    /// Address of the instance list.
    pub list: SocketAddr,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: u64,
    /// Maximum number of concurrent connections.
    pub max_connections: usize,
    /// Addresses of other entry instances whose state a starting instance may copy, so that it
    /// can start while the log is down.
    pub peers: Vec<SocketAddr>,
}

impl NodeConfig {
    /// Reads the configuration from a settings file that was checked against
    /// [`ENTRY`](crate::settings::ENTRY). The seed of the state machine is random.
    pub fn from_settings(settings: &crate::settings::Settings) -> NodeConfig {
        let bound = |key: &str| settings.millis("bounds", key);
        let addr = settings.addr("entry", "listen");
        let entry_settings = Settings::builder(settings.text("entry", "name"), settings.text("entry", "zone"), addr)
            .max_view_age(bound("fresh_ms"))
            .max_clock_skew(bound("clock_ms"))
            .lease(bound("lease_ms"))
            .peer_timeout(bound("peer_dead_ms"))
            .id_retention(bound("id_age_ms"))
            .stop_grace(bound("stop_grace_ms"))
            .seed(rand::random())
            .build();
        NodeConfig {
            settings: entry_settings,
            log: settings.addr("platform", "log"),
            list: settings.addr("platform", "list"),
            max_body_bytes: settings.number("limits", "body_bytes"),
            max_connections: settings.number("limits", "connections") as usize,
            peers: settings.addrs("entry", "peers"),
        }
    }
}

/// Copy of the parts of the state that request handlers need.
///
/// Until the first incarnation has processed an event, it is the default: not ready, without any
/// keys.
#[derive(Clone, Debug, Default)]
pub struct PublishedState {
    /// Tree of settings.
    pub tree: Arc<Tree>,
    /// Keys of callers.
    pub keys: Arc<Keyring>,
    /// Members of all zones, which determine the owner of a job id.
    pub membership: Membership,
    /// Member id of the current incarnation.
    pub id: MemberId,
    /// Whether the incarnation is active, and so accepts jobs. Load balancers query it at
    /// `/readyz`.
    pub ready: bool,
}

/// Function that reads the state machine and sends what it read to the caller of
/// [`EntryHandle::inspect`].
type InspectFn = Box<dyn FnOnce(&Entry, Now) + Send>;

/// Input of the task that owns the state machine.
pub(crate) enum Command {
    /// Passes an event to the state machine.
    Event(Event),
    /// Submits a job; `reply` receives its status once it has ended.
    Submit {
        job: oriolewall::job::Job,
        reply: oneshot::Sender<Option<Status>>,
    },
    /// Requests the status of a job, at once or when it has ended; `reply` receives `None` if no
    /// entry that was asked has the job.
    Query {
        job: oriolewall::id::JobId,
        wait: oriolewall::entry::Wait,
        reply: oneshot::Sender<Option<Status>>,
    },
    /// Calls a function with the state machine and the current time.
    Inspect(InspectFn),
}

/// Access of request handlers to the state machine and its published state.
#[derive(Clone)]
pub struct EntryHandle {
    pub(crate) commands: mpsc::UnboundedSender<Command>,
    pub(crate) published: Arc<ArcSwap<PublishedState>>,
    pub(crate) clock: Clock,
    /// Maximum size of a request body in bytes.
    pub(crate) max_body_bytes: u64,
}

/// Clock that reads monotonic and wall-clock time together.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Default for Clock {
    fn default() -> Clock {
        Clock::new()
    }
}

impl Clock {
    /// Creates a clock whose monotonic time starts at zero now.
    pub fn new() -> Clock {
        Clock { start: Instant::now() }
    }

    /// Reads the monotonic and the wall clock.
    pub fn now(&self) -> Now {
        let wall = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Now {
            mono: self.start.elapsed(),
            wall,
        }
    }
}

impl EntryHandle {
    /// Calls `read` with the state machine and returns the result; `None` if the instance has
    /// stopped.
    pub async fn inspect<T, F>(&self, read: F) -> Option<T>
    where
        T: Send + 'static,
        F: FnOnce(&Entry, Now) -> T + Send + 'static,
    {
        let (tx, rx) = oneshot::channel();
        let inspect = move |entry: &Entry, now: Now| {
            let _ = tx.send(read(entry, now));
        };
        self.commands.send(Command::Inspect(Box::new(inspect))).ok()?;
        rx.await.ok()
    }

    /// Sends an event to the state machine; does nothing if the instance has stopped.
    pub fn send(&self, event: Event) {
        let _ = self.commands.send(Command::Event(event));
    }
}

/// Runs an entry instance until `stop` becomes true, the work has been finished or handed over,
/// and open HTTP requests have been answered.
pub async fn run(config: NodeConfig, listener: TcpListener, stop: watch::Receiver<bool>) {
    let (commands, inbox) = mpsc::unbounded_channel();
    let handle = EntryHandle {
        commands,
        published: Arc::default(),
        clock: Clock::new(),
        max_body_bytes: config.max_body_bytes,
    };
    let (close, closed) = watch::channel(false);
    let metrics = Arc::new(metrics::Metrics::new());
    let service = server::serve(
        listener,
        routes::entry_routes(handle.clone(), metrics.clone()),
        config.max_connections,
        closed,
    );
    let service = tokio::spawn(service);
    let client = Client::new();
    let actor = Actor {
        log: LogClient::new(client.clone(), config.log),
        list: InstanceListClient::new(client.clone(), config.list),
        worker: WorkerClient::new(client.clone()),
        client,
        handle,
        pending_replies: HashMap::new(),
        last_request_id: 0,
        metrics,
    };
    actor.run_incarnations(config, inbox, stop).await;
    let _ = close.send(true);
    let _ = service.await;
}

/// Executes the actions of the state machine and delivers its replies.
struct Actor {
    log: LogClient,
    list: InstanceListClient,
    worker: WorkerClient,
    client: Client,
    handle: EntryHandle,
    /// Where to send the replies of requests that have not been answered yet.
    pending_replies: HashMap<RequestId, oneshot::Sender<Option<Status>>>,
    last_request_id: RequestId,
    metrics: Arc<metrics::Metrics>,
}

impl Actor {
    /// Runs incarnations until the instance is stopped. When one has been fenced, a new one
    /// continues with its state.
    async fn run_incarnations(mut self, config: NodeConfig, mut inbox: mpsc::UnboundedReceiver<Command>, mut stop: watch::Receiver<bool>) {
        let mut replica = self.bootstrap(&config.peers).await;
        loop {
            let now = self.handle.clock.now();
            let settings = config.settings.new_incarnation(now.wall_ms());
            log::info!(id = settings.id().as_ref(), zone = settings.zone().as_ref(); "entry begins");
            let mut entry = Entry::new(settings, replica, now);
            self.run_incarnation(&mut entry, &mut inbox, &mut stop).await;
            if *stop.borrow() {
                return;
            }
            replica = Replica::new(entry.state().clone());
        }
    }

    /// Creates a replica from the state of the first peer that answers, so that a new instance
    /// need not wait for the log. The replica is empty if no peer answers.
    async fn bootstrap(&self, peers: &[SocketAddr]) -> Replica {
        for peer in peers {
            let call = Call::get(*peer, "/peer/state", PEER_TIMEOUT);
            let Ok(response) = self.client.call(call).await else {
                continue;
            };
            if let Ok(state) = oriolewall::snapshot::decode(&response.body) {
                return Replica::new(state);
            }
        }
        Replica::default()
    }

    /// Runs one incarnation until it has finished; requests its stop when `stop` becomes true.
    async fn run_incarnation(&mut self, entry: &mut Entry, inbox: &mut mpsc::UnboundedReceiver<Command>, stop: &mut watch::Receiver<bool>) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut stopping = false;
        while entry.lifecycle() != Lifecycle::Finished {
            tokio::select! {
                _ = ticks.tick() => self.step(entry, Event::Tick),
                command = inbox.recv() => {
                    let Some(command) = command else { return };
                    self.handle_command(entry, command);
                }
                _ = stop.wait_for(|it| *it), if !stopping => {
                    stopping = true;
                    self.step(entry, Event::Stop);
                }
            }
            self.publish_state(entry);
        }
        log::info!(id = entry.settings().id().as_ref(); "entry ends");
    }

    fn handle_command(&mut self, entry: &mut Entry, command: Command) {
        match command {
            Command::Event(event) => self.step(entry, event),
            Command::Submit { job, reply } => {
                let request_id = self.add_pending_reply(reply);
                self.step(entry, Event::Submit { request_id, job });
            }
            Command::Query { job, wait, reply } => {
                let request_id = self.add_pending_reply(reply);
                self.step(entry, Event::Query { request_id, job, wait });
            }
            Command::Inspect(inspect) => inspect(entry, self.handle.clock.now()),
        }
    }

    /// Stores where to send a reply and returns the request id to pass to the state machine.
    fn add_pending_reply(&mut self, reply: oneshot::Sender<Option<Status>>) -> RequestId {
        self.last_request_id += 1;
        self.pending_replies.insert(self.last_request_id, reply);
        self.last_request_id
    }

    /// Passes an event to the state machine and executes the resulting actions.
    fn step(&mut self, entry: &mut Entry, event: Event) {
        if let Event::Tick = event {
            self.remove_disconnected_callers(entry);
        }
        let actions = entry.step(self.handle.clock.now(), event);
        for action in actions {
            self.execute(action);
        }
    }

    /// Removes the pending replies of requests whose caller has disconnected or whose wait has
    /// ended.
    fn remove_disconnected_callers(&mut self, entry: &mut Entry) {
        let disconnected: Vec<RequestId> = self
            .pending_replies
            .iter()
            .filter(|(_, it)| it.is_closed())
            .map(|(request_id, _)| *request_id)
            .collect();
        for request_id in disconnected {
            self.pending_replies.remove(&request_id);
            let _ = entry
                .step(self.handle.clock.now(), Event::CallerDisconnected(request_id))
                .into_iter()
                .map(|it| self.execute(it))
                .count();
        }
    }

    /// Replaces the published state if any part of it has changed.
    fn publish_state(&self, entry: &Entry) {
        let ready = entry.lifecycle() == Lifecycle::Active;
        let published = self.handle.published.load();
        let state = entry.state();
        let tree_and_keys_unchanged = Arc::ptr_eq(&published.tree, &state.tree) && Arc::ptr_eq(&published.keys, &state.keys);
        if tree_and_keys_unchanged
            && published.ready == ready
            && published.membership == state.roster
            && published.id == *entry.settings().id()
        {
            return;
        }
        let published = PublishedState {
            tree: state.tree.clone(),
            keys: state.keys.clone(),
            membership: state.roster.clone(),
            id: entry.settings().id().clone(),
            ready,
        };
        self.handle.published.store(Arc::new(published));
        self.metrics.offset.set(state.next_offset() as i64);
    }

    /// Starts a task that executes an action and sends the result back as an event. Replies are
    /// sent at once.
    fn execute(&mut self, action: Action) {
        let handle = self.handle.clone();
        match action {
            Action::Log(request) => self.send_log_request(request),
            Action::List => {
                let list = self.list.clone();
                tokio::spawn(async move {
                    let result = list.list().await;
                    handle.send(Event::Listed(result));
                });
            }
            Action::Call { id, addr, request, .. } => {
                let worker = self.worker.clone();
                tokio::spawn(async move {
                    let sent = handle.clock.now().mono;
                    let result = worker.call(addr, request).await;
                    handle.send(Event::CallReturned { id, sent, result });
                });
            }
            Action::Send { addr, frame, .. } => {
                let client = self.client.clone();
                tokio::spawn(async move {
                    // Errors are ignored: the state machine repeats a message whose answer does
                    // not arrive.
                    let _ = client.call(Call::post(addr, "/peer", frame.encode(), PEER_TIMEOUT)).await;
                });
            }
            Action::Reply { request_id, status } => {
                if let Some(reply) = self.pending_replies.remove(&request_id) {
                    let _ = reply.send(status);
                }
            }
        }
    }

    fn send_log_request(&self, request: LogRequest) {
        let handle = self.handle.clone();
        let log = self.log.clone();
        tokio::spawn(async move {
            match request {
                LogRequest::Read { from, wait } => {
                    let sent = handle.clock.now().mono;
                    let result = log.read(from, wait).await;
                    handle.send(Event::Read { sent, result });
                }
                LogRequest::Append(entry) => {
                    let result = log.append(entry).await;
                    handle.send(Event::Appended(result));
                }
            }
        });
    }
}
