//! Keeps the assignments of queues to pools in the log, which does not retain the versions of the
//! configuration that tell them. The owner of [`COORDINATOR_PART`] records them; instances read them
//! when they start.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use oriole_platform::log::{ASSIGNMENTS, AppendPosition, Entry, Error};
use oriolewall::pool_history::{Address, Assignment};

use crate::coordinator::COORDINATOR_PART;
use crate::node::Node;
use crate::watch;

/// Key of the record with the version of the configuration up to which all is recorded.
const VERSION_KEY: &str = "version";
/// Time between two checks whether this instance is the one that records.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time limit of a call to the log.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Most records in one append.
const MAX_BATCH: usize = 500;

/// What is recorded.
#[derive(Debug, Default)]
pub(crate) struct Recorded {
    /// Version of the configuration up to which all is recorded; 0 if nothing is.
    pub(crate) version: u64,
    pub(crate) assignments: HashMap<Address, Assignment>,
}

/// Position of the next append, and what earlier ones have recorded.
#[derive(Debug)]
struct Session {
    position: AppendPosition,
    recorded: Recorded,
}

/// Reads what is recorded. Records that cannot be read are skipped.
pub(crate) async fn read(node: &Node) -> Result<Recorded, Error> {
    let mut recorded = Recorded::default();
    for entry in node.log.read_newest(ASSIGNMENTS, CALL_TIMEOUT).await?.entries {
        let Some(value) = entry.value else {
            continue;
        };
        if entry.key == VERSION_KEY {
            recorded.version = rmp_serde::from_slice(&value).unwrap_or_default();
        } else if let Ok((address, assignment)) = rmp_serde::from_slice::<(Address, Assignment)>(&value) {
            recorded.assignments.insert(address, assignment);
        } else {
            node.metrics.records_skipped.inc();
        }
    }
    Ok(recorded)
}

/// Records the assignments while this instance owns [`COORDINATOR_PART`].
pub(crate) async fn run(node: Arc<Node>) {
    let mut changes = node.catalog_changes.subscribe();
    let mut session: Option<Session> = None;
    loop {
        let epoch = node.owned_partition(COORDINATOR_PART).map(|it| it.tenure.since());
        session = session.filter(|it| Some(it.position.epoch) == epoch);
        if let Some(epoch) = epoch
            && let Err(err) = record(&node, &mut session, epoch).await
        {
            watch::report_log_error(&node, "assignments", &err);
            session = None;
        }
        let _ = tokio::time::timeout(CHECK_INTERVAL, changes.changed()).await;
    }
}

/// Records what has changed, in the session of an epoch or in a new one.
async fn record(node: &Node, session: &mut Option<Session>, epoch: u64) -> Result<(), Error> {
    let Ok(catalog) = node.configuration.load().catalog() else {
        return Ok(());
    };
    let session = match session {
        Some(session) if catalog.version <= session.recorded.version => return Ok(()),
        Some(session) => session,
        None => session.insert(Session::start(node, epoch).await?),
    };
    let changes = catalog.history.changes_since(&session.recorded.assignments);
    for batch in changes.chunks(MAX_BATCH) {
        let entries: Vec<Entry> = batch
            .iter()
            .map(|(address, assignment)| entry(address, assignment.as_ref()))
            .collect();
        session.append(node, &entries).await?;
        for (address, assignment) in batch {
            match assignment {
                Some(assignment) => session.recorded.assignments.insert(address.clone(), assignment.clone()),
                None => session.recorded.assignments.remove(address),
            };
        }
    }
    // Without changes as well, so that instances that start later know that they missed none.
    let version = Entry {
        key: VERSION_KEY.to_owned(),
        value: Some(encode(&catalog.version)),
    };
    session.append(node, &[version]).await?;
    session.recorded.version = catalog.version;
    Ok(())
}

impl Session {
    /// Sets the epoch, which fences earlier owners, and reads what they have recorded.
    async fn start(node: &Node, epoch: u64) -> Result<Session, Error> {
        let mut position = AppendPosition { epoch, sequence: 0 };
        match node.log.append(ASSIGNMENTS, Some(position), &[], CALL_TIMEOUT).await {
            Ok(()) => {}
            Err(Error::OutOfSequence { expected }) => position.sequence = expected,
            Err(err) => return Err(err),
        }
        let recorded = read(node).await?;
        Ok(Session { position, recorded })
    }

    /// Appends records. The log tells the sequence number if it expects another one.
    async fn append(&mut self, node: &Node, entries: &[Entry]) -> Result<(), Error> {
        let mut result = node.log.append(ASSIGNMENTS, Some(self.position), entries, CALL_TIMEOUT).await;
        if let Err(Error::OutOfSequence { expected }) = result {
            self.position.sequence = expected;
            result = node.log.append(ASSIGNMENTS, Some(self.position), entries, CALL_TIMEOUT).await;
        }
        result?;
        self.position.sequence += 1;
        Ok(())
    }
}

/// Returns the record of an address; one without an assignment removes it.
fn entry(address: &Address, assignment: Option<&Assignment>) -> Entry {
    Entry {
        key: format!("a/{:016x}", oriolewall::id::fnv1a(address)),
        value: assignment.map(|it| encode(&(address, it))),
    }
}

fn encode<T>(value: &T) -> Bytes
where
    T: serde::Serialize,
{
    Bytes::from(rmp_serde::to_vec(value).expect("records can be encoded"))
}
