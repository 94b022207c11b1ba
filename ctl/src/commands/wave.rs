//! `oriolectl wave`: plans, starts, pauses and resumes maintenance waves, and shows their progress.

use std::time::{Duration, SystemTime};

use argh::FromArgs;
use oriolewall::record::Change;
use oriolewall::wave::{Mode, Progress, Wave};
use serde::Serialize;

use crate::context::Context;

/// Width of the progress bar, in characters.
const PROGRESS_BAR_WIDTH: usize = 40;
const SECONDS_PER_DAY: u64 = 86_400;

/// Control maintenance waves; each maintains every instance once, rack by rack, within every pool's budget.
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

/// List the instances that a wave would drain first in every zone.
#[derive(FromArgs)]
#[argh(subcommand, name = "plan")]
struct Plan {}

/// Start a wave; it replaces the current one.
#[derive(FromArgs)]
#[argh(subcommand, name = "start")]
struct Start {
    /// name of the wave
    #[argh(positional)]
    name: String,
    /// days within which every instance is to be maintained
    #[argh(option, default = "56")]
    days: u64,
}

/// Pause the wave: no further instances are drained, drains in progress continue.
#[derive(FromArgs)]
#[argh(subcommand, name = "pause")]
struct Pause {}

/// Resume a paused wave.
#[derive(FromArgs)]
#[argh(subcommand, name = "resume")]
struct Resume {}

/// Show the progress of the wave and its expected end.
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

/// Current time, milliseconds since the Unix epoch.
fn now_ms() -> u64 {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    now.unwrap_or_default().as_millis() as u64
}

async fn plan(ctx: &Context) -> anyhow::Result<()> {
    let state = ctx.read_state().await?;
    let wave = Wave {
        name: "plan".to_owned(),
        mode: Mode::Running,
        start_ms: now_ms(),
        window: Duration::ZERO,
    };
    let zones: std::collections::BTreeSet<_> = state.fleet.iter().map(|(_, it)| it.zone.clone()).collect();
    let mut next_instances = Vec::new();
    for zone in zones {
        next_instances.extend(wave.next_instances(&state.fleet, &zone, |pool| state.budget(pool)));
    }
    ctx.print(&next_instances, || {
        format!("{} instances; first: {}", state.fleet.iter().count(), next_instances.join(", "))
    });
    Ok(())
}

async fn start(ctx: &Context, args: Start) -> anyhow::Result<()> {
    let window = Duration::from_secs(args.days * SECONDS_PER_DAY);
    let wave = Wave {
        name: args.name,
        mode: Mode::Running,
        start_ms: now_ms(),
        window,
    };
    ctx.apply_change(Change::Wave(wave)).await.map(drop)
}

/// Reads the wave that was started last; an error if there is none.
async fn current_wave(ctx: &Context) -> anyhow::Result<Wave> {
    let wave = ctx.read_state().await?.wave;
    wave.ok_or_else(|| anyhow::anyhow!("no wave; start one with `oriolectl wave start`"))
}

async fn set_mode(ctx: &Context, mode: Mode) -> anyhow::Result<()> {
    let wave = current_wave(ctx).await?;
    ctx.apply_change(Change::Wave(Wave { mode, ..wave })).await.map(drop)
}

/// Progress of the current wave.
#[derive(Serialize)]
struct WaveStatus {
    name: String,
    mode: Mode,
    progress: Progress,
    /// Extrapolated from the mean time per instance so far, milliseconds since the Unix epoch;
    /// `None` until the first instance is done.
    expected_end_ms: Option<u64>,
    /// End of the wave's time window, milliseconds since the Unix epoch.
    due_ms: u64,
}

async fn status(ctx: &Context) -> anyhow::Result<()> {
    let wave = current_wave(ctx).await?;
    let state = ctx.read_state().await?;
    let progress = wave.progress(&state.fleet);
    let elapsed_ms = now_ms().saturating_sub(wave.start_ms);
    let per_instance_ms = elapsed_ms.checked_div(progress.done as u64);
    let wave_status = WaveStatus {
        expected_end_ms: per_instance_ms.map(|it| wave.start_ms + it * progress.total as u64),
        due_ms: wave.start_ms + wave.window.as_millis() as u64,
        name: wave.name,
        mode: wave.mode,
        progress,
    };
    ctx.print(&wave_status, || {
        let filled = PROGRESS_BAR_WIDTH * progress.done / progress.total.max(1);
        let bar = format!("{}{}", "#".repeat(filled), ".".repeat(PROGRESS_BAR_WIDTH - filled));
        let end = match wave_status.expected_end_ms {
            Some(end) => format!("expected end in {} s", end.saturating_sub(now_ms()) / 1_000),
            None => "expected end not known yet".to_owned(),
        };
        format!(
            "{} {:?} [{bar}] {} of {} done, {} under way; {end}",
            wave_status.name, wave_status.mode, progress.done, progress.total, progress.active
        )
    });
    Ok(())
}
