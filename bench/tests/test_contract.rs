//! Contract tests: the HTTP clients of the daemon against the stand-ins for the log,
//! the instance list and the workers, and the HTTP interface for callers against an
//! entry, with valid and invalid requests.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use oriole_bench::history::History;
use oriole_bench::standin::list::DelayedInstanceList;
use oriole_bench::standin::log::{InMemoryLog, Mode};
use oriole_bench::standin::serve::{InstanceListServer, LogServer, WorkerServer, bind_loopback};
use oriole_bench::standin::worker::{Faults, Worker};
use oriole_daemon::api::{ErrorBody, KEY_HEADER};
use oriole_daemon::client::{Call, Client};
use oriole_daemon::node::{self, Clock, NodeConfig};
use oriole_daemon::operator::OperatorClient;
use oriole_daemon::platform;
use oriolewall::entry::Settings;
use oriolewall::platform::{
    Answer, Error, InstanceList as _, ListedInstance, Log as _, Presence, StartRefusal, TaskAttempt, TaskStart, Worker as _, WorkerRequest,
    WorkerResponse,
};
use testutils::grant_key;
use tokio::sync::watch;
use uuid::Uuid;

/// Timeout of a call to an entry.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Address of a server that runs until this is dropped.
struct RunningServer {
    addr: SocketAddr,
    _stop: watch::Sender<bool>,
}

/// Serves a log that keeps `retention` entries and accepts 1000 appends per second.
async fn serve_log(retention: usize) -> (LogServer, RunningServer) {
    let (listener, addr) = bind_loopback().await.unwrap();
    let (stop, stopped) = watch::channel(false);
    let server = LogServer::new(InMemoryLog::new(retention, 1_000), Clock::new());
    tokio::spawn(server.clone().run(listener, stopped));
    (server, RunningServer { addr, _stop: stop })
}

/// Serves a worker with one slot.
async fn serve_worker() -> (WorkerServer, RunningServer) {
    let (listener, addr) = bind_loopback().await.unwrap();
    let (stop, stopped) = watch::channel(false);
    let server = WorkerServer::new(Worker::new("w1", "za", 1, History::default()), Clock::new());
    tokio::spawn(server.clone().run(listener, stopped));
    (server, RunningServer { addr, _stop: stop })
}

/// The first attempt of a job.
fn task(job: u128) -> TaskAttempt {
    TaskAttempt {
        job: Uuid::from_u128(job),
        attempt: 1,
    }
}

/// A request of the member e1 to start a job that must not be repeated, without a
/// deadline for the start.
fn start(job: u128, payload: &str) -> TaskStart {
    TaskStart {
        task: task(job),
        holder: "e1".into(),
        team: "org/a/t".into(),
        once: true,
        epoch: 1,
        start_by_ms: u64::MAX,
        lease_ms: 60_000,
        expected_ms: 1,
        payload: Bytes::copy_from_slice(payload.as_bytes()),
    }
}

#[tokio::test]
async fn log_assigns_offsets_drops_old_entries_and_reports_unavailability() {
    let (server, running) = serve_log(2).await;
    let log = platform::LogClient::new(Client::new(), running.addr);
    for (offset, text) in ["a", "b", "c"].iter().enumerate() {
        assert_eq!(log.append(Bytes::from_static(text.as_bytes())).await, Ok(offset as u64));
    }
    let read = log.read(0, Duration::ZERO).await.unwrap();
    assert_eq!((read.first, read.tail, read.from, read.entries.len()), (1, 3, 1, 2));
    server.log.lock().unwrap().mode = Mode::Down;
    assert_eq!(log.append(Bytes::from_static(b"d")).await, Err(Error::Unavailable));
    assert_eq!(log.read(0, Duration::ZERO).await, Err(Error::Unavailable));
    server.log.lock().unwrap().mode = Mode::Slow { ms: 30 };
    assert_eq!(log.append(Bytes::from_static(b"d")).await, Ok(3));
}

#[test]
fn append_with_lost_answer_takes_effect_and_appends_are_rate_limited() {
    let mut log = InMemoryLog::new(10, 10);
    log.mode = Mode::LoseAnswers;
    assert_eq!(log.append(Duration::ZERO, Bytes::from_static(b"a")), Err(Error::Lost));
    assert_eq!(log.tail(), 1);
    log.mode = Mode::Up;
    let results: Vec<_> = (0..12).map(|_| log.append(Duration::ZERO, Bytes::new()).is_ok()).collect();
    assert_eq!(
        results.iter().filter(|it| **it).count(),
        9,
        "one of ten appends per second was used before"
    );
}

