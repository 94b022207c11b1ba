//! Runs an entry instance: one task owns the state machine, others carry its
//! actions out; request handlers read a published view without locks.

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

/// Time between two ticks of the state machine.
const TICK: Duration = Duration::from_millis(20);
/// Time for a frame to reach a peer.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Everything an entry instance needs to run.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// Settings of the state machine; the incarnation is added by [`run`].
    pub settings: Settings,
    /// Address of the log.
    pub log: SocketAddr,
    /// Address of the instance list.
    pub list: SocketAddr,
    /// Largest request body, bytes.
    pub body_bytes: u64,
    /// Most connections at once.
    pub connections: usize,
    /// Addresses of other entries, to start from when the log is down.
    pub peers: Vec<SocketAddr>,
}

impl NodeConfig {
    /// Takes an entry's settings file.
    pub fn from_settings(settings: &crate::settings::Settings) -> NodeConfig {
        let bound = |key: &str| settings.millis("bounds", key);
        let addr = settings.addr("entry", "listen");
        let core = Settings::builder(settings.text("entry", "name"), settings.text("entry", "zone"), addr)
            .max_view_age(bound("fresh_ms"))
            .max_clock_skew(bound("clock_ms"))
            .lease(bound("lease_ms"))
            .peer_timeout(bound("peer_dead_ms"))
            .id_retention(bound("id_age_ms"))
            .stop_grace(bound("stop_grace_ms"))
            .seed(rand::random())
            .build();
        NodeConfig {
            settings: core,
            log: settings.addr("platform", "log"),
            list: settings.addr("platform", "list"),
            body_bytes: settings.number("limits", "body_bytes"),
            connections: settings.number("limits", "connections") as usize,
            peers: settings.addrs("entry", "peers"),
        }
    }
}

/// What request handlers read.
#[derive(Clone, Debug, Default)]
pub struct PublishedState {
    /// Settings of the tree.
    pub tree: Arc<Tree>,
    /// Callers' keys.
    pub keys: Arc<Keyring>,
    /// Entry instances.
    pub membership: Membership,
    /// Name of this incarnation.
    pub id: MemberId,
    /// Whether the balancer should send callers here.
    pub ready: bool,
}

type InspectFn = Box<dyn FnOnce(&Entry, Now) + Send>;

/// What the owner of the state machine is sent.
pub(crate) enum Command {
    Event(Event),
    Submit {
        job: oriolewall::job::Job,
        reply: oneshot::Sender<Option<Status>>,
    },
    Query {
        job: oriolewall::id::JobId,
        wait: oriolewall::entry::Wait,
        reply: oneshot::Sender<Option<Status>>,
    },
    Inspect(InspectFn),
}

/// Handle of the request handlers to the owner of the state machine.
#[derive(Clone)]
pub struct EntryHandle {
    pub(crate) commands: mpsc::UnboundedSender<Command>,
    pub(crate) published: Arc<ArcSwap<PublishedState>>,
    pub(crate) clock: Clock,
    pub(crate) body_bytes: u64,
}

/// Source of both clocks.
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
    /// Starts the monotonic clock.
    pub fn new() -> Clock {
        Clock { start: Instant::now() }
    }

    /// Reads both clocks.
    pub fn now(&self) -> Now {
        let wall = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Now {
            mono: self.start.elapsed(),
            wall,
        }
    }
}

impl EntryHandle {
    /// Reads something from the state machine.
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

    /// Tells the state machine something.
    pub fn send(&self, event: Event) {
        let _ = self.commands.send(Command::Event(event));
    }
}

/// Runs until `stop` turns true and everything is handed over.
pub async fn run(node: NodeConfig, listener: TcpListener, stop: watch::Receiver<bool>) {
    let (commands, inbox) = mpsc::unbounded_channel();
    let handle = EntryHandle {
        commands,
        published: Arc::default(),
        clock: Clock::new(),
        body_bytes: node.body_bytes,
    };
    let (close, closed) = watch::channel(false);
    let metrics = Arc::new(metrics::Metrics::new());
    let service = server::serve(
        listener,
        routes::entry_routes(handle.clone(), metrics.clone()),
        node.connections,
        closed,
    );
    let service = tokio::spawn(service);
    let client = Client::new();
    let actor = Actor {
        log: LogClient::new(client.clone(), node.log),
        list: InstanceListClient::new(client.clone(), node.list),
        worker: WorkerClient::new(client.clone()),
        client,
        handle,
        tickets: HashMap::new(),
        next_ticket: 0,
        metrics,
    };
    actor.live(node, inbox, stop).await;
    let _ = close.send(true);
    let _ = service.await;
}

