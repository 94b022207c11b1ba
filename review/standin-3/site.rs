//! A small deployment: three entry instances in three zones, five services with their runners, the
//! store, the machines' list and the operator.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Server, response};
use crate::json::quote;
use crate::record::Record;
use crate::runner::Runner;
use crate::store::Store;

pub const SERVICES: [&str; 5] = ["libros", "boletin", "prensa", "notarial", "comun"];
pub const ZONES: [&str; 3] = ["norte-bilbao", "norte-santander", "norte-oviedo"];
/// Runners of each service.
const RUNNERS: usize = 9;
pub const HOST: &str = "norte.example";
pub const KEY: &str = "k-of-the-tenant";

/// One entry instance.
pub struct Machine {
    pub name: String,
    settings: PathBuf,
    pub callers: SocketAddr,
    ready: SocketAddr,
    pub peers: SocketAddr,
    /// The machine's path to the store.
    pub path: Server,
    process: Option<Child>,
}

pub struct Site {
    pub store: Arc<Store>,
    pub record: Arc<Record>,
    pub machines: Vec<Machine>,
    pub runners: Vec<Arc<Runner>>,
    program: String,
    folder: PathBuf,
    version: u64,
    extra_routes: Vec<String>,
}

impl Site {
    /// Starts all but the entry instances, and writes the first configuration.
    pub fn new(program: &str, folder: &str, record: Arc<Record>) -> Site {
        let store = Arc::new(Store::default());
        let listed: Arc<Mutex<Vec<String>>> = Arc::default();
        let mut runners = Vec::new();
        for service in SERVICES {
            for number in 0..RUNNERS {
                let (id, zone) = (format!("i-{service}-{number}"), ZONES[number % 3]);
                runners.push(Runner::start(&id, service, zone, &format!("r1-{number}"), &store, &record));
                listed.lock().unwrap().push(format!(
                    "{{\"hostMachine\":\"m-{service}-{number}\",\"pool\":\"{service}\",\"state\":\"up\",\"zone\":\"{zone}\",\"labels\":[\"a\",\"r1-{number}\"],\"capacity\":{{\"cpu\":64000,\"memMb\":262144,\"gpu\":0}},\"id\":\"{id}\"}}"
                ));
            }
        }
        // The machines stay where they are: an order finds its machine busy.
        let cloud = Server::start(move |request| match request.method.as_str() {
            "GET" => response(
                200,
                format!("{{\"machines\":[{}],\"nextToken\":null}}", listed.lock().unwrap().join(",")),
            ),
            _ => response(409, "{\"reason\":\"busy\"}"),
        });
        let machines = (0..3).map(|number| {
            let name = format!("edge-{}-{}", ZONES[number], number + 1);
            let (callers, ready, peers, metrics) = (free(), free(), free(), free());
            let served = store.clone();
            let path = Server::start(move |request| served.handle(request));
            let settings = PathBuf::from(folder).join(format!("{name}.ini"));
            let text = format!(
                "[node]\nname = {name}\nzone = {}\n\n[listen]\ncallers = {callers}\nready = {ready}\npeers = {peers}\nmetrics = {metrics}\n\n[platform]\nlog = {}\nparts = 16\nmember_ttl_ms = 1000\nmachines = {}\nadvice = \n\n[bounds]\nlease_max_ms = 6000\nstop_ms = 400\ngrace_ms = 6000\nduty_lease_ms = 3000\n\n[limits]\nprocessor = 0.25\nmemory_mb = 260\ndescriptors = 4100\n",
                ZONES[number], path.addr, cloud.addr
            );
            fs::write(&settings, text).expect("settings can be written");
            Machine {
                name,
                settings,
                callers,
                ready,
                peers,
                path,
                process: None,
            }
        });
        let machines = machines.collect();
        let mut site = Site {
            store,
            record,
            machines,
            runners,
            program: program.to_owned(),
            folder: PathBuf::from(folder),
            version: 0,
            extra_routes: Vec::new(),
        };
        site.write_config();
        site
    }

    /// Writes the next version of the configuration. Its acknowledgement is the return.
    pub fn write_config(&mut self) {
        self.version += 3;
        let route = |name: &str, prefix: &str, service: &str| {
            format!(
                "{{\"name\":{},\"host\":\"{HOST}\",\"pathPrefix\":{},\"kind\":\"unsafe\",\"timeoutMs\":3000,\"targetLatencyMs\":600,\"priority\":0,\"service\":{},\"maxAttempts\":2,\"slackFactor\":1.6,\"public\":false}}",
                quote(name),
                quote(prefix),
                quote(service)
            )
        };
        let mut routes: Vec<String> = SERVICES
            .iter()
            .map(|it| route(&format!("r-{it}"), &format!("/{it}/"), it))
            .collect();
        routes.extend(
            self.extra_routes
                .iter()
                .map(|it| route(&format!("r-{it}"), &format!("/{it}/"), SERVICES[0])),
        );
        let service = |it: &&str| {
            format!(
                "{{\"name\":{},\"healthPath\":\"/healthz\",\"maxConnections\":64,\"enforceLimits\":false,\"standby\":false}}",
                quote(it)
            )
        };
        let services: Vec<String> = SERVICES.iter().map(service).collect();
        let config = format!(
            "{{\"version\":{},\"routes\":[{}],\"services\":[{}],\"limits\":{{}},\"tenants\":[{{\"name\":\"tenant-1\",\"apiKeys\":[\"{KEY}\"],\"priority\":1,\"weight\":1,\"ceiling\":{{\"cpu\":0,\"memMb\":0,\"gpu\":0}}}}]}}",
            self.version,
            routes.join(","),
            services.join(",")
        );
        self.store.write("keyed.op", "config", &config);
        self.record.line(&format!(
            "operator: version {} is acknowledged; added routes: {:?}",
            self.version, self.extra_routes
        ));
    }

