//! Links of simulated processes, and their calls to the instance list, to workers and to each other.

use std::time::Duration;

use oriolewall::entry::Event;
use oriolewall::id::{InstanceId, MemberId};
use oriolewall::maintain;
use oriolewall::platform::{Error, ListedInstance, WorkerRequest, WorkerResponse};
use oriolewall::wire::Frame;
use rand::RngExt;

use super::log::LOG_TIMEOUT;
use super::{Client, START_WALL_TIME, SimEvent, Simulation};
use crate::check::fault::Location;

/// Time after which a call to a worker is lost, in addition to the time that it may wait.
const WORKER_TIMEOUT: Duration = Duration::from_secs(2);

/// Converts the deadline in a start request between milliseconds since the Unix epoch,
/// which processes use, and milliseconds since the start of the simulation, which
/// workers use.
trait ConvertStartTime {
    fn into_simulation_time(self, start_wall_ms: u64) -> WorkerRequest;
    fn into_wall_time(self, start_wall_ms: u64) -> WorkerRequest;
}

impl ConvertStartTime for WorkerRequest {
    fn into_simulation_time(self, start_wall_ms: u64) -> WorkerRequest {
        match self {
            WorkerRequest::Start(mut start) => {
                start.start_by_ms = start.start_by_ms.saturating_sub(start_wall_ms);
                WorkerRequest::Start(start)
            }
            other => other,
        }
    }

    fn into_wall_time(self, start_wall_ms: u64) -> WorkerRequest {
        match self {
            WorkerRequest::Start(mut start) => {
                start.start_by_ms += start_wall_ms;
                WorkerRequest::Start(start)
            }
            other => other,
        }
    }
}

impl Simulation {
    pub(super) fn location(&self, client: &Client) -> Location {
        match client {
            Client::Entry(index, _) => Location::Zone(self.entry_processes[*index].zone),
            Client::Maintenance(index) => Location::Zone(self.maintenance_processes[*index].zone),
        }
    }

    pub(super) fn is_cut(&self, from: Location, to: Location) -> bool {
        self.cut_links.contains(&(from, to))
    }

    /// Random latency of a message: 0.1 to 0.4 ms within a location, 1.3 to 1.8 ms between two.
    pub(super) fn latency(&mut self, from: Location, to: Location) -> Duration {
        let micros = if from == to {
            self.rng.random_range(100..400)
        } else {
            self.rng.random_range(1_300..1_800)
        };
        Duration::from_micros(micros)
    }

    pub(super) fn send_list_request(&mut self, client: Client) {
        let location = self.location(&client);
        let lost = self.is_cut(location, Location::Platform) || self.is_cut(Location::Platform, location);
        if lost {
            self.deliver_list(self.now + LOG_TIMEOUT, client, Err(Error::Lost));
            return;
        }
        let at = self.now + self.latency(location, Location::Platform);
        self.schedule(at, SimEvent::ListRead { client });
    }

    pub(super) fn handle_list_read(&mut self, client: Client) {
        let location = self.location(&client);
        let list = self.list.read(self.now);
        let at = self.now + self.latency(Location::Platform, location);
        self.deliver_list(at, client, Ok(list));
    }

    pub(super) fn deliver_list(&mut self, at: Duration, client: Client, result: Result<Vec<ListedInstance>, Error>) {
        match client {
            Client::Entry(index, incarnation) => self.schedule(at, SimEvent::EntryInput(index, incarnation, Event::Listed(result))),
            Client::Maintenance(index) => self.schedule(at, SimEvent::MaintainerInput(index, maintain::Event::Listed(result))),
        }
    }

    /// Sends a request to a worker, over a link within the zone that is never cut.
    pub(super) fn send_worker_request(&mut self, client: Client, id: u64, instance: InstanceId, request: WorkerRequest) {
        let sent = Duration::from_secs(1_000) + self.now;
        let wait = match &request {
            WorkerRequest::Wait { wait_ms, .. } => Duration::from_millis(*wait_ms),
            _ => Duration::ZERO,
        };
        let location = self.location(&client);
        let mut at = self.now + self.latency(location, location);
        if let (WorkerRequest::Start(_), Some(by)) = (&request, self.start_delay)
            && self.rng.random_bool(0.2)
        {
            at += by;
        }
        self.schedule(
            at,
            SimEvent::WorkerCall {
                client,
                id,
                instance,
                request,
                sent,
                wait_until: at + wait,
            },
        );
    }

    pub(super) fn handle_worker_call(
        &mut self,
        client: Client,
        id: u64,
        instance: InstanceId,
        request: WorkerRequest,
        sent: Duration,
        wait_until: Duration,
    ) {
        const POLL_INTERVAL: Duration = Duration::from_millis(10);
        let now_ms = self.true_wall_ms();
        let start_wall_ms = START_WALL_TIME.as_millis() as u64;
        let Some((_, worker)) = self.workers.get_mut(&instance) else {
            let at = sent - Duration::from_secs(1_000) + WORKER_TIMEOUT;
            self.deliver_worker_response(at.max(self.now), client, id, instance, sent, Err(Error::Lost));
            return;
        };
        let request = request.into_simulation_time(start_wall_ms);
        let response = worker.handle(now_ms - start_wall_ms, &request);
        if response == Some(WorkerResponse::Pending) && self.now < wait_until {
            self.schedule(
                self.now + POLL_INTERVAL,
                SimEvent::WorkerCall {
                    client,
                    id,
                    instance,
                    request: request.into_wall_time(start_wall_ms),
                    sent,
                    wait_until,
                },
            );
            return;
        }
        let timeout_at = sent - Duration::from_secs(1_000) + WORKER_TIMEOUT + (wait_until - self.now.min(wait_until));
        let location = self.location(&client);
        let reply_at = self.now + self.latency(location, location);
        match response {
            // A response after the timeout of the client is lost.
            Some(response) if reply_at <= timeout_at.max(wait_until + WORKER_TIMEOUT) => {
                self.deliver_worker_response(reply_at, client, id, instance, sent, Ok(response));
            }
            _ => self.deliver_worker_response(timeout_at.max(self.now), client, id, instance, sent, Err(Error::Lost)),
        }
    }

    pub(super) fn deliver_worker_response(
        &mut self,
        at: Duration,
        client: Client,
        id: u64,
        instance: InstanceId,
        sent: Duration,
        result: Result<WorkerResponse, Error>,
    ) {
        match client {
            Client::Entry(index, incarnation) => self.schedule(
                at,
                SimEvent::EntryInput(index, incarnation, Event::CallReturned { id, sent, result }),
            ),
            Client::Maintenance(index) => self.schedule(at, SimEvent::MaintainerInput(index, maintain::Event::Called { instance, result })),
        }
    }

    /// Sends a frame to a member, which may have ended since; a cut link loses the frame.
    pub(super) fn send_frame(&mut self, from: usize, to: MemberId, frame: Frame) {
        let Some((index, incarnation)) = self.members.get(&to).copied() else {
            return;
        };
        self.message_count += 1;
        if let Some(bytes) = &mut self.message_bytes {
            *bytes += frame.encode().len() as u64;
        }
        let (from_zone, to_zone) = (
            Location::Zone(self.entry_processes[from].zone),
            Location::Zone(self.entry_processes[index].zone),
        );
        if self.is_cut(from_zone, to_zone) {
            return;
        }
        let at = self.now + self.latency(from_zone, to_zone);
        self.schedule(at, SimEvent::EntryInput(index, incarnation, Event::FrameReceived(frame)));
    }
}
