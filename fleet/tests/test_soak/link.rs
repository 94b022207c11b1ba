//! Links over which the instances reach the log and the workers.

use std::time::{Duration, Instant};

/// What happens to calls over a link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Mode {
    Open,
    /// Answers take this long.
    Slow(Duration),
    /// Calls vanish.
    Cut,
    /// Calls are carried out, and their answers vanish.
    AnswersLost,
    /// Calls are not answered and carried out after 2 to 12 s.
    Late,
    Refused(u16),
    /// Connections are reset, before or after a call is carried out.
    Reset,
}

/// A link from an instance to the log or to a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Link {
    pub(crate) mode: Mode,
    /// Share of the calls that meet the mode.
    pub(crate) share: f64,
    /// Until when the mode holds.
    pub(crate) until: Duration,
    /// Connections opened before this time stay silent.
    pub(crate) silent_before: Option<Instant>,
    /// The same only for those on which the instance waits for records of the log.
    pub(crate) waiting_reads_silent_before: Option<Instant>,
    /// Connections opened before this time take no further call; one that is open is answered.
    pub(crate) no_calls_before: Option<Instant>,
    /// Until when reads of callers' requests are not answered, and which.
    pub(crate) unread: (Duration, Unread),
}

/// Reads that are not answered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Unread {
    All,
    /// Those that wait for records.
    Waiting,
}

/// Connection of a call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Connection {
    pub(crate) opened: Instant,
    pub(crate) waits_for_records: bool,
}

impl Link {
    pub(crate) const OPEN: Link = Link {
        mode: Mode::Open,
        share: 1.0,
        until: Duration::ZERO,
        silent_before: None,
        waiting_reads_silent_before: None,
        no_calls_before: None,
        unread: (Duration::ZERO, Unread::All),
    };

    /// Whether nothing more arrives on a connection.
    pub(crate) fn is_silent(&self, connection: Connection) -> bool {
        let reads = self.waiting_reads_silent_before.filter(|_| connection.waits_for_records);
        self.silent_before.max(reads).is_some_and(|it| connection.opened < it)
    }

    /// Whether reads of callers' requests on a connection are not answered now.
    pub(crate) fn leaves_unread(&self, now: Duration, connection: Connection) -> bool {
        let (until, unread) = self.unread;
        now < until && (unread == Unread::All || connection.waits_for_records)
    }
}