    /// Adds a route with a new version of the configuration.
    pub fn add_route(&mut self, prefix: &str) {
        self.extra_routes.push(prefix.to_owned());
        self.write_config();
    }

    pub fn start(&mut self, number: usize) {
        let machine = &mut self.machines[number];
        let log = fs::File::create(self.folder.join(format!("{}.log", machine.name))).expect("logs can be written");
        let mut command = Command::new(&self.program);
        command.arg("--config").arg(&machine.settings).stdin(Stdio::null());
        command.stdout(log.try_clone().expect("the log is open")).stderr(log);
        machine.process = Some(command.spawn().expect("oriole-fleet starts"));
        self.record.line(&format!("{} starts", machine.name));
    }

    /// Ends the process of a machine by SIGKILL.
    pub fn kill(&mut self, number: usize) {
        let machine = &mut self.machines[number];
        if let Some(mut process) = machine.process.take() {
            let _ = process.kill();
            let _ = process.wait();
            self.record.line(&format!("{} is killed", machine.name));
        }
    }

    /// Waits until machines are ready and all partitions have an owner among `members` machines.
    pub fn wait_ready(&self, numbers: &[usize], members: usize) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            let is_ready = |it: &usize| {
                self.get(self.machines[*it].ready, "/readyz")
                    .is_some_and(|(status, _)| status == 200)
            };
            let holders = self.store.holders("owners");
            if numbers.iter().all(is_ready) && holders.len() == members && holders.values().sum::<usize>() == 16 {
                self.record.line(&format!("ready; partitions by owner: {holders:?}"));
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        self.record.line("not ready in time");
        false
    }

    /// Whether the processes that were started and not killed still run.
    pub fn all_run(&mut self) -> bool {
        let mut all = true;
        for machine in &mut self.machines {
            if let Some(process) = &mut machine.process
                && !matches!(process.try_wait(), Ok(None))
            {
                all = false;
            }
        }
        all
    }

    fn get(&self, addr: SocketAddr, path: &str) -> Option<(u16, String)> {
        http::call(addr, "GET", path, &[], "", Duration::from_secs(1))
    }

    /// A client's call to a machine. Returns status and body; `None` without a complete answer.
    pub fn client(&self, machine: usize, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let authorization = format!("Bearer {KEY}");
        let headers = [
            ("host", HOST),
            ("authorization", authorization.as_str()),
            ("content-type", "application/json"),
            ("x-deadline-ms", "3000"),
        ];
        http::call(self.machines[machine].callers, method, path, &headers, body, Duration::from_secs(3))
    }

    /// Submits a job of one task that takes so long. Returns when it was accepted, in seconds of the
    /// record; `None` if it was not.
    pub fn submit(&self, machine: usize, service: &str, id: &str, takes_ms: u64) -> Option<f64> {
        self.submit_steps(machine, service, id, takes_ms, &["\"count\":1"])
    }

    /// Submits a job of several steps, given by what is special in them, whose tasks take so long.
    pub fn submit_steps(&self, machine: usize, service: &str, id: &str, takes_ms: u64, steps: &[&str]) -> Option<f64> {
        let step = |it: &&str| format!("{{{it},\"cpu\":500,\"memMb\":256,\"estimateMs\":{takes_ms}}}");
        let steps: Vec<String> = steps.iter().map(step).collect();
        let body = format!("{{\"spec\":\"{takes_ms}\",\"phases\":[{}]}}", steps.join(","));
        let answer = self.client(machine, "POST", &format!("/{service}/{id}"), &body);
        let at = self.record.now();
        let status = answer.as_ref().map(|(status, _)| *status);
        let name = &self.machines[machine].name;
        self.record.line(&format!("client: POST /{service}/{id} at {name}: {status:?}"));
        (status == Some(200)).then_some(at)
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for number in 0..self.machines.len() {
            self.kill(number);
        }
    }
}

/// Returns a loopback address whose port is free, below the ports of outgoing connections.
fn free() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let number = NEXT.fetch_add(1, Ordering::SeqCst) + std::process::id() * 131;
        let addr = SocketAddr::from(([127, 0, 0, 1], (10_000 + number % 20_000) as u16));
        if TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}
