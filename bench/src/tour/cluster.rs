//! Stand-ins and entries of the tour.

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
use crate::standin::http::{InstanceListServer, LogServer, WorkerServer, bind_loopback, lock};
use crate::standin::list::DelayedInstanceList;
use crate::standin::log::InMemoryLog;
use crate::standin::worker::Worker;

const ENTRIES_PER_ZONE: usize = 2;
const WORKERS_PER_POOL: usize = 2;
const SLOTS: usize = 4;
const LOG_KEPT: usize = 100_000;
const APPENDS_PER_SECOND: u32 = 400;
const LIST_LAG: Duration = Duration::from_millis(800);
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// One running entry.
pub(super) struct RunningEntry {
    name: String,
    zone: &'static str,
    addr: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

/// Addresses of entries that take callers now, as a balancer knows them.
pub(super) type EntryAddrs = Arc<Mutex<Vec<SocketAddr>>>;

/// Everything that runs.
pub(super) struct Cluster {
    pub(super) history: History,
    pub(super) operator: OperatorClient,
    pub(super) workers: BTreeMap<String, (WorkerServer, SocketAddr)>,
    pub(super) entry_addrs: EntryAddrs,
    entries: Vec<RunningEntry>,
    log: SocketAddr,
    list: SocketAddr,
    clock: Clock,
    stop: watch::Sender<bool>,
}

impl Cluster {
    /// Starts stand-ins and entries on ports chosen by the system.
    pub(super) async fn start() -> anyhow::Result<Cluster> {
        let clock = Clock::new();
        let history = History::default();
        let (stop, stopped) = watch::channel(false);
        let (listener, log) = bind_loopback().await?;
        tokio::spawn(LogServer::new(InMemoryLog::new(LOG_KEPT, APPENDS_PER_SECOND), clock).run(listener, stopped.clone()));
        let (listener, list) = bind_loopback().await?;
        let list_server = InstanceListServer::new(DelayedInstanceList::new(LIST_LAG), clock);
        tokio::spawn(list_server.clone().run(listener, stopped.clone()));
        let mut workers = BTreeMap::new();
        for zone in ZONES {
            for pool in POOLS {
                for index in 1..=WORKERS_PER_POOL {
                    let id = format!("{zone}-{pool}-{index}");
                    let server = WorkerServer::new(Worker::new(&id, zone, SLOTS, history.clone()), clock);
                    let (listener, addr) = bind_loopback().await?;
                    tokio::spawn(server.clone().run(listener, stopped.clone()));
                    list_server.set_presence(&id, Some(Presence::Live));
                    workers.insert(id, (server, addr));
                }
            }
        }
        let mut cluster = Cluster {
            history,
            operator: OperatorClient::new(log, Vec::new(), "tour"),
            workers,
            entry_addrs: Arc::default(),
            entries: Vec::new(),
            log,
            list,
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
        cluster.operator = OperatorClient::new(log, addrs, "tour");
        Ok(cluster)
    }

    async fn start_entry(&self, name: &str, zone: &'static str) -> anyhow::Result<RunningEntry> {
        let (listener, addr) = bind_loopback().await?;
        let (stop, stopped) = watch::channel(false);
        let node = NodeConfig {
            settings: Settings::builder(name, zone, addr).stop_grace(Duration::from_secs(6)).build(),
            log: self.log,
            list: self.list,
            max_body_bytes: 1024 * 1024,
            max_connections: 1024,
            peers: Vec::new(),
        };
        let task = tokio::spawn(node::run(node, listener, stopped));
        Ok(RunningEntry {
            name: name.to_owned(),
            zone,
            addr,
            stop,
            task,
        })
    }

    /// Writes teams, keys, pools, zones, shares and caps; waits until all entries take work.
    pub(super) async fn set_up(&self) -> anyhow::Result<()> {
        for (id, (_, addr)) in &self.workers {
            let mut parts = id.splitn(3, '-');
            let zone = parts.next().context("zone in the name")?;
            let pool = parts.next().context("pool in the name")?;
            let rack = format!("r{}", parts.next().context("number in the name")?);
            let change = Change::InstanceAdd {
                id: id.as_str().into(),
                zone: zone.into(),
                rack: rack.as_str().into(),
                pool: pool.into(),
                addr: *addr,
                slots: SLOTS as u32,
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
        self.wait_ready().await
    }

    /// Waits until every entry is ready and knows the last record, then opens the entry_addrs.
    async fn wait_ready(&self) -> anyhow::Result<()> {
        let next = self.operator.read_state().await?.next_offset();
        for entry in &self.entries {
            self.wait_entry(entry.addr, next).await?;
        }
        *lock(&self.entry_addrs) = self.entries.iter().map(|it| it.addr).collect();
        Ok(())
    }

    async fn wait_entry(&self, addr: SocketAddr, next: u64) -> anyhow::Result<()> {
        const TRIES: usize = 200;
        for _ in 0..TRIES {
            if let Some(status) = self.status(addr).await
                && status.life == "Active"
                && next <= status.next
            {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        anyhow::bail!("entry at {addr} did not become ready")
    }

    async fn status(&self, addr: SocketAddr) -> Option<EntryStatus> {
        let response = self
            .operator
            .client()
            .call(Call::get(addr, "/v1/status", CALL_TIMEOUT))
            .await
            .ok()?;
        serde_json::from_slice(&response.body).ok()
    }

    pub(super) async fn set(&self, path: &str, name: &str, value: &str) -> anyhow::Result<()> {
        let receipt = self.operator.apply_change(setting_change(path, name, value)).await?;
        self.history.record(self.now_ms(), EventKind::Accepted { offset: receipt.offset });
        Ok(())
    }

    pub(super) fn now_ms(&self) -> u64 {
        self.clock.now().wall_ms()
    }

    pub(super) fn entry_count(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn entry_name(&self, index: usize) -> &str {
        &self.entries[index].name
    }

    /// Stops an entry gracefully and starts its successor on another port.
    pub(super) async fn replace_entry(&mut self, index: usize) -> anyhow::Result<()> {
        let (name, zone) = (self.entries[index].name.clone(), self.entries[index].zone);
        let fresh = self.start_entry(&name, zone).await?;
        let next = self.operator.read_state().await?.next_offset();
        self.wait_entry(fresh.addr, next).await?;
        let old = std::mem::replace(&mut self.entries[index], fresh);
        *lock(&self.entry_addrs) = self.entries.iter().map(|it| it.addr).collect();
        let _ = old.stop.send(true);
        old.task.await.context("the replaced entry failed")?;
        Ok(())
    }

    /// Notes several times a second what every entry has in force.
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
                        let seen = EventKind::Seen {
                            process: status.id,
                            offset: status.next,
                            reachable: true,
                        };
                        history.record(clock.now().wall_ms(), seen);
                    }
                }
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
        })
    }

    /// Notes pools and budgets as the log has them at the end.
    pub(super) async fn record_state(&self) -> anyhow::Result<()> {
        let state = self.operator.read_state().await?;
        crate::history::record_fleet(&self.history, self.now_ms(), &state, false);
        Ok(())
    }

    /// Events of all entries, in one order.
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

    /// Stops everything.
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
