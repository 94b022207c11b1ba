//! Inputs of the state machine of an entry instance, and the actions that it returns.

use std::net::SocketAddr;
use std::time::Duration;

use crate::entry::{CallId, RequestId};
use crate::id::{InstanceId, JobId, MemberId, Offset};
use crate::job::{Job, Status};
use crate::log_sync;
use crate::platform::{self, ListedInstance, LogRead, WorkerRequest, WorkerResponse};
use crate::wire::{Frame, Hold};

/// An input of the state machine.
#[derive(Debug)]
pub enum Event {
    /// Runs the periodic work; sent every few tens of milliseconds.
    Tick,
    /// A read of the log has returned.
    Read {
        /// Monotonic instant just before the read was sent.
        sent: Duration,
        /// The entries read.
        result: Result<LogRead, platform::Error>,
    },
    /// An append to the log has returned.
    Appended(Result<Offset, platform::Error>),
    /// A read of the instance list has returned.
    Listed(Result<Vec<ListedInstance>, platform::Error>),
    /// A call to a worker has returned.
    CallReturned {
        /// Id from the [`Action::Call`].
        id: CallId,
        /// Monotonic instant just before the call was sent.
        sent: Duration,
        /// The worker's response.
        result: Result<WorkerResponse, platform::Error>,
    },
    /// A frame from a peer has arrived.
    FrameReceived(Frame),
    /// A caller submits a job; its key has already been verified.
    Submit {
        /// Request to answer once the job has ended.
        request_id: RequestId,
        /// The job to run.
        job: Job,
    },
    /// A caller asks for the status of a job.
    Query {
        /// Request to answer.
        request_id: RequestId,
        /// Id of the job.
        job: JobId,
        /// When to answer.
        wait: Wait,
    },
    /// A caller cancels a job.
    Cancel {
        /// Id of the job.
        job: JobId,
    },
    /// The caller of this request has disconnected and needs no reply.
    CallerDisconnected(RequestId),
    /// An operator blocks starts directly, ahead of the record in the log.
    Hold(Hold),
    /// Requests a graceful stop of the process.
    Stop,
}

/// When a query is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wait {
    /// Once the job has ended.
    UntilEnded,
    /// Immediately, with the current status.
    No,
}

/// An output of the state machine, for its caller to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a request to the log.
    Log(log_sync::LogRequest),
    /// Read the instance list.
    List,
    /// Call a worker.
    Call {
        /// Id to return with the response in [`Event::CallReturned`].
        id: CallId,
        /// Instance that the worker runs on.
        instance: InstanceId,
        /// Address of the worker.
        addr: SocketAddr,
        /// Request to send.
        request: WorkerRequest,
    },
    /// Send messages to a peer.
    Send {
        /// Member that receives the frame.
        to: MemberId,
        /// Address of that member.
        addr: SocketAddr,
        /// Frame to send.
        frame: Frame,
    },
    /// Answer a caller.
    Reply {
        /// Request that this answers.
        request_id: RequestId,
        /// Status of the job; `None` if no entry that was asked has it.
        status: Option<Status>,
    },
}
