//! A small deployment: the project's entry instances as processes, with the stand-ins around them.

use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

use crate::advice::{self, Advice};
use crate::gang::Gangs;
use crate::http;
use crate::json::{Json, list, number, object, text};
use crate::record::Record;
use crate::runner::{Entry, Runner};
use crate::store::{PARTS, Store};

/// Bounds of the small deployment `apmas-cellyard` on the users' pages.
pub const HOLD_MAX_MS: u64 = 10_000;
pub const CONTACT: Duration = Duration::from_millis(3_000);
pub const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
pub const VISIBLE: Duration = Duration::from_millis(3_000);
const STOP_TIMEOUT_MS: u64 = 200;
const GRACE_S: u64 = 6;
const LEASE_MS: u64 = 3_000;
/// Memory of a machine, and the time until a process that was killed starts again.
const MEMORY_MB: u64 = 260;
const RESTART_DELAY: Duration = Duration::from_millis(500);
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Time that a client waits for an answer.
const CLIENT_DEADLINE: Duration = Duration::from_millis(3_000);
const ZONES: [&str; 3] = ["regina-yard", "moosejaw-yard", "weyburn-yard"];
/// Port of the metrics, as in the deploy file.
const METRICS_PORT: u16 = 7001;
/// Host name of all queues.
const HOST: &str = "pule25.example";

#[derive(Clone, Debug)]
pub struct Route {
    pub name: &'static str,
    pub prefix: &'static str,
    pub service: &'static str,
    pub max_attempts: u64,
    pub is_public: bool,
    /// Whether the queue has `recommendation`.
    pub is_advised: bool,
}

impl Route {
    /// A queue that needs a key.
    pub const fn new(name: &'static str, prefix: &'static str, service: &'static str) -> Route {
        Route {
            name,
            prefix,
            service,
            max_attempts: 3,
            is_public: false,
            is_advised: false,
        }
    }
}

#[derive(Clone, Debug)]
pub struct Tenant {
    pub name: &'static str,
    pub keys: Vec<&'static str>,
    /// Thousandths of a core; zero for no limit.
    pub ceiling: u64,
}

#[derive(Clone, Debug)]
pub struct Config {
    pub routes: Vec<Route>,
    pub services: Vec<&'static str>,
    pub tenants: Vec<Tenant>,
}

impl Config {
    fn to_json(&self, version: u64) -> Json {
        let routes = self.routes.iter().map(|it| {
            let mut route = vec![
                ("name", text(it.name)),
                ("host", text(HOST)),
                ("pathPrefix", text(it.prefix)),
                ("kind", text("unsafe")),
                ("timeoutMs", number(3000)),
                ("targetLatencyMs", number(600)),
                ("priority", number(0)),
                ("service", text(it.service)),
                ("maxAttempts", number(it.max_attempts)),
                ("slackFactor", Json::Number(1.6)),
                ("public", Json::Bool(it.is_public)),
            ];
            if it.is_advised {
                let terms = object([
                    ("decisionMs", number(advice::DECISION_MS)),
                    ("periodMs", number(advice::PERIOD_MS)),
                    ("validityMs", number(advice::VALIDITY_MS)),
                ]);
                route.push(("recommendation", terms));
            }
            Json::Object(route.into_iter().map(|(name, value)| (name.to_owned(), value)).collect())
        });
        let services = self
            .services
            .iter()
            .map(|it| object([("name", text(*it)), ("enforceLimits", Json::Bool(false))]));
        let tenants = self.tenants.iter().map(|it| {
            object([
                ("name", text(it.name)),
                ("apiKeys", list(it.keys.iter().map(|it| text(*it)))),
                ("weight", number(10)),
                (
                    "ceiling",
                    object([("cpu", number(it.ceiling)), ("memMb", number(0)), ("gpu", number(0))]),
                ),
            ])
        });
        object([
            ("version", number(version)),
            ("routes", list(routes)),
            ("services", list(services)),
            ("tenants", list(tenants)),
            ("limits", object([])),
        ])
    }
}

/// An entry instance.
pub struct Instance {
    pub name: String,
    pub frontend: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    pid: AtomicU32,
}

pub struct Site {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub runners: Vec<Arc<Runner>>,
    pub instances: Vec<Instance>,
    pub advice: Arc<Advice>,
    folder: PathBuf,
    version: u64,
}