#[tokio::test]
async fn call_to_closed_port_is_reported_as_undelivered() {
    let (_, addr) = bind_loopback().await.unwrap();
    let worker = platform::WorkerClient::new(Client::new());
    assert_eq!(worker.call(addr, WorkerRequest::List).await, Err(Error::Undelivered));
}

#[test]
fn list_reports_changes_after_its_lag() {
    let second = Duration::from_secs(1);
    let mut list = DelayedInstanceList::new(second);
    list.set_presence(Duration::ZERO, "w1", Some(Presence::Live));
    assert_eq!(list.read(second / 2), []);
    assert_eq!(
        list.read(second),
        [ListedInstance {
            id: "w1".into(),
            presence: Presence::Live
        }]
    );
    list.set_presence(second, "w1", None);
    assert_eq!(list.read(second * 3 / 2).len(), 1);
    assert_eq!(list.read(second * 2), []);
}

#[tokio::test]
async fn instance_list_is_read_over_http() {
    let (listener, addr) = bind_loopback().await.unwrap();
    let (_stop, stopped) = watch::channel(false);
    let server = InstanceListServer::new(DelayedInstanceList::new(Duration::ZERO), Clock::new());
    server.set_presence("w1", Some(Presence::Leaving));
    tokio::spawn(server.run(listener, stopped));
    let list = platform::InstanceListClient::new(Client::new(), addr).list().await;
    assert_eq!(
        list,
        Ok(vec![ListedInstance {
            id: "w1".into(),
            presence: Presence::Leaving
        }])
    );
}

#[tokio::test]
async fn worker_responses_match_the_table_and_the_faults() {
    let (server, running) = serve_worker().await;
    let worker = platform::WorkerClient::new(Client::new());
    let wait = |job| WorkerRequest::Wait {
        task: task(job),
        wait_ms: 5_000,
    };
    let adopt = |from: &str| WorkerRequest::Adopt {
        task: task(2),
        from: from.into(),
        to: "e2".into(),
        lease_ms: 60_000,
    };
    let renew = |holder: &str| WorkerRequest::Renew {
        task: task(2),
        holder: holder.into(),
        lease_ms: 60_000,
    };
    let complete_answer = Answer {
        task: task(1),
        success: true,
        length: 46,
        body: Bytes::from(format!("answer of {}", task(1).job)),
    };
    // Each request meets the state that the requests above it left.
    let table = [
        (
            WorkerRequest::Start(TaskStart {
                start_by_ms: 0,
                ..start(1, "ms:1")
            }),
            WorkerResponse::Refused(StartRefusal::Late),
        ),
        (WorkerRequest::Start(start(1, "ms:1")), WorkerResponse::Started),
        (wait(1), WorkerResponse::Answer(complete_answer)),
        (WorkerRequest::Start(start(1, "ms:1")), WorkerResponse::Refused(StartRefusal::Known)),
        (WorkerRequest::Start(start(2, "ms:600000")), WorkerResponse::Started),
        (WorkerRequest::Start(start(3, "ms:1")), WorkerResponse::Refused(StartRefusal::Full)),
        (WorkerRequest::Reboot, WorkerResponse::Refused(StartRefusal::Full)),
        (renew("e9"), WorkerResponse::Unknown),
        (renew("e1"), WorkerResponse::Ok),
        (adopt("e9"), WorkerResponse::Unknown),
        (adopt("e1"), WorkerResponse::Ok),
        (renew("e1"), WorkerResponse::Unknown),
        (
            WorkerRequest::Stop {
                task: task(2),
                checkpoint: true,
            },
            WorkerResponse::Ok,
        ),
        (wait(2), WorkerResponse::Unknown),
    ];
    for (request, expected) in table {
        assert_eq!(worker.call(running.addr, request.clone()).await, Ok(expected), "{request:?}");
    }
    server.set_faults(Faults {
        leaving: true,
        ..Faults::default()
    });
    assert_eq!(
        worker.call(running.addr, WorkerRequest::Start(start(4, "ms:1"))).await,
        Ok(WorkerResponse::Refused(StartRefusal::Leaving))
    );
    server.set_faults(Faults {
        cut_answers: true,
        ..Faults::default()
    });
    let cut_answer = worker.call(running.addr, wait(1)).await;
    assert!(matches!(cut_answer, Ok(WorkerResponse::Answer(answer)) if answer.length != answer.body.len() as u64));
}

