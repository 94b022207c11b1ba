//! Carries out the decisions of the [`ClientBudget`]: admits connections, has them closed, and
//! counts and logs why.

use std::collections::HashMap;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use oriolewall::client_budget::{Admission, Charge, ClientBudget, ConnectionId, Limits, Listener, Reason, Report};
use prometheus::IntCounterVec;
use serde_json::json;
use tokio::sync::Notify;

use crate::clock;
use crate::decision_log::DecisionLog;
use crate::settings::Settings;

/// Memory of a connection besides its read buffer, which is as large as the largest head: hyper's
/// write buffer of 8 KiB, its state, the task and the socket's entry in the reactor.
const CONNECTION_BYTES: usize = 10 << 10;
/// Time between two checks of the time limits.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which a listener without room asks again.
const ADMISSION_RETRY: Duration = Duration::from_millis(50);

/// Closed connections of one reason since the last log line.
#[derive(Debug)]
struct ClosedClients {
    count: u64,
    last: Report,
    client: SocketAddr,
}

#[derive(Debug)]
struct State {
    budget: ClientBudget,
    /// Tasks of the connections.
    wakers: HashMap<ConnectionId, Waker>,
    /// Closed connections that are not logged yet.
    closed: HashMap<Reason, ClosedClients>,
}

/// Connections of clients to all listeners.
#[derive(Debug)]
pub(crate) struct Clients {
    state: Mutex<State>,
    /// Signals that a connection has ended.
    room: Notify,
    closed_total: IntCounterVec,
}

/// A connection of a client, which counts as open until it is dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    clients: Arc<Clients>,
    id: ConnectionId,
    client: SocketAddr,
}

impl State {
    fn wake(&mut self, id: ConnectionId) {
        if let Some(waker) = self.wakers.get(&id) {
            waker.wake_by_ref();
        }
    }

    /// Has the requests that wait for memory ask again.
    fn wake_waiting(&mut self) {
        for id in self.budget.waiting() {
            if let Some(waker) = self.wakers.get(&id) {
                waker.wake_by_ref();
            }
        }
    }
}

impl Clients {
    pub(crate) fn new(settings: &Settings, closed_total: IntCounterVec) -> Clients {
        let derived = Limits::derive(
            settings.memory_bytes,
            settings.descriptors,
            settings.clients.head_bytes + CONNECTION_BYTES,
        );
        let limits = Limits {
            head_time: settings.clients.head_time,
            body_time: settings.clients.body_time,
            body_rate: settings.clients.body_rate,
            response_time: settings.clients.response_time,
            idle_time: settings.clients.idle_time,
            ..derived
        };
        Clients {
            state: Mutex::new(State {
                budget: ClientBudget::new(limits),
                wakers: HashMap::new(),
                closed: HashMap::new(),
            }),
            room: Notify::new(),
            closed_total,
        }
    }

    /// Locks the state. A panic of another task does not leave it half changed.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|it| it.into_inner())
    }

    /// Waits until there is room for a connection.
    pub(crate) async fn admit(self: &Arc<Clients>, listener: Listener, client: SocketAddr) -> Connection {
        loop {
            let admission = {
                let mut state = self.lock();
                let admission = state.budget.admit(clock::now().mono, listener);
                if let Admission::Wait(Some(id)) = admission {
                    state.wake(id);
                }
                admission
            };
            if let Admission::Admitted(id) = admission {
                return Connection {
                    clients: self.clone(),
                    id,
                    client,
                };
            }
            // A connection becomes eligible to be closed as time passes, which nothing signals.
            let _ = tokio::time::timeout(ADMISSION_RETRY, self.room.notified()).await;
        }
    }

    /// Closes the connections that exceed a time limit, and logs closed ones; never returns.
    pub(crate) async fn check_periodically(&self, decision_log: &DecisionLog) {
        let mut logged_second = 0;
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let now = clock::now();
            {
                let mut state = self.lock();
                for id in state.budget.check(now.mono) {
                    state.wake(id);
                }
                state.wake_waiting();
            }
            let second = now.wall_ms() / 1000;
            if std::mem::replace(&mut logged_second, second) != second {
                self.log_closed(decision_log);
            }
        }
    }

    /// Writes a line for each reason for which connections were closed.
    fn log_closed(&self, decision_log: &DecisionLog) {
        let closed = std::mem::take(&mut self.lock().closed);
        for (reason, it) in closed {
            decision_log.write(
                "client_closed",
                json!({
                    "reason": reason.name(),
                    "count": it.count,
                    "listener": it.last.listener.name(),
                    "client": it.client.to_string(),
                    "phase": it.last.phase,
                    "age_ms": it.last.age.as_millis() as u64,
                    "received": it.last.received,
                    "held": it.last.charged,
                }),
            );
        }
    }

    /// Number of connections of a listener.
    pub(crate) fn open(&self, listener: Listener) -> usize {
        self.lock().budget.open(listener)
    }

    /// Memory that requests hold, bytes.
    pub(crate) fn used_bytes(&self) -> usize {
        self.lock().budget.used_bytes()
    }
}

