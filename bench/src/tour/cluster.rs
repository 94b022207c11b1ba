//! The processes of a tour: the stand-ins for the platform and the entry instances, all
//! served from this process, and the client of the operator.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anyhow::Context;
use oriole_daemon::api::EntryStatus;
use oriole_daemon::client::Call;
use oriole_daemon::node::{self, Clock, NodeConfig};
use oriole_daemon::operator::OperatorClient;
use oriolewall::entry::Settings;
use oriolewall::event;
use oriolewall::key;
use oriolewall::platform::Presence;
use oriolewall::record::Change;
use oriolewall::setting;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::{POOLS, TEAMS, ZONES, setting_change};
use crate::history::{EventKind, History};
use crate::standin::list::DelayedInstanceList;
use crate::standin::log::InMemoryLog;
use crate::standin::serve::{InstanceListServer, LogServer, WorkerServer, bind_loopback, lock};
use crate::standin::worker::Worker;

const ENTRIES_PER_ZONE: usize = 2;
const WORKERS_PER_POOL_AND_ZONE: usize = 2;
const SLOTS_PER_WORKER: usize = 4;
/// Number of latest log entries that the stand-in keeps.
const LOG_RETENTION: usize = 100_000;
const MAX_APPENDS_PER_SECOND: u32 = 400;
/// Time after which the instance list reports a change.
const LIST_LAG: Duration = Duration::from_millis(800);
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// An entry instance that runs in a task of its own.
pub(super) struct RunningEntry {
    name: String,
    zone: &'static str,
    addr: SocketAddr,
    /// Stops this entry.
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

/// Addresses of the entries that accept callers, as a load balancer would list them.
pub(super) type EntryAddrs = Arc<Mutex<Vec<SocketAddr>>>;

/// All running processes, and the history that they record.
pub(super) struct Cluster {
    pub(super) history: History,
    pub(super) operator: OperatorClient,
    /// Server and address of each worker, by id.
    pub(super) workers: BTreeMap<String, (WorkerServer, SocketAddr)>,
    pub(super) entry_addrs: EntryAddrs,
    entries: Vec<RunningEntry>,
    log_addr: SocketAddr,
    list_addr: SocketAddr,
    clock: Clock,
    /// Stops the stand-ins.
    stop: watch::Sender<bool>,
}

impl Cluster {
    /// Starts stand-ins and entries on ports that the system chooses.
    pub(super) async fn start() -> anyhow::Result<Cluster> {
        let clock = Clock::new();
        let history = History::default();
        let (stop, stopped) = watch::channel(false);
        let (listener, log_addr) = bind_loopback().await?;
        tokio::spawn(LogServer::new(InMemoryLog::new(LOG_RETENTION, MAX_APPENDS_PER_SECOND), clock).run(listener, stopped.clone()));
        let (listener, list_addr) = bind_loopback().await?;
        let list_server = InstanceListServer::new(DelayedInstanceList::new(LIST_LAG), clock);
        tokio::spawn(list_server.clone().run(listener, stopped.clone()));
        let mut workers = BTreeMap::new();
        for zone in ZONES {
            for pool in POOLS {
                for index in 1..=WORKERS_PER_POOL_AND_ZONE {
                    let id = format!("{zone}-{pool}-{index}");
                    let server = WorkerServer::new(Worker::new(&id, zone, SLOTS_PER_WORKER, history.clone()), clock);
                    let (listener, addr) = bind_loopback().await?;
                    tokio::spawn(server.clone().run(listener, stopped.clone()));
                    list_server.set_presence(&id, Some(Presence::Live));
                    workers.insert(id, (server, addr));
                }
            }
        }
        let mut cluster = Cluster {
            history,
            operator: OperatorClient::new(log_addr, Vec::new(), "tour"),
            workers,
            entry_addrs: Arc::default(),
            entries: Vec::new(),
            log_addr,
            list_addr,
            clock,
            stop,
        };
        for zone in ZONES {
            for index in 1..=ENTRIES_PER_ZONE {
                let entry = cluster.start_entry(&format!("{zone}-e{index}"), zone).await?;
                cluster.entries.push(entry);
            }
        }
        let addrs: Vec<SocketAddr> = cluster.entries.iter().map(|it| it.addr).collect();
        cluster.operator = OperatorClient::new(log_addr, addrs, "tour");
        Ok(cluster)
    }

    /// Starts an entry with the addresses of the log and of the instance list.
    async fn start_entry(&self, name: &str, zone: &'static str) -> anyhow::Result<RunningEntry> {
        let (listener, addr) = bind_loopback().await?;
        let (stop, stopped) = watch::channel(false);
        let config = NodeConfig {
            settings: Settings::builder(name, zone, addr).stop_grace(Duration::from_secs(6)).build(),
            log: self.log_addr,
            list: self.list_addr,
            max_body_bytes: 1024 * 1024,
            max_connections: 1024,
            peers: Vec::new(),
        };
        let task = tokio::spawn(node::run(config, listener, stopped));
        Ok(RunningEntry {
            name: name.to_owned(),
            zone,
            addr,
            stop,
            task,
        })
    }