#[tokio::test]
async fn invalid_submissions_get_an_error_code_and_a_valid_one_gets_an_answer() {
    let (_log, log) = serve_log(1_000).await;
    let (_worker, worker) = serve_worker().await;
    let (listener, addr) = bind_loopback().await.unwrap();
    let (list_listener, list_addr) = bind_loopback().await.unwrap();
    let (stop, stopped) = watch::channel(false);
    let list = InstanceListServer::new(DelayedInstanceList::new(Duration::ZERO), Clock::new());
    list.set_presence("w1", Some(Presence::Live));
    tokio::spawn(list.run(list_listener, stopped.clone()));
    let settings = Settings::builder("e1", "za", addr).stop_grace(Duration::from_millis(100)).build();
    let config = NodeConfig {
        settings,
        log: log.addr,
        list: list_addr,
        max_body_bytes: 1_024,
        max_connections: 64,
        peers: Vec::new(),
    };
    let entry = tokio::spawn(node::run(config, listener, stopped));
    let operator = OperatorClient::new(log.addr, vec![addr], "test");
    for change in [
        testutils::set("org/a/t", "cap", "4"),
        grant_key("k1", "org/a/t"),
        oriolewall::record::Change::InstanceAdd {
            id: "w1".into(),
            zone: "za".into(),
            rack: "r1".into(),
            pool: "shared".into(),
            addr: worker.addr,
            slots: 1,
        },
    ] {
        operator.apply_change(change).await.unwrap();
    }
    let client = Client::new();
    wait_until_ready(&client, addr).await;
    let job = Uuid::now_v7();
    let valid = format!(r#"{{"id":"{job}","repeat":"forbidden","wait_ms":20000,"payload":"ms:1"}}"#);
    let version_4_id = valid.replace(&job.to_string(), "00000000-0000-4000-8000-000000000000");
    let too_large = format!(r#"{{"payload":"{}"}}"#, "x".repeat(2_000));
    let table = [
        (None, valid.as_str(), 401, "no_key"),
        (Some("k1.wrong"), &valid, 401, "unknown_key"),
        (Some("k1.k1"), "{bad", 400, "bad_request"),
        (Some("k1.k1"), r#"{"id":1}"#, 400, "bad_request"),
        (Some("k1.k1"), &version_4_id, 400, "bad_id"),
        (Some("k1.k1"), &too_large, 413, "too_large"),
    ];
    for (key, body, expected_status, expected_error) in table {
        let mut call = Call::post(addr, "/v1/jobs", Bytes::from(body.to_owned()), CALL_TIMEOUT);
        if let Some(key) = key {
            call = call.header(KEY_HEADER, key);
        }
        let response = client.call(call).await.unwrap();
        let error_body: ErrorBody = serde_json::from_slice(&response.body).unwrap();
        assert_eq!(
            (response.status.as_u16(), error_body.error.as_str()),
            (expected_status, expected_error),
            "{body}"
        );
    }
    let call = Call::post(addr, "/v1/jobs", Bytes::from(valid), Duration::from_secs(30)).header(KEY_HEADER, "k1.k1");
    let response = client.call(call).await.unwrap();
    let job_response: oriole_daemon::api::JobResponse = serde_json::from_slice(&response.body).unwrap();
    assert_eq!((response.status.as_u16(), job_response.state.as_str()), (200, "done"));
    assert_eq!(job_response.answer, Some(format!("answer of {job}")));
    let unknown = Call::get(addr, format!("/v1/jobs/{}", Uuid::now_v7()), CALL_TIMEOUT).header(KEY_HEADER, "k1.k1");
    assert_eq!(client.call(unknown).await.unwrap().status.as_u16(), 404);
    stop.send(true).unwrap();
    entry.await.unwrap();
}

/// Waits up to 500 attempts, 20 ms apart, until an entry accepts the key k1.
async fn wait_until_ready(client: &Client, addr: SocketAddr) {
    for _ in 0..500 {
        let call = Call::post(addr, "/v1/ids", Bytes::new(), CALL_TIMEOUT).header(KEY_HEADER, "k1.k1");
        if client.call(call).await.is_ok_and(|it| it.status.as_u16() == 200) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("the entry did not become ready");
}
