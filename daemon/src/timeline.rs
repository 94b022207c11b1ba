//! Collecting the events of all processes into one order.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use anyhow::Context;
use oriolewall::event::{self, Event, Page};

use crate::client::{Call, Client};

/// Time for one process to answer.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Events in one order, and what is missing from them.
#[derive(Debug, Default)]
pub struct Timeline {
    /// The events.
    pub events: Vec<Event>,
    /// One sentence for each known gap.
    pub gaps: Vec<String>,
}

/// Which events are wanted; absent parts take all.
#[derive(Clone, Debug, Default)]
pub struct EventFilter {
    /// Only this team.
    pub team: Option<String>,
    /// Only this instance.
    pub instance: Option<String>,
    /// Only this job.
    pub job: Option<String>,
    /// Only this availability zone.
    pub zone: Option<String>,
}

impl EventFilter {
    /// Whether an event is wanted.
    pub fn matches(&self, event: &Event) -> bool {
        let fields = serde_json::to_value(&event.kind).unwrap_or_default();
        let matches = |name: &str, wanted: &Option<String>| match wanted {
            Some(wanted) => fields.get(name).and_then(|it| it.as_str()) == Some(wanted),
            None => true,
        };
        matches("team", &self.team) && matches("instance", &self.instance) && matches("job", &self.job) && matches("zone", &self.zone)
    }
}

/// Asks processes for their events. One that does not answer is named as a gap.
pub async fn collect(client: &Client, sources: &[SocketAddr]) -> Timeline {
    let mut collected = Timeline::default();
    for source in sources {
        let response = client.call(Call::get(*source, "/events?after=0", TIMEOUT)).await;
        let page = response.ok().and_then(|it| serde_json::from_slice::<Page>(&it.body).ok());
        let Some(page) = page else {
            collected.gaps.push(format!("{source} does not answer; its events are not shown"));
            continue;
        };
        if 0 < page.missing {
            collected
                .gaps
                .push(format!("{}: {} older events were dropped", page.source, page.missing));
        }
        collected.events.extend(page.events);
    }
    collected.events = event::sort(collected.events);
    collected
}

/// Reads files of JSON lines; a line that was cut short is named as a gap.
pub fn load(files: &[PathBuf]) -> anyhow::Result<Timeline> {
    let mut collected = Timeline::default();
    for file in files {
        let text = std::fs::read_to_string(file).with_context(|| format!("cannot read {}", file.display()))?;
        for (index, line) in text.lines().enumerate() {
            match serde_json::from_str(line) {
                Ok(event) => collected.events.push(event),
                Err(err) => collected.gaps.push(format!("{}:{}: {err}", file.display(), index + 1)),
            }
        }
    }
    collected.events = event::sort(collected.events);
    Ok(collected)
}

/// One readable line.
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
