//! Group commit of callers' requests: what waits for the next append to a partition.
//!
//! Load pattern: in its turn a queue gets more submissions a second than the log makes
//! appends to one partition, which it processes one at a time. With an append for each
//! request the partition's queue grows until answers come after the callers' deadlines.
//! Here one append is in flight for each partition and instance; requests that arrive
//! meanwhile share the next one. So the partition's queue is at most as long as there are
//! instances, and batches grow with the load.

use std::collections::VecDeque;

/// Most bytes of one append. The log takes 2 MiB.
const MAX_BATCH_BYTES: usize = 1024 * 1024;

/// Identifies a unit that waits in a queue.
pub type Ticket = u64;

/// Units of records that wait for an append to one partition.
#[derive(Debug)]
pub struct AppendQueue<T> {
    waiting: VecDeque<Waiting<T>>,
    in_flight: bool,
    next_ticket: Ticket,
}

#[derive(Debug)]
struct Waiting<T> {
    ticket: Ticket,
    bytes: usize,
    unit: T,
}

impl<T> Default for AppendQueue<T> {
    fn default() -> AppendQueue<T> {
        AppendQueue {
            waiting: VecDeque::new(),
            in_flight: false,
            next_ticket: 0,
        }
    }
}

impl<T> AppendQueue<T> {
    /// Adds a unit whose records take this many bytes and go into the same append.
    pub fn push(&mut self, bytes: usize, unit: T) -> Ticket {
        self.next_ticket += 1;
        self.waiting.push_back(Waiting {
            ticket: self.next_ticket,
            bytes,
            unit,
        });
        self.next_ticket
    }

    /// Removes a unit that is not part of an append yet. Returns `None` if it is, or was.
    pub fn withdraw(&mut self, ticket: Ticket) -> Option<T> {
        let position = self.waiting.iter().position(|it| it.ticket == ticket)?;
        self.waiting.remove(position).map(|it| it.unit)
    }

    /// Returns the units of the next append; `None` while one is in flight or if nothing
    /// waits. [`AppendQueue::finish`] has to be called when the append has ended.
    pub fn next_batch(&mut self) -> Option<Vec<T>> {
        if self.in_flight || self.waiting.is_empty() {
            return None;
        }
        let mut bytes = 0;
        let mut units = Vec::new();
        while let Some(first) = self.waiting.front() {
            if !units.is_empty() && MAX_BATCH_BYTES < bytes + first.bytes {
                break;
            }
            bytes += first.bytes;
            units.extend(self.waiting.pop_front().map(|it| it.unit));
        }
        self.in_flight = true;
        Some(units)
    }

    /// Ends the append in flight.
    pub fn finish(&mut self) {
        self.in_flight = false;
    }
}
