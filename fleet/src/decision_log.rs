//! The decision log: JSON lines on standard output, bounded, never blocking.

use std::collections::HashMap;
use std::io::Write;
use std::sync::Mutex;
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};
use std::time::Duration;

use serde::Serialize;
use serde_json::{Map, Value, json};

use crate::clock;

/// Lines of one kind that are written in a second; the rest is counted.
/// Twice the placements of one pool at five times its mean load.
const MAX_LINES_PER_SECOND: u32 = 200;
/// Batches that wait for the writer; more are dropped and counted.
const MAX_QUEUED_BATCHES: usize = 16;
/// Time for which lines are gathered into one write.
const FLUSH_INTERVAL: Duration = Duration::from_millis(250);

#[derive(Debug)]
struct LogState {
    buffer: Vec<u8>,
    second: u64,
    line_counts: HashMap<&'static str, u32>,
    dropped: u64,
}

/// The log of one process.
#[derive(Debug)]
pub(crate) struct DecisionLog {
    node: String,
    state: Mutex<LogState>,
    writer: SyncSender<Vec<u8>>,
}

impl DecisionLog {
    /// Starts the writer.
    pub(crate) fn start(node: String) -> DecisionLog {
        let (writer, batches) = sync_channel::<Vec<u8>>(MAX_QUEUED_BATCHES);
        std::thread::spawn(move || {
            let mut out = std::io::stdout();
            while let Ok(batch) = batches.recv() {
                // Without a reader of the log there is nobody to tell.
                let _ = out.write_all(&batch).and_then(|()| out.flush());
            }
        });
        DecisionLog {
            node,
            state: Mutex::new(LogState {
                buffer: Vec::new(),
                second: 0,
                line_counts: HashMap::new(),
                dropped: 0,
            }),
            writer,
        }
    }

    /// Writes a line unless its kind has used up the second.
    pub(crate) fn write<F>(&self, event: &'static str, fields: F)
    where
        F: Serialize,
    {
        let now_ms = clock::now().wall_ms();
        let Ok(mut state) = self.state.lock() else {
            return;
        };
        let second = now_ms / 1000;
        if state.second != second {
            state.second = second;
            state.line_counts.clear();
            if state.dropped != 0 {
                let dropped = std::mem::take(&mut state.dropped);
                self.push(&mut state, now_ms, "lines_dropped", json!({ "count": dropped }));
            }
        }
        let count = state.line_counts.entry(event).or_default();
        *count += 1;
        if MAX_LINES_PER_SECOND < *count {
            state.dropped += 1;
            return;
        }
        let fields = serde_json::to_value(fields).unwrap_or(Value::Null);
        self.push(&mut state, now_ms, event, fields);
    }

    fn push(&self, state: &mut LogState, now_ms: u64, event: &str, fields: Value) {
        let mut line = Map::new();
        line.insert("at_ms".to_owned(), now_ms.into());
        line.insert("node".to_owned(), self.node.clone().into());
        line.insert("event".to_owned(), event.into());
        if let Value::Object(fields) = fields {
            line.extend(fields);
        }
        // Writing to a vector cannot fail.
        let _ = serde_json::to_writer(&mut state.buffer, &line);
        state.buffer.push(b'\n');
    }

    /// Hands gathered lines to the writer.
    pub(crate) fn flush(&self) {
        let Ok(mut state) = self.state.lock() else {
            return;
        };
        if state.buffer.is_empty() {
            return;
        }
        let batch = std::mem::take(&mut state.buffer);
        if let Err(TrySendError::Full(batch)) = self.writer.try_send(batch) {
            state.dropped += batch.iter().filter(|it| **it == b'\n').count() as u64;
        }
    }

    /// Flushes again and again.
    pub(crate) async fn flush_periodically(&self) {
        loop {
            tokio::time::sleep(FLUSH_INTERVAL).await;
            self.flush();
        }
    }
}