struct Actor {
    log: LogClient,
    list: InstanceListClient,
    worker: WorkerClient,
    client: Client,
    handle: EntryHandle,
    tickets: HashMap<RequestId, oneshot::Sender<Option<Status>>>,
    next_ticket: RequestId,
    metrics: Arc<metrics::Metrics>,
}

impl Actor {
    /// Runs one incarnation after the other: a fenced one is followed by a new one.
    async fn live(mut self, node: NodeConfig, mut inbox: mpsc::UnboundedReceiver<Command>, mut stop: watch::Receiver<bool>) {
        let mut replica = self.bootstrap(&node.peers).await;
        loop {
            let now = self.handle.clock.now();
            let settings = node.settings.new_incarnation(now.wall_ms());
            log::info!(id = settings.id().as_ref(), zone = settings.zone().as_ref(); "entry begins");
            let mut entry = Entry::new(settings, replica, now);
            self.run_incarnation(&mut entry, &mut inbox, &mut stop).await;
            if *stop.borrow() {
                return;
            }
            replica = Replica::new(entry.state().clone());
        }
    }

    /// Starts from a peer's state, so that a fresh instance need not wait for the log.
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

    async fn run_incarnation(&mut self, entry: &mut Entry, inbox: &mut mpsc::UnboundedReceiver<Command>, stop: &mut watch::Receiver<bool>) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut stopping = false;
        while entry.lifecycle() != Lifecycle::Finished {
            tokio::select! {
                _ = ticks.tick() => self.step(entry, Event::Tick),
                command = inbox.recv() => {
                    let Some(command) = command else { return };
                    self.obey(entry, command);
                }
                _ = stop.wait_for(|it| *it), if !stopping => {
                    stopping = true;
                    self.step(entry, Event::Stop);
                }
            }
            self.publish(entry);
        }
        log::info!(id = entry.settings().id().as_ref(); "entry ends");
    }

    fn obey(&mut self, entry: &mut Entry, command: Command) {
        match command {
            Command::Event(event) => self.step(entry, event),
            Command::Submit { job, reply } => {
                let ticket = self.ticket(reply);
                self.step(entry, Event::Submit { request_id: ticket, job });
            }
            Command::Query { job, wait, reply } => {
                let ticket = self.ticket(reply);
                self.step(
                    entry,
                    Event::Query {
                        request_id: ticket,
                        job,
                        wait,
                    },
                );
            }
            Command::Inspect(inspect) => inspect(entry, self.handle.clock.now()),
        }
    }

    fn ticket(&mut self, reply: oneshot::Sender<Option<Status>>) -> RequestId {
        self.next_ticket += 1;
        self.tickets.insert(self.next_ticket, reply);
        self.next_ticket
    }

    fn step(&mut self, entry: &mut Entry, event: Event) {
        if let Event::Tick = event {
            self.drop_closed(entry);
        }
        let actions = entry.step(self.handle.clock.now(), event);
        for action in actions {
            self.carry_out(action);
        }
    }

    /// Forgets callers that no longer wait.
    fn drop_closed(&mut self, entry: &mut Entry) {
        let closed: Vec<RequestId> = self
            .tickets
            .iter()
            .filter(|(_, it)| it.is_closed())
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in closed {
            self.tickets.remove(&ticket);
            let _ = entry
                .step(self.handle.clock.now(), Event::CallerDisconnected(ticket))
                .into_iter()
                .map(|it| self.carry_out(it))
                .count();
        }
    }

    fn publish(&self, entry: &Entry) {
        let ready = entry.lifecycle() == Lifecycle::Active;
        let view = self.handle.published.load();
        let state = entry.state();
        let same = Arc::ptr_eq(&view.tree, &state.tree) && Arc::ptr_eq(&view.keys, &state.keys);
        if same && view.ready == ready && view.membership == state.roster && view.id == *entry.settings().id() {
            return;
        }
        let view = PublishedState {
            tree: state.tree.clone(),
            keys: state.keys.clone(),
            membership: state.roster.clone(),
            id: entry.settings().id().clone(),
            ready,
        };
        self.handle.published.store(Arc::new(view));
        self.metrics.offset.set(state.next_offset() as i64);
    }

    fn carry_out(&mut self, action: Action) {
        let handle = self.handle.clone();
        match action {
            Action::Log(request) => self.ask_log(request),
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
                    // Whoever waits for an answer repeats the message.
                    let _ = client.call(Call::post(addr, "/peer", frame.encode(), PEER_TIMEOUT)).await;
                });
            }
            Action::Reply {
                request_id: ticket,
                status,
            } => {
                if let Some(reply) = self.tickets.remove(&ticket) {
                    let _ = reply.send(status);
                }
            }
        }
    }

    fn ask_log(&self, request: LogRequest) {
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