/// Answer to a call of a client.
#[derive(Clone, Debug)]
pub struct Answer {
    pub sent: Duration,
    pub received: Duration,
    /// `None` without an answer.
    pub status: Option<u16>,
    pub body: Json,
}

impl Answer {
    pub fn is_ok(&self) -> bool {
        self.status.is_some_and(|it| (200..300).contains(&it))
    }
}

impl Site {
    /// Starts the store, the runners of each service and the entry instances, and waits until the
    /// instances are ready.
    pub fn start(record: Arc<Record>, instances: usize, services: &[(&'static str, usize, u64)], config: &Config) -> Site {
        let folder = std::env::temp_dir().join(format!("oriole-review-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap_or_else(|err| crate::cannot_run(&format!("cannot create {}: {err}", folder.display())));
        let store_addr = free_addr(address(200, 1));
        let store = Store::start(store_addr);
        store.put("keyed.op", "config", Some(config.to_json(1)));
        let gangs = Arc::new(Gangs::default());
        let advice = Arc::new(Advice::default());
        let advice_addr = free_addr(address(200, 2));
        advice.serve(advice_addr, record.clone());
        let mut runners = Vec::new();
        for (service, count, cpu) in services {
            for _ in 0..*count {
                let index = runners.len();
                let entry = Entry {
                    id: format!("i-{:08x}", 0x7f3a_0000_u32 + index as u32),
                    service: (*service).to_owned(),
                    addr: free_addr(address(128, index as u8 + 1)),
                    zone: ZONES[index % ZONES.len()].to_owned(),
                    rack: format!("r{}-1", index % ZONES.len()),
                    cpu: *cpu,
                };
                runners.push(Runner::start(entry, record.clone(), gangs.clone(), advice.clone()));
            }
        }
        let (beat_store, beat_runners) = (store.clone(), runners.clone());
        thread::spawn(move || {
            for sequence in 1.. {
                for runner in &beat_runners {
                    beat_store.put("keyed.servers", &runner.entry.id, Some(runner.beat(sequence)));
                }
                thread::sleep(HEARTBEAT);
            }
        });
        let mut site = Site {
            record,
            store,
            runners,
            instances: Vec::new(),
            advice,
            folder,
            version: 1,
        };
        for index in 0..instances {
            let instance = site.prepare(index, store_addr, advice_addr);
            site.instances.push(instance);
            site.spawn(index);
        }
        for index in 0..instances {
            site.await_ready(index);
        }
        site
    }

    /// Writes the settings of an instance from the template of the deploy file.
    fn prepare(&self, index: usize, store: SocketAddr, advice: SocketAddr) -> Instance {
        let ip = address(1, index as u8 + 1);
        let zone = ZONES[index % ZONES.len()];
        let name = format!("edge-{zone}-{}", index + 1);
        let (frontend, ready, peers) = (free_addr(ip), free_addr(ip), free_addr(ip));
        let template = fs::read_to_string("deploy/fleet.ini.template")
            .unwrap_or_else(|err| crate::cannot_run(&format!("cannot read the template: {err}")));
        let fields = [
            ("nodeName", name.clone()),
            ("zone", zone.to_owned()),
            ("listen.frontend", frontend.to_string()),
            ("listen.readyAddr", ready.to_string()),
            ("ip", ip.to_string()),
            ("portRange.0", peers.port().to_string()),
            ("platform.address", store.to_string()),
            ("platform.parts", PARTS.to_string()),
            ("platform.ttlMinMs", "1000".to_owned()),
            ("cloud.address", String::new()),
            ("recommendation", advice.to_string()),
            ("bounds.holdMaxMs", HOLD_MAX_MS.to_string()),
            ("bounds.stopTimeoutMs", STOP_TIMEOUT_MS.to_string()),
            ("bounds.graceS", GRACE_S.to_string()),
            ("bounds.leaseMs", LEASE_MS.to_string()),
            ("limits.cpuShare", "0.25".to_owned()),
            ("limits.memoryMb", MEMORY_MB.to_string()),
            ("limits.maxFds", "4100".to_owned()),
        ];
        let mut settings = template;
        for (field, value) in fields {
            settings = settings.replace(&format!("{{{{{field}}}}}"), &value);
        }
        if settings.contains("{{") {
            crate::cannot_run("the template has a field that this stand-in does not know");
        }
        let path = self.folder.join(format!("{name}.ini"));
        fs::write(&path, settings).unwrap_or_else(|err| crate::cannot_run(&format!("cannot write {}: {err}", path.display())));
        Instance {
            log: self.folder.join(format!("{name}.log")),
            name,
            frontend,
            ready,
            settings: path,
            pid: AtomicU32::new(0),
        }
    }

    /// Starts the program of an instance with the command of the deploy file.
    pub fn spawn(&self, index: usize) {
        let instance = &self.instances[index];
        let open = fs::OpenOptions::new().create(true).append(true).open(&instance.log);
        let log = open.unwrap_or_else(|err| crate::cannot_run(&format!("cannot write a log: {err}")));
        // Nothing starts once all have been ended.
        let mut children = children();
        if IS_OVER.load(Ordering::Relaxed) {
            return;
        }
        let child = Command::new("target/release/oriole-fleet")
            .arg("--config")
            .arg(&instance.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn();
        let child = child.unwrap_or_else(|err| crate::cannot_run(&format!("cannot start oriole-fleet: {err}")));
        self.record.note(format!("{}: started", instance.name));
        instance.pid.store(child.id(), Ordering::Relaxed);
        children.push(child);
    }

    pub fn await_ready(&self, index: usize) {
        let begun = Instant::now();
        let instance = &self.instances[index];
        while begun.elapsed() < Duration::from_secs(15) {
            let answer = http::call(instance.ready, "GET", "/readyz", &[], "", Duration::from_secs(1));
            if answer.is_ok_and(|(status, _)| status == 200) {
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
        crate::cannot_run(&format!("{} is not ready after 15 s", instance.name));
    }

    /// Kills the instances whose memory is over the limit, and starts them again after a short delay,
    /// as the platform does. Returns those that were killed.
    pub fn enforce_memory_limit(&self) -> Vec<usize> {
        let memory = self.memory().into_iter().enumerate();
        let over: Vec<usize> = memory.filter(|(_, (now, _))| MEMORY_MB < *now).map(|(index, _)| index).collect();
        for index in &over {
            let instance = &self.instances[*index];
            let pid = instance.pid.load(Ordering::Relaxed);
            if let Some(child) = children().iter_mut().find(|it| it.id() == pid) {
                let _ = child.kill();
                let _ = child.wait();
            }
            self.record
                .say(format!("{}: killed, as its memory is over {MEMORY_MB} MiB", instance.name));
            thread::sleep(RESTART_DELAY);
            self.spawn(*index);
        }
        over
    }

    /// Resident memory of the instances now and at its peak, MiB.
    pub fn memory(&self) -> Vec<(u64, u64)> {
        let field = |status: &str, name: &str| {
            let line = status.lines().find_map(|it| it.strip_prefix(name));
            let kib = line.and_then(|it| it.split_whitespace().next()?.parse::<u64>().ok());
            kib.unwrap_or(0) / 1024
        };
        let pids = self.instances.iter().map(|it| it.pid.load(Ordering::Relaxed));
        let status = pids.map(|it| fs::read_to_string(format!("/proc/{it}/status")).unwrap_or_default());
        status.map(|it| (field(&it, "VmRSS:"), field(&it, "VmHWM:"))).collect()
    }

    /// Writes a new configuration. Returns when it was acknowledged.
    pub fn configure(&mut self, config: &Config) -> Duration {
        self.version += 3;
        self.store.put("keyed.op", "config", Some(config.to_json(self.version)));
        self.record.note(format!("operator: version {} is acknowledged", self.version));
        self.record.now()
    }

    /// Makes a call of a client. An empty key is not sent.
    pub fn call(&self, instance: usize, method: &str, path: &str, key: &str, body: &str) -> Answer {
        call(
            &self.record,
            &self.instances[instance % self.instances.len()],
            method,
            path,
            key,
            body,
        )
    }

    /// Submits a job until it is accepted. Returns the last answer.
    pub fn submit(&self, instance: usize, path: &str, key: &str, spec: &str, count: u64, cpu: u64, lasts: bool) -> Answer {
        let body = job(spec, count, cpu, lasts);
        for attempt in 0..5 {
            let answer = self.call((instance + attempt) % self.instances.len(), "POST", path, key, &body);
            if answer.is_ok() {
                return answer;
            }
            thread::sleep(Duration::from_millis(300));
        }
        crate::cannot_run(&format!("no instance accepted the job {path}"))
    }

    /// Number of tasks of a job that run now.
    pub fn running(&self, job: &str) -> usize {
        let tasks = self.runners.iter().flat_map(|it| it.running());
        tasks.filter(|(task, _)| task.starts_with(job)).count()
    }

    pub fn wait(&self, time: Duration) {
        thread::sleep(time);
    }

    /// Waits until a condition holds, for 20 s at most.
    pub fn await_that<F>(&self, what: &str, mut condition: F)
    where
        F: FnMut(&Site) -> bool,
    {
        let begun = Instant::now();
        while !condition(self) {
            if Duration::from_secs(20) < begun.elapsed() {
                crate::cannot_run(&format!("after 20 s not seen: {what}"));
            }
            thread::sleep(Duration::from_millis(20));
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        end_all();
        match std::env::var_os("KEEP_LOGS") {
            Some(_) => println!("logs: {}", self.folder.display()),
            None => _ = fs::remove_dir_all(&self.folder),
        }
    }
}

/// Whether all processes have been ended.
static IS_OVER: AtomicBool = AtomicBool::new(false);

/// Processes that this one has started.
fn children() -> MutexGuard<'static, Vec<Child>> {
    static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());
    CHILDREN.lock().unwrap_or_else(|it| it.into_inner())
}

/// Ends all processes that this one has started, by their handles.
pub fn end_all() {
    let mut children = children();
    IS_OVER.store(true, Ordering::Relaxed);
    for mut child in children.drain(..) {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// Makes a call of a client to an instance, and records it.
pub fn call(record: &Record, instance: &Instance, method: &str, path: &str, key: &str, body: &str) -> Answer {
    let mut headers = vec![
        ("host", HOST.to_owned()),
        ("x-deadline-ms", CLIENT_DEADLINE.as_millis().to_string()),
    ];
    if !key.is_empty() {
        headers.push(("authorization", format!("Bearer {key}")));
    }
    let sent = record.now();
    let answer = http::call(instance.frontend, method, path, &headers, body, CLIENT_DEADLINE);
    let (status, body) = match answer {
        Ok((status, body)) => (Some(status), Json::parse(&body).unwrap_or(Json::Null)),
        Err(_) => (None, Json::Null),
    };
    let answer = Answer {
        sent,
        received: record.now(),
        status,
        body,
    };
    let outcome = answer.status.map_or("no answer".to_owned(), |it| it.to_string());
    let took = (answer.received - sent).as_millis();
    record.note(format!(
        "client: {method} {path} key '{key}' to {}: {outcome} {} after {took} ms",
        instance.name, answer.body
    ));
    answer
}

/// Body of a job with one step.
pub fn job(spec: &str, count: u64, cpu: u64, lasts: bool) -> String {
    let mut step = vec![
        ("count".to_owned(), number(count)),
        ("cpu".to_owned(), number(cpu)),
        ("memMb".to_owned(), number(256)),
        ("estimateMs".to_owned(), number(1000)),
    ];
    if lasts {
        step.push(("longRunning".to_owned(), Json::Bool(true)));
    }
    object([("spec", text(spec)), ("phases", list([Json::Object(step)]))]).to_string()
}

/// An address of the loopback range. The metrics have a fixed port, so cases that run at the same
/// time use different networks. A listener reserves each.
fn address(net: u8, host: u8) -> IpAddr {
    static NETWORK: OnceLock<(u8, TcpListener)> = OnceLock::new();
    let reserve = || {
        let first = (std::process::id() % 200) as u8;
        let networks = (0..200).map(|it| 10 + (u16::from(first) + it) % 200);
        let mut reserved = networks.filter_map(|it| {
            let listener = TcpListener::bind((Ipv4Addr::new(127, it as u8, 255, 254), METRICS_PORT));
            Some((it as u8, listener.ok()?))
        });
        reserved.next().unwrap_or_else(|| crate::cannot_run("all networks are in use"))
    };
    let (network, _) = NETWORK.get_or_init(reserve);
    IpAddr::V4(Ipv4Addr::new(127, *network, net, host))
}

/// Finds a free port of an address.
fn free_addr(ip: IpAddr) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).and_then(|it| it.local_addr());
    listener.unwrap_or_else(|err| crate::cannot_run(&format!("no free port on {ip}: {err}")))
}

pub fn repository() -> PathBuf {
    let here = std::env::current_dir().unwrap_or_default();
    here.ancestors()
        .find(|it| Path::new(it).join("deploy/system.toml").exists())
        .map_or_else(|| crate::cannot_run("start it in the repository"), Path::to_path_buf)
}