    /// Registers the workers, sets the pools, weight and cap of each team and grants it
    /// two keys. Then waits until all entries accept jobs.
    pub(super) async fn set_up(&self) -> anyhow::Result<()> {
        for (id, (_, addr)) in &self.workers {
            let mut parts = id.splitn(3, '-');
            let zone = parts.next().context("worker id without a zone")?;
            let pool = parts.next().context("worker id without a pool")?;
            let rack = format!("r{}", parts.next().context("worker id without a number")?);
            let change = Change::InstanceAdd {
                id: id.as_str().into(),
                zone: zone.into(),
                rack: rack.as_str().into(),
                pool: pool.into(),
                addr: *addr,
                slots: SLOTS_PER_WORKER as u32,
            };
            self.operator.apply_change(change).await?;
        }
        for team in &TEAMS {
            let path = format!("org/{}", team.name);
            self.set(&path, setting::POOLS, team.pools).await?;
            self.set(&path, setting::WEIGHT, &team.weight.to_string()).await?;
            self.history.record(
                self.now_ms(),
                EventKind::Cap {
                    team: path.clone(),
                    slots: team.cap,
                },
            );
            self.set(&path, setting::CAP, &team.cap.to_string()).await?;
            for index in 1..=2 {
                let id = team.key_id(index);
                let hash = key::hash_secret(&team.secret(index));
                let grant = Change::KeyGrant {
                    id: id.as_str().into(),
                    team: path.as_str().into(),
                    hash,
                };
                self.operator.apply_change(grant).await?;
            }
        }
        self.wait_for_entries().await
    }

    /// Waits until every entry is active and has applied the latest record, then adds
    /// all of them to `entry_addrs`.
    async fn wait_for_entries(&self) -> anyhow::Result<()> {
        let next_offset = self.operator.read_state().await?.next_offset();
        for entry in &self.entries {
            self.wait_for_entry(entry.addr, next_offset).await?;
        }
        *lock(&self.entry_addrs) = self.entries.iter().map(|it| it.addr).collect();
        Ok(())
    }

    /// Waits until an entry is active and has applied all records before `next_offset`;
    /// fails after 200 status requests, 50 ms apart.
    async fn wait_for_entry(&self, addr: SocketAddr, next_offset: u64) -> anyhow::Result<()> {
        const ATTEMPTS: usize = 200;
        for _ in 0..ATTEMPTS {
            if let Some(status) = self.status(addr).await
                && status.life == "Active"
                && next_offset <= status.next
            {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        anyhow::bail!("entry at {addr} did not become ready")
    }

    /// Returns the status of an entry; `None` if it does not answer.
    async fn status(&self, addr: SocketAddr) -> Option<EntryStatus> {
        let response = self
            .operator
            .client()
            .call(Call::get(addr, "/v1/status", CALL_TIMEOUT))
            .await
            .ok()?;
        serde_json::from_slice(&response.body).ok()
    }

    /// Sets a setting of the node at `path`, and records the accepted change in the history.
    pub(super) async fn set(&self, path: &str, name: &str, value: &str) -> anyhow::Result<()> {
        let accepted = self.operator.apply_change(setting_change(path, name, value)).await?;
        self.history.record(self.now_ms(), EventKind::Accepted { offset: accepted.offset });
        Ok(())
    }

    /// Wall-clock time, as used in the history.
    pub(super) fn now_ms(&self) -> u64 {
        self.clock.now().wall_ms()
    }

    pub(super) fn entry_count(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn entry_name(&self, index: usize) -> &str {
        &self.entries[index].name
    }

    /// Starts an entry of the same name and zone on another port, waits until it is
    /// ready, and then stops the old one gracefully. Callers are directed to the new one
    /// before the old one stops.
    pub(super) async fn replace_entry(&mut self, index: usize) -> anyhow::Result<()> {
        let (name, zone) = (self.entries[index].name.clone(), self.entries[index].zone);
        let new = self.start_entry(&name, zone).await?;
        let next_offset = self.operator.read_state().await?.next_offset();
        self.wait_for_entry(new.addr, next_offset).await?;
        let old = std::mem::replace(&mut self.entries[index], new);
        *lock(&self.entry_addrs) = self.entries.iter().map(|it| it.addr).collect();
        let _ = old.stop.send(true);
        old.task.await.context("the replaced entry panicked")?;
        Ok(())
    }

    /// Records about five times a second up to which offset each entry has applied the
    /// log, for the checker of accepted changes.
    pub(super) fn start_sampler(&self) -> JoinHandle<()> {
        let entry_addrs = self.entry_addrs.clone();
        let history = self.history.clone();
        let client = self.operator.client().clone();
        let clock = self.clock;
        tokio::spawn(async move {
            loop {
                let addrs = lock(&entry_addrs).clone();
                for addr in addrs {
                    let call = Call::get(addr, "/v1/status", CALL_TIMEOUT);
                    let Ok(response) = client.call(call).await else {
                        continue;
                    };
                    if let Ok(status) = serde_json::from_slice::<EntryStatus>(&response.body) {
                        let sample = EventKind::Seen {
                            process: status.id,
                            offset: status.next,
                            reachable: true,
                        };
                        history.record(clock.now().wall_ms(), sample);
                    }
                }
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
        })
    }

    /// Records pools and budgets of the state as it is in the log now.
    pub(super) async fn record_state(&self) -> anyhow::Result<()> {
        let state = self.operator.read_state().await?;
        crate::history::record_fleet(&self.history, self.now_ms(), &state, false);
        Ok(())
    }

    /// Returns the events of all entries that answer, in a common order.
    pub(super) async fn events(&self) -> Vec<event::Event> {
        let mut events = Vec::new();
        for entry in &self.entries {
            let call = Call::get(entry.addr, "/events", CALL_TIMEOUT);
            let Ok(response) = self.operator.client().call(call).await else {
                continue;
            };
            if let Ok(page) = serde_json::from_slice::<event::Page>(&response.body) {
                events.extend(page.events);
            }
        }
        event::sort(events)
    }

    /// Stops the entries and waits for them, then stops the stand-ins.
    pub(super) async fn stop(&mut self) {
        for entry in &self.entries {
            let _ = entry.stop.send(true);
        }
        for entry in self.entries.drain(..) {
            let _ = entry.task.await;
        }
        let _ = self.stop.send(true);
    }
}
