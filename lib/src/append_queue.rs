//! Group commit of callers' requests: what waits for the next append to a partition.
//!
//! Load pattern: in its turn a queue gets more submissions a second than the log makes
//! appends to one partition, which it processes one at a time. With an append for each
//! request the partition's queue grows until answers come after the callers' deadlines.
//! Here one append is in flight for each partition and appender; requests that arrive
//! meanwhile share the next one. So the partition's queue is at most as long as there are
//! appenders, and batches grow with the load. An append that the log refuses had no effect; its
//! requests go back to the front and are sent again, or withdrawn when their callers stop waiting.

use std::collections::VecDeque;

/// Most bytes of one append. The log takes 2 MiB or more.
pub const MAX_BATCH_BYTES: usize = 1024 * 1024;

/// Identifies a unit that waits in a queue.
pub type Ticket = u64;

/// Units of records that wait for an append to one partition.
#[derive(Debug)]
pub struct AppendQueue<T> {
    waiting: VecDeque<Waiting<T>>,
    waiting_bytes: usize,
    in_flight: usize,
    max_in_flight: usize,
    max_bytes: usize,
    next_ticket: Ticket,
}

/// A unit that waits for an append, or is part of one.
#[derive(Debug)]
pub struct Waiting<T> {
    ticket: Ticket,
    bytes: usize,
    /// The records, and what belongs to them.
    pub unit: T,
}

impl<T> Default for AppendQueue<T> {
    fn default() -> AppendQueue<T> {
        AppendQueue::new(1, MAX_BATCH_BYTES)
    }
}

impl<T> AppendQueue<T> {
    /// Creates a queue of which up to `max_in_flight` batches are sent at the same time. A batch has
    /// at most `max_bytes`, unless one unit is larger.
    pub fn new(max_in_flight: usize, max_bytes: usize) -> AppendQueue<T> {
        AppendQueue {
            waiting: VecDeque::new(),
            waiting_bytes: 0,
            in_flight: 0,
            max_in_flight,
            max_bytes,
            next_ticket: 0,
        }
    }

    /// Adds a unit whose records take this many bytes and go into the same append.
    pub fn push(&mut self, bytes: usize, unit: T) -> Ticket {
        self.next_ticket += 1;
        self.waiting_bytes += bytes;
        self.waiting.push_back(Waiting {
            ticket: self.next_ticket,
            bytes,
            unit,
        });
        self.next_ticket
    }

    /// Removes a unit that is not part of an append in flight. Returns `None` if it is, or was.
    pub fn withdraw(&mut self, ticket: Ticket) -> Option<T> {
        let position = self.waiting.iter().position(|it| it.ticket == ticket)?;
        let waiting = self.waiting.remove(position)?;
        self.waiting_bytes -= waiting.bytes;
        Some(waiting.unit)
    }

    /// Returns the units of the next append; `None` while enough are in flight or if nothing
    /// waits. [`AppendQueue::finish`] has to be called when the append has ended.
    pub fn next_batch(&mut self) -> Option<Vec<Waiting<T>>> {
        if self.max_in_flight <= self.in_flight || self.waiting.is_empty() {
            return None;
        }
        let mut bytes = 0;
        let mut batch = Vec::new();
        while let Some(first) = self.waiting.front() {
            if !batch.is_empty() && self.max_bytes < bytes + first.bytes {
                break;
            }
            bytes += first.bytes;
            batch.extend(self.waiting.pop_front());
        }
        self.waiting_bytes -= bytes;
        self.in_flight += 1;
        Some(batch)
    }

    /// Returns units of an append that had no effect to the front of the queue. The append still
    /// counts as in flight.
    pub fn put_back(&mut self, batch: Vec<Waiting<T>>) {
        for waiting in batch.into_iter().rev() {
            self.waiting_bytes += waiting.bytes;
            self.waiting.push_front(waiting);
        }
    }

    /// Ends an append in flight.
    pub fn finish(&mut self) {
        self.in_flight -= 1;
    }

    /// Number of appends in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Number of appends, after those in flight, by which a unit of this many bytes is stored that
    /// is added now.
    pub fn appends_waiting(&self, bytes: usize) -> usize {
        (self.waiting_bytes + bytes).div_ceil(self.max_bytes)
    }
}
