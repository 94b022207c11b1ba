//! A small deployment: the store, runners, and `oriole-fleet` processes started with the command
//! and the settings template of the deploy file.

use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Answer, Client, Server};
use crate::json::{self, Json};
use crate::record::Record;
use crate::runner::{Fleet, Run, Runner};
use crate::store::Store;

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;
/// Option of `prctl` by which a process gets a signal when the one that started it ends.
const SET_PARENT_DEATH_SIGNAL: i32 = 1;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: usize) -> i32;
}

pub const HOST: &str = "cells.example";
/// Last numbers of the addresses of the advice service, of the store for the first instance, and of the first runner.
const ADVICE_HOST: usize = 90;
const STORE_HOST: usize = 50;
const RUNNER_HOST: usize = 100;
/// Time for which a client waits for a response.
pub const DEADLINE: Duration = Duration::from_secs(3);

/// An `oriole-fleet` process.
pub struct Instance {
    ip: IpAddr,
    settings: PathBuf,
    output: PathBuf,
    child: Mutex<Option<Child>>,
}

/// The deployment.
pub struct Site {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub fleet: Fleet,
    pub instances: Vec<Instance>,
    pub runners: Vec<Arc<Runner>>,
    root: PathBuf,
    folder: PathBuf,
    /// First two numbers of all addresses.
    net: (u8, u8),
    _servers: Vec<Server>,
}

/// A route of a configuration.
#[derive(Clone, Copy, Debug)]
pub struct Route<'a> {
    pub name: &'a str,
    /// First part of the path of its jobs.
    pub path: &'a str,
    pub service: &'a str,
    pub max_attempts: u64,
    /// Whether its steps need advice.
    pub is_advised: bool,
}

impl<'a> Route<'a> {
    /// A route whose path begins with its name.
    pub fn new(name: &'a str, service: &'a str) -> Route<'a> {
        Route {
            name,
            path: name,
            service,
            max_attempts: 3,
            is_advised: false,
        }
    }
}