impl Connection {
    /// Completes with the reason once the connection has to be closed.
    pub(crate) async fn closed(&self) -> Reason {
        poll_fn(|cx| self.poll_closed(cx)).await
    }

    fn poll_closed(&self, cx: &mut Context<'_>) -> Poll<Reason> {
        let mut state = self.clients.lock();
        if let Some(reason) = state.budget.closing(self.id) {
            return Poll::Ready(reason);
        }
        // The task of the connection polls this first, so that it also wakes a waiting request.
        state.wakers.insert(self.id, cx.waker().clone());
        Poll::Pending
    }

    /// Returns why the connection has to be closed.
    pub(crate) fn closing(&self) -> Option<Reason> {
        self.clients.lock().budget.closing(self.id)
    }

    /// Whether the body of a request is being read.
    pub(crate) fn is_reading_body(&self) -> bool {
        self.clients.lock().budget.is_reading_body(self.id)
    }

    /// Records bytes that the client sent.
    pub(crate) fn record_received(&self, bytes: usize) {
        self.clients.lock().budget.record_received(clock::now().mono, self.id, bytes);
    }

    /// Records whether the client takes no more of a response.
    pub(crate) fn record_write_blocked(&self, is_blocked: bool) {
        let mut state = self.clients.lock();
        state.budget.record_write_blocked(clock::now().mono, self.id, is_blocked);
    }

    /// Records that the body of a request is being read.
    pub(crate) fn record_body(&self) {
        self.clients.lock().budget.record_body(clock::now().mono, self.id);
    }

    /// Records that a request is complete. Returns why it has to be refused.
    pub(crate) fn record_complete(&self) -> Result<(), Reason> {
        let closing = self.clients.lock().budget.record_complete(clock::now().mono, self.id);
        closing.map_or(Ok(()), Err)
    }

    /// Records that the response to a request is ready.
    pub(crate) fn record_response(&self) {
        let mut state = self.clients.lock();
        state.budget.record_response(clock::now().mono, self.id);
        state.wake_waiting();
    }

    /// Waits for memory for the request. Has to be called in the task of the connection.
    pub(crate) async fn charge(&self, bytes: usize) -> Result<(), Reason> {
        poll_fn(|_| {
            let mut state = self.clients.lock();
            match state.budget.charge(clock::now().mono, self.id, bytes) {
                Charge::Granted => Poll::Ready(Ok(())),
                Charge::Refused(reason) => Poll::Ready(Err(reason)),
                Charge::Wait(closed) => {
                    closed.into_iter().for_each(|it| state.wake(it));
                    Poll::Pending
                }
            }
        })
        .await
    }

    /// Counts and logs that the connection is closed, or its request refused.
    pub(crate) fn record_closed(&self, reason: Reason) {
        let mut state = self.clients.lock();
        let Some(report) = state.budget.report(clock::now().mono, self.id) else {
            return;
        };
        let labels = [report.listener.name(), reason.name()];
        self.clients.closed_total.with_label_values(&labels).inc();
        let closed = state.closed.entry(reason).or_insert(ClosedClients {
            count: 0,
            last: report,
            client: self.client,
        });
        closed.count += 1;
        (closed.last, closed.client) = (report, self.client);
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut state = self.clients.lock();
        state.budget.remove(self.id);
        state.wakers.remove(&self.id);
        state.wake_waiting();
        drop(state);
        // All listeners may wait for room, and it may be the room of any of them.
        self.clients.room.notify_waiters();
    }
}
