//! Status requests to workers, sent again on a new connection when an answer is overdue.
//!
//! They renew leases. If the connection has fallen silent, a request that is given up only after its
//! time limit leaves too little time to renew them over another one.

use std::time::{Duration, Instant};

use oriole_daemon::client::Connection;
use oriole_platform::worker::{StatusRequest, WorkerClient};
use oriolewall::order::{OrderOutcome, WorkerStatus};

use crate::overdue;

/// Answer to a status request.
#[derive(Debug)]
pub(crate) struct Fetched {
    pub(crate) status: Result<WorkerStatus, OrderOutcome>,
    /// When the request was sent on a connection that was silent; `None` if that one has answered, or
    /// if there was no answer on a new connection either.
    pub(crate) silent_since: Option<Instant>,
}

/// Fetches the status of a worker. If the answer is overdue, the request is sent again, and the first
/// answer to either counts.
pub(crate) async fn fetch(worker: &WorkerClient, request: StatusRequest, overdue_after: Option<Duration>) -> Fetched {
    let sent = Instant::now();
    let answered = |status| Fetched {
        status,
        silent_since: None,
    };
    let mut first = std::pin::pin!(worker.fetch_status(request.clone()));
    let Some(overdue_after) = overdue_after else {
        return answered(first.await);
    };
    if let Some(status) = overdue::answer_within(&mut first, overdue_after).await {
        return answered(status);
    }
    let again = StatusRequest {
        wait: Duration::ZERO,
        connection: Connection::New,
        ..request
    };
    let mut second = std::pin::pin!(worker.fetch_status(again));
    let (first, second) = tokio::select! {
        status = &mut first => match status {
            Ok(_) => return answered(status),
            Err(_) => (status, second.await),
        },
        status = &mut second => match status {
            Ok(_) => (Err(OrderOutcome::Lost), status),
            Err(_) => (first.await, status),
        },
    };
    match second {
        Ok(_) => Fetched {
            status: second,
            silent_since: Some(sent),
        },
        Err(_) => answered(first),
    }
}
