//! `oriolectl wave`.

use std::time::{Duration, SystemTime};

use argh::FromArgs;
use oriolewall::record::Change;
use oriolewall::wave::{Mode, Progress, Wave};
use serde::Serialize;

use crate::context::Context;

/// Width of the progress bar, characters.
const BAR: usize = 40;
const SECONDS_PER_DAY: u64 = 86_400;

/// Maintain every instance once, rack by rack, within every pool's budget.
///
/// Example: oriolectl --config client.ini wave start winter --days 56
#[derive(FromArgs)]
#[argh(subcommand, name = "wave")]
pub(crate) struct Args {
    #[argh(subcommand)]
    action: Action,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Action {
    Plan(Plan),
    Start(Start),
    Pause(Pause),
    Resume(Resume),
    Status(Status),
}

/// Show what a wave would take first in every zone.
#[derive(FromArgs)]
#[argh(subcommand, name = "plan")]
struct Plan {}

/// Start a wave.
#[derive(FromArgs)]
#[argh(subcommand, name = "start")]
struct Start {
    /// name of the wave
    #[argh(positional)]
    name: String,
    /// days by which every instance is to be maintained
    #[argh(option, default = "56")]
    days: u64,
}

/// Take no further instances; drains under way finish.
#[derive(FromArgs)]
#[argh(subcommand, name = "pause")]
struct Pause {}

/// Go on with a paused wave.
#[derive(FromArgs)]
#[argh(subcommand, name = "resume")]
struct Resume {}

/// Show progress and the expected end.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct Status {}

pub(super) async fn run(ctx: &Context, args: Args) -> anyhow::Result<()> {
    match args.action {
        Action::Plan(_) => plan(ctx).await,
        Action::Start(args) => start(ctx, args).await,
        Action::Pause(_) => set_mode(ctx, Mode::Paused).await,
        Action::Resume(_) => set_mode(ctx, Mode::Running).await,
        Action::Status(_) => status(ctx).await,
    }
}

fn now_ms() -> u64 {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    now.unwrap_or_default().as_millis() as u64
}

async fn plan(ctx: &Context) -> anyhow::Result<()> {
    let state = ctx.state().await?;
    let order = Wave {
        name: "plan".to_owned(),
        mode: Mode::Running,
        start_ms: now_ms(),
        window: Duration::ZERO,
    };
    let zones: std::collections::BTreeSet<_> = state.fleet.iter().map(|(_, it)| it.zone.clone()).collect();
    let mut first = Vec::new();
    for zone in zones {
        first.extend(order.next_instances(&state.fleet, &zone, |pool| state.budget(pool)));
    }
    ctx.print(&first, || {
        format!("{} instances; first: {}", state.fleet.iter().count(), first.join(", "))
    });
    Ok(())
}

async fn start(ctx: &Context, args: Start) -> anyhow::Result<()> {
    let window = Duration::from_secs(args.days * SECONDS_PER_DAY);
    let order = Wave {
        name: args.name,
        mode: Mode::Running,
        start_ms: now_ms(),
        window,
    };
    ctx.change(Change::Wave(order)).await.map(drop)
}

async fn current(ctx: &Context) -> anyhow::Result<Wave> {
    let wave = ctx.state().await?.wave;
    wave.ok_or_else(|| anyhow::anyhow!("no wave; start one with `oriolectl wave start`"))
}

async fn set_mode(ctx: &Context, mode: Mode) -> anyhow::Result<()> {
    let order = current(ctx).await?;
    ctx.change(Change::Wave(Wave { mode, ..order })).await.map(drop)
}

#[derive(Serialize)]
struct View {
    name: String,
    mode: Mode,
    progress: Progress,
    expected_end_ms: Option<u64>,
    due_ms: u64,
}

async fn status(ctx: &Context) -> anyhow::Result<()> {
    let order = current(ctx).await?;
    let state = ctx.state().await?;
    let progress = order.progress(&state.fleet);
    let elapsed_ms = now_ms().saturating_sub(order.start_ms);
    let per_instance_ms = elapsed_ms.checked_div(progress.done as u64);
    let view = View {
        expected_end_ms: per_instance_ms.map(|it| order.start_ms + it * progress.total as u64),
        due_ms: order.start_ms + order.window.as_millis() as u64,
        name: order.name,
        mode: order.mode,
        progress,
    };
    ctx.print(&view, || {
        let filled = BAR * progress.done / progress.total.max(1);
        let bar = format!("{}{}", "#".repeat(filled), ".".repeat(BAR - filled));
        let end = match view.expected_end_ms {
            Some(end) => format!("expected end in {} s", end.saturating_sub(now_ms()) / 1_000),
            None => "expected end not known yet".to_owned(),
        };
        format!(
            "{} {:?} [{bar}] {} of {} done, {} under way; {end}",
            view.name, view.mode, progress.done, progress.total, progress.active
        )
    });
    Ok(())
}
