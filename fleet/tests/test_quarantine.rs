//! An instance that owns a partition with a record that it cannot read.

mod ports;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use oriole_fleet::settings::Settings;
use oriolewall::job_record::{Request, Submission};
use oriolewall::resources::Resources;
use oriolewall::spec::{JobSpec, Step};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const CONFIG: &str = r#"{"version":1,"routes":[{"name":"queue","host":"h.example","pathPrefix":"/queue/","service":"pool","public":true}],"services":[{"name":"pool"}]}"#;
/// Job with a record that cannot be read. Its submission is still in the log.
const BAD: &str = "00000000000000a1";
const GOOD: &str = "00000000000000a2";

fn submission() -> Vec<u8> {
    let step = Step {
        count: 1,
        need: Resources {
            cpu: 500,
            mem: 100,
            gpu: 0,
        },
        ..Step::default()
    };
    let request = Request::Submit(Submission {
        queue: Arc::from("queue"),
        pool: Arc::from("pool"),
        team: Arc::from(""),
        received_ms: 1,
        spec: Arc::new(JobSpec {
            steps: vec![step],
            ..JobSpec::default()
        }),
        origin: None,
    });
    rmp_serde::to_vec(&request).unwrap()
}

/// Returns the log's answer to a call.
fn answer(target: &str) -> Vec<u8> {
    let item = |key: &str, value: &[u8]| serde_json::json!({ "key": key, "value": STANDARD.encode(value), "offset": 0 });
    if target.contains("/log-newest") {
        let items = match target {
            it if it.contains("keyed.op") => vec![item("config", CONFIG.as_bytes())],
            it if it.contains("keyed.jobs") => vec![item(BAD, b"odd")],
            it if it.contains("keyed.requests") => vec![item(BAD, &submission()), item(GOOD, &submission())],
            _ => vec![],
        };
        let body = serde_json::json!({ "items": items, "hasMore": false, "endOffset": 1 });
        return body.to_string().into_bytes();
    }
    if target.contains("/log-read") {
        return vec![0; 16];
    }
    if target.contains("/log-join") {
        return br#"{"generation":1,"parts":[["keyed.jobs",0,0]]}"#.to_vec();
    }
    if target.contains("/log-owners") {
        return b"[]".to_vec();
    }
    br#"{"offset":0}"#.to_vec()
}

/// Reads an HTTP message. Returns its first line and its body.
async fn read_message(stream: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let mut bytes = Vec::new();
    loop {
        if let Some(end) = bytes.windows(4).position(|it| it == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).to_lowercase();
            let length = head.lines().find_map(|it| it.strip_prefix("content-length:"));
            let length: usize = length.map_or(0, |it| it.trim().parse().unwrap());
            if end + 4 + length <= bytes.len() {
                let first = String::from_utf8_lossy(&bytes[..end]).lines().next().unwrap().to_owned();
                return Some((first, bytes[end + 4..end + 4 + length].to_vec()));
            }
        }
        match stream.read_buf(&mut bytes).await {
            Ok(1..) => {}
            _ => return None,
        }
    }
}

/// Starts the log and returns its address.
async fn start_log() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                while let Some((target, _)) = read_message(&mut stream).await {
                    if target.contains("/log-read") {
                        tokio::time::sleep(Duration::from_millis(50)).await;
                    }
                    let body = answer(&target);
                    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
                    if stream.write_all(&[head.as_bytes(), &body].concat()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    addr
}

/// Sends a request to an instance and returns the status and the body of the response.
async fn send(addr: SocketAddr, method: &str, path: &str) -> (u16, String) {
    let Ok(mut stream) = TcpStream::connect(addr).await else {
        return (0, String::new());
    };
    let request = format!("{method} {path} HTTP/1.1\r\nhost: h.example\r\ncontent-length: 0\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    let (first, body) = read_message(&mut stream).await.unwrap();
    let status = first.split(' ').nth(1).unwrap().parse().unwrap();
    (status, String::from_utf8_lossy(&body).into_owned())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_whose_record_cannot_be_read_is_neither_denied_nor_admitted_anew() {
    let log_addr = start_log().await;
    let addrs = [(); 4].map(|()| SocketAddr::from(([127, 0, 0, 1], ports::free_port())));
    let text = include_str!("../../examples/fleet.ini")
        .replace("127.0.0.1:7801", &addrs[0].to_string())
        .replace("127.0.0.1:7802", &addrs[1].to_string())
        .replace("127.0.0.1:7803", &addrs[2].to_string())
        .replace("127.0.0.1:7804", &addrs[3].to_string())
        .replace("parts = 16", "parts = 1")
        .replace("log = 127.0.0.1:7700", &format!("log = {log_addr}"));
    let settings = Settings::parse("fleet.ini", &text).unwrap();
    tokio::spawn(async move {
        let ended = oriole_fleet::run(settings, PathBuf::from("fleet.ini").into()).await;
        ended.expect("the instance runs");
    });
    let path = |id: &str| format!("/queue/{id}");
    for _ in 0..200 {
        if send(addrs[0], "GET", &path(GOOD)).await.0 == 200 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(send(addrs[0], "GET", &path(GOOD)).await.0, 200);
    assert_eq!(send(addrs[0], "GET", &path(BAD)).await.0, 500);
    assert_eq!(send(addrs[0], "DELETE", &path(BAD)).await.0, 500);
    assert_eq!(send(addrs[0], "GET", "/queue/00000000000000a3").await.0, 410);
    let (_, metrics) = send(addrs[3], "GET", "/metrics").await;
    assert!(metrics.contains("oriole_records_skipped_total 1"), "{metrics}");
}