impl Site {
    /// Starts the store, the runners (service and cores of each) and the instances.
    pub fn start(root: &Path, instances: usize, runners: &[(&str, u64)]) -> std::io::Result<Site> {
        let record = Arc::new(Record::new());
        let folder = std::env::temp_dir().join(format!("oriole-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let pid = std::process::id();
        let net = (64 + (pid >> 8 & 127) as u8, (pid & 255) as u8);
        let store = Store::new(record.clone());
        let fleet = Fleet {
            store: store.clone(),
            record: record.clone(),
            runs: Arc::default(),
        };
        let mut site = Site {
            record,
            store,
            fleet,
            instances: Vec::new(),
            runners: Vec::new(),
            root: root.to_owned(),
            folder,
            net,
            _servers: Vec::new(),
        };
        for (index, (service, cores)) in runners.iter().enumerate() {
            let addr = SocketAddr::new(site.ip(RUNNER_HOST + index), 9000);
            let runner = Runner::start(&site.fleet, &runner_id(index), service, "regina-yard", cores * 1000, addr)?;
            site.runners.push(runner);
        }
        for number in 0..instances {
            let store_addr = SocketAddr::new(site.ip(STORE_HOST + number), 8344);
            site._servers.push(site.store.serve(store_addr, number)?);
            let instance = site.new_instance(number, store_addr)?;
            site.instances.push(instance);
        }
        Ok(site)
    }

    fn ip(&self, number: usize) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.net.0, self.net.1, number as u8))
    }

    /// Fills in the settings template of the deploy file.
    fn new_instance(&self, number: usize, store_addr: SocketAddr) -> std::io::Result<Instance> {
        let ip = self.ip(1 + number);
        let values = [
            ("nodeName", format!("edge-regina-yard-{}", number + 1)),
            ("zone", "regina-yard".to_owned()),
            ("ip", ip.to_string()),
            ("portRange.0", "7000".to_owned()),
            ("listen.frontend", format!("{ip}:8340")),
            ("listen.readyAddr", format!("{ip}:8343")),
            ("platform.address", store_addr.to_string()),
            ("platform.parts", crate::store::PARTS.to_string()),
            ("platform.ttlMinMs", "1000".to_owned()),
            ("cloud.address", String::new()),
            ("recommendation", format!("{}:8344", self.ip(ADVICE_HOST))),
            ("bounds.holdMaxMs", "10000".to_owned()),
            ("bounds.stopTimeoutMs", "200".to_owned()),
            ("bounds.graceS", "6".to_owned()),
            ("bounds.leaseMs", "3000".to_owned()),
            ("limits.cpuShare", "0.25".to_owned()),
            ("limits.memoryMb", "260".to_owned()),
            ("limits.maxFds", "4100".to_owned()),
        ];
        let mut text = std::fs::read_to_string(self.root.join("deploy/fleet.ini.template"))?;
        for (name, value) in values {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        let instance = Instance {
            ip,
            settings: self.folder.join(format!("entry-{number}.ini")),
            output: self.folder.join(format!("entry-{number}.log")),
            child: Mutex::new(None),
        };
        std::fs::write(&instance.settings, text)?;
        Ok(instance)
    }

    /// Starts an instance that does not run, with the command of the deploy file.
    pub fn start_instance(&self, number: usize) -> std::io::Result<()> {
        let instance = &self.instances[number];
        let output = || File::options().create(true).append(true).open(&instance.output);
        let mut command = Command::new(self.root.join("target/release/oriole-fleet"));
        command.arg("--config").arg(&instance.settings).current_dir(&self.root);
        command.stdin(Stdio::null()).stdout(output()?).stderr(output()?);
        // The process must not outlive the case.
        unsafe {
            command.pre_exec(|| {
                prctl(SET_PARENT_DEATH_SIGNAL, SIGKILL as usize);
                Ok(())
            });
        }
        *instance.child.lock().unwrap() = Some(command.spawn()?);
        self.record.note(format!("entry-{number} is started"));
        Ok(())
    }

    /// Starts all instances and waits until each is ready and one has each partition. Returns
    /// whether that has happened in time.
    pub fn start_all(&self, routes: &[Route]) -> bool {
        self.configure(1, routes, &["key-1"]);
        for number in 0..self.instances.len() {
            if self.start_instance(number).is_err() {
                return false;
            }
        }
        let deadline = Instant::now() + Duration::from_secs(15);
        while Instant::now() < deadline {
            thread::sleep(Duration::from_millis(200));
            let is_ready = |it: &Instance| {
                let mut client = Client::new(SocketAddr::new(it.ip, 8343));
                client
                    .call("GET", "/readyz", &[], "", Duration::from_secs(1))
                    .is_ok_and(|it| it.0 == 200)
            };
            if self.instances.iter().all(is_ready) {
                // The group deals partitions out anew as each instance joins.
                thread::sleep(Duration::from_secs(3));
                return true;
            }
        }
        false
    }

    /// Whether an instance reports that it is ready.
    pub fn is_ready(&self, number: usize) -> bool {
        let mut client = Client::new(SocketAddr::new(self.instances[number].ip, 8343));
        let answer = client.call("GET", "/readyz", &[], "", Duration::from_secs(1));
        answer.is_ok_and(|it| it.0 == 200)
    }

    /// Whether the process of an instance has ended.
    pub fn has_ended(&self, number: usize) -> bool {
        let mut child = self.instances[number].child.lock().unwrap();
        child.as_mut().is_none_or(|it| matches!(it.try_wait(), Ok(Some(_))))
    }

    /// Writes a configuration with these routes and one tenant with these keys.
    pub fn configure(&self, version: u64, routes: &[Route], keys: &[&str]) {
        let route = |it: &Route| {
            let advice = match it.is_advised {
                true => ",\"recommendation\":{\"decisionMs\":100,\"periodMs\":10,\"validityMs\":3000}",
                false => "",
            };
            format!(
                "{{\"name\":\"{}\",\"host\":\"{HOST}\",\"pathPrefix\":\"/{}/\",\"service\":\"{}\",\"maxAttempts\":{},\
                 \"priority\":1,\"slackFactor\":2,\"targetLatencyMs\":2000,\"public\":false{advice}}}",
                it.name, it.path, it.service, it.max_attempts
            )
        };
        let service = |name: &str| format!("{{\"name\":\"{name}\",\"enforceLimits\":false}}");
        let routes_text = routes.iter().map(route).collect::<Vec<_>>().join(",");
        let services = ["weldcell", "paintcell"].map(service).join(",");
        let keys_text = keys.iter().map(|it| format!("\"{it}\"")).collect::<Vec<_>>().join(",");
        let text = format!(
            "{{\"version\":{version},\"routes\":[{routes_text}],\"services\":[{services}],\"limits\":{{}},\"tenants\":[{{\"name\":\"crews\",\
             \"apiKeys\":[{keys_text}],\"weight\":10,\"ceiling\":{{\"cpu\":0,\"memMb\":0,\"gpu\":0}}}}]}}"
        );
        self.store.put("keyed.op", "config", &text);
        let shown: Vec<String> = routes
            .iter()
            .map(|it| format!("{} (/{}/) to {}", it.name, it.path, it.service))
            .collect();
        self.record.say(format!(
            "operator: configuration {version} is acknowledged: {}; keys {}",
            shown.join(", "),
            keys.join(", ")
        ));
    }

    /// Serves advice that approves these runners, by number, and no others.
    pub fn serve_advice(&self, approved: Vec<usize>) -> std::io::Result<Server> {
        let names: Vec<String> = approved.into_iter().map(runner_id).collect();
        let record = self.record.clone();
        Server::start(SocketAddr::new(self.ip(ADVICE_HOST), 8344), move |request| {
            let body = json::parse(&request.body);
            let Json::List(asked) = body.get("workers") else {
                return Answer::Send(400, b"{}".to_vec());
            };
            // `decisionMs` and `periodMs` of the routes.
            thread::sleep(Duration::from_millis(100 + 10 * asked.len() as u64));
            let approved: Vec<&str> = asked
                .iter()
                .map(Json::text)
                .filter(|it| names.iter().any(|name| name == it))
                .collect();
            record.note(format!(
                "advice: {}: {} runners named, {} approved",
                body.get("phase").text(),
                asked.len(),
                approved.len()
            ));
            let rows: Vec<String> = approved.iter().map(|it| format!("[\"{it}\",\"ticket-{it}\"]")).collect();
            Answer::Send(
                200,
                format!("{{\"approved\":[{}],\"validityMs\":3000}}", rows.join(",")).into_bytes(),
            )
        })
    }

    /// Calls an instance as a client with a key. Returns the status, 0 if there was no answer, and
    /// the body.
    pub fn call(&self, number: usize, method: &str, path: &str, key: &str, body: &str) -> (u16, String) {
        let mut client = self.client(number);
        client_call(&mut client, method, path, key, body)
    }

    /// Returns a client of an instance.
    pub fn client(&self, number: usize) -> Client {
        Client::new(SocketAddr::new(self.instances[number].ip, 8340))
    }

    /// Number of the instance that holds a partition.
    pub fn owner_of(&self, part: u64) -> Option<usize> {
        let holder = self.store.holder(part)?;
        let ip = holder.split(':').next()?.to_owned();
        self.instances.iter().position(|it| it.ip.to_string() == ip)
    }

    /// Sends a signal to an instance.
    pub fn signal(&self, number: usize, signal: i32) {
        if let Some(child) = self.instances[number].child.lock().unwrap().as_mut() {
            // The process is a child that has not been waited for, so its number is its own.
            unsafe { kill(child.id() as i32, signal) };
            if signal == SIGKILL {
                let _ = child.wait();
            }
        }
        self.record.say(format!("signal {signal} to entry-{number}"));
    }

    /// Runs a job that ends soon. Returns the partition of its queue's service.
    pub fn run_probe(&self, queue: &str, id: &str) -> Option<u64> {
        let path = format!("/{queue}/{id}");
        let (status, _) = self.call(0, "POST", &path, "key-1", &job(20, 1, 1000, ""));
        self.record.note(format!("client: POST {path} to entry-0: {status}"));
        let deadline = Instant::now() + Duration::from_secs(6);
        while status == 200 && Instant::now() < deadline {
            let (_, body) = self.call(0, "GET", &path, "key-1", "");
            if body.contains("completed") {
                return self.store.partition_with("keyed.requests", id);
            }
            thread::sleep(Duration::from_millis(100));
        }
        None
    }

    /// All runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.fleet.runs.lock().unwrap().clone()
    }

    /// Ends all processes and writes the record into a folder.
    pub fn end(&self, folder: &Path) {
        for instance in &self.instances {
            if let Some(mut child) = instance.child.lock().unwrap().take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
        self.record.write(&folder.join("record.txt"));
    }
}

/// Returns the id of a runner.
pub fn runner_id(number: usize) -> String {
    format!("runner-{number:02}")
}

/// Calls a server as a client with a key. Returns the status, 0 if there was no answer, and the
/// body.
pub fn client_call(client: &mut Client, method: &str, path: &str, key: &str, body: &str) -> (u16, String) {
    let authorization = format!("Bearer {key}");
    let headers = [
        ("host", HOST),
        ("authorization", authorization.as_str()),
        ("content-type", "application/json"),
        ("x-deadline-ms", "3000"),
    ];
    match client.call(method, path, &headers, body, DEADLINE) {
        Ok((status, body)) => (status, String::from_utf8_lossy(&body).into_owned()),
        Err(_) => (0, String::new()),
    }
}

/// Body of a job with one step of equal tasks. `text` is passed on to the runners.
pub fn job(work_ms: u64, count: u64, cpu: u64, text: &str) -> String {
    format!("{{\"spec\":\"ms={work_ms};{text}\",\"phases\":[{{\"count\":{count},\"cpu\":{cpu},\"memMb\":64,\"estimateMs\":{work_ms}}}]}}")
}
