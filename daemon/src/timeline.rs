//! Collects the events of all processes and merges them into one timeline.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use anyhow::Context;
use oriolewall::event::{self, Event, Page};

use crate::client::{Call, Client};

/// Timeout of the call to one process.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Events of several processes, sorted, and the gaps known among them.
#[derive(Debug, Default)]
pub struct Timeline {
    /// Events in the order of their hybrid logical clock.
    pub events: Vec<Event>,
    /// Description of each known gap, for people.
    pub gaps: Vec<String>,
}

/// Selects events by their fields. A field that is `None` matches every event.
///
/// An event that lacks one of the fields with a value here does not match.
#[derive(Clone, Debug, Default)]
pub struct EventFilter {
    /// Id of the team.
    pub team: Option<String>,
    /// Id of the instance.
    pub instance: Option<String>,
    /// Id of the job.
    pub job: Option<String>,
    /// Id of the availability zone.
    pub zone: Option<String>,
}

impl EventFilter {
    /// Whether the filter selects an event.
    pub fn matches(&self, event: &Event) -> bool {
        let fields = serde_json::to_value(&event.kind).unwrap_or_default();
        let field_matches = |name: &str, expected: &Option<String>| match expected {
            Some(expected) => fields.get(name).and_then(|it| it.as_str()) == Some(expected),
            None => true,
        };
        field_matches("team", &self.team)
            && field_matches("instance", &self.instance)
            && field_matches("job", &self.job)
            && field_matches("zone", &self.zone)
    }
}

/// Requests the events of processes over HTTP. A process that does not answer, or that has dropped
/// events, is reported as a gap.
pub async fn collect(client: &Client, sources: &[SocketAddr]) -> Timeline {
    let mut timeline = Timeline::default();
    for source in sources {
        let response = client.call(Call::get(*source, "/events?after=0", REQUEST_TIMEOUT)).await;
        let page = response.ok().and_then(|it| serde_json::from_slice::<Page>(&it.body).ok());
        let Some(page) = page else {
            timeline.gaps.push(format!("{source} does not answer; its events are not shown"));
            continue;
        };
        if 0 < page.missing {
            timeline
                .gaps
                .push(format!("{}: {} older events were dropped", page.source, page.missing));
        }
        timeline.events.extend(page.events);
    }
    timeline.events = event::sort(timeline.events);
    timeline
}

/// Reads events from files of JSON lines. A line that cannot be parsed, such as one that was
/// truncated, is reported as a gap.
pub fn load(files: &[PathBuf]) -> anyhow::Result<Timeline> {
    let mut timeline = Timeline::default();
    for file in files {
        let text = std::fs::read_to_string(file).with_context(|| format!("cannot read {}", file.display()))?;
        for (index, line) in text.lines().enumerate() {
            match serde_json::from_str(line) {
                Ok(event) => timeline.events.push(event),
                Err(err) => timeline.gaps.push(format!("{}:{}: {err}", file.display(), index + 1)),
            }
        }
    }
    timeline.events = event::sort(timeline.events);
    Ok(timeline)
}

/// Formats an event as one line for people, without a line break.
pub fn format_event(event: &Event) -> String {
    let stamp = event.stamp;
    let fields = serde_json::to_value(&event.kind).unwrap_or_default();
    let name = fields.get("event").and_then(|it| it.as_str()).unwrap_or_default();
    let mut text = format!(
        "{}.{:03}+{:<3} {:<24} {name:<10}",
        stamp.wall_ms / 1_000,
        stamp.wall_ms % 1_000,
        stamp.count,
        event.source
    );
    for (key, value) in fields.as_object().into_iter().flatten().filter(|(key, _)| *key != "event") {
        let value = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
        text.push_str(&format!(" {key}={value}"));
    }
    text
}
