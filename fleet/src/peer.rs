//! Calls between entry instances, as MessagePack over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use oriole_daemon::client;
use oriolewall::platform;
use oriolewall::rpc::{Call, PartitionId, Reply};
use tokio::sync::oneshot;

use crate::node::Node;
use crate::owner::Event;
use crate::server::{self, HttpResponse};
use crate::{body, caps, coordinator, group, request_log};

/// Time limit of a call. It is short because an owner answers from memory.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Limits on a call's body. The largest hold a batch of requests of 1 MiB. The batch is held until
/// it is appended, as records and as the body of the append.
const BODY_LIMITS: body::Limits = body::Limits {
    bytes: 2 * 1024 * 1024,
    copies: 2,
};

/// Calls the owner of a partition, in this process or over HTTP. If the owner is not
/// known or may have changed, a new read of the owners is requested.
pub(crate) async fn call(node: &Arc<Node>, part: PartitionId, call: Call) -> Reply {
    let Some(addr) = owner_address(node, part) else {
        node.refresh_owners.notify_one();
        return Reply::NotOwner;
    };
    let reply = match addr == node.settings.peer_addr {
        true => handle_call(node, call).await,
        false => call_instance(node, addr, call, CALL_TIMEOUT).await,
    };
    if matches!(reply, Reply::NotOwner | Reply::Unknown) {
        node.refresh_owners.notify_one();
    }
    reply
}

/// Calls another entry instance over HTTP. The reply is `Unavailable` if the call was
/// certainly not carried out, `Unknown` if it may have been.
pub(crate) async fn call_instance(node: &Node, addr: SocketAddr, call: Call, timeout: Duration) -> Reply {
    let body = rmp_serde::to_vec(&call).expect("calls can be encoded");
    let response = node
        .peer_connections(addr)
        .call(client::Call::post(addr, "/peer", Bytes::from(body), timeout))
        .await;
    match response {
        Ok(response) if response.status == StatusCode::OK => rmp_serde::from_slice(&response.body).unwrap_or(Reply::Unknown),
        Ok(_) => Reply::Unavailable,
        Err(platform::Error::Lost) => Reply::Unknown,
        Err(platform::Error::Undelivered | platform::Error::Unavailable) => Reply::Unavailable,
    }
}

/// Handles the HTTP request of a call from another instance.
pub(crate) async fn handle_request(node: &Arc<Node>, request: Request<Incoming>) -> HttpResponse {
    let body = match body::read(request, BODY_LIMITS).await {
        Ok(body) => body,
        // Any status but 200 states that the call was not carried out.
        Err(err @ (body::Error::TooLarge | body::Error::Cut)) => {
            return server::text_response(StatusCode::PAYLOAD_TOO_LARGE, &err.to_string());
        }
        Err(err @ body::Error::Closed(_)) => return server::text_response(StatusCode::SERVICE_UNAVAILABLE, &err.to_string()),
    };
    let Ok(call) = rmp_serde::from_slice::<Call>(&body) else {
        return server::text_response(StatusCode::BAD_REQUEST, "the call cannot be read");
    };
    drop(body);
    let reply = handle_call(node, call).await;
    server::json_response(StatusCode::OK, rmp_serde::to_vec(&reply).expect("replies can be encoded"))
}

/// Carries out a call for which this instance is the receiver.
async fn handle_call(node: &Arc<Node>, call: Call) -> Reply {
    match call {
        Call::Status { part, id, team } => call_local(node, part, |reply| Event::StatusQuery(id, team, reply)).await,
        Call::Inquire { part, version, jobs } => call_local(node, part, |reply| Event::HoldingsQuery(version, jobs, reply)).await,
        Call::Pending { part, queue } => call_local(node, part, |reply| Event::PendingQuery(queue, reply)).await,
        Call::Vacate { part, workers, wait } => call_local(node, part, |reply| Event::VacateRequest(workers, wait, reply)).await,
        Call::ExpectMaintenance { part, workers } => call_local(node, part, |reply| Event::MaintenanceExpected(workers, reply)).await,
        Call::Loads { part } => call_local(node, part, Event::LoadsQuery).await,
        Call::AppendRecords { part, records } => request_log::handle_append(node, part, records).await,
        Call::Store {
            part,
            records,
            wait_ms,
            is_substitute,
        } => request_log::handle_store(node, part, records, Duration::from_millis(wait_ms), is_substitute).await,
        Call::AppendPace { part } => Reply::Pace(request_log::report(node, part)),
        Call::Leave { member } => group::leave_for(node, &member).await,
        Call::Report(report) => caps::handle_report(node, report),
        Call::ReportDemand(report) => caps::handle_demand(node, report),
        Call::LateWork { loads } => coordinator::handle_late_work(node, loads),
    }
}

/// Sends a query to a partition owner in this process and waits for its reply.
async fn call_local<F>(node: &Node, part: PartitionId, event: F) -> Reply
where
    F: FnOnce(oneshot::Sender<Reply>) -> Event,
{
    let Some(owned) = node.owned_partition(part) else {
        return Reply::NotOwner;
    };
    let (reply_sender, reply_receiver) = oneshot::channel();
    if owned.events.send(event(reply_sender)).is_err() {
        return Reply::Unavailable;
    }
    reply_receiver.await.unwrap_or(Reply::Unavailable)
}

/// Returns the peer address of a partition's owner, or `None` if the owner is not known.
fn owner_address(node: &Node, part: PartitionId) -> Option<SocketAddr> {
    if node.owned_partition(part).is_some() {
        return Some(node.settings.peer_addr);
    }
    node.owners.load().get(&part).copied()
}
