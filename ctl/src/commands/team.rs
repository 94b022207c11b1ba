//! `oriolectl team`: lists, creates and changes teams.

use argh::FromArgs;
use oriolewall::id::TeamId;
use oriolewall::setting;
use oriolewall::state::State;
use serde::Serialize;

use crate::context::Context;

/// List, create and change teams.
///
/// Example: oriolectl --config client.ini team add utility/checks --cap 20 --weight 3 --pools cells,shared
#[derive(FromArgs)]
#[argh(subcommand, name = "team")]
pub(crate) struct Args {
    #[argh(subcommand)]
    action: Action,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Action {
    List(List),
    Add(Add),
}

/// List all teams with their caps, weights, valid keys, allotted slots and pools.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct List {}

/// Create a team, or set the cap, weight and pools of an existing one.
#[derive(FromArgs)]
#[argh(subcommand, name = "add")]
struct Add {
    /// organisation and team, such as utility/checks
    #[argh(positional)]
    name: String,
    /// slots that the team may use fleet-wide at once
    #[argh(option)]
    cap: u64,
    /// weight of the team when slots do not suffice for all teams
    #[argh(option, default = "1")]
    weight: u64,
    /// pools that the team's jobs may run in, comma-separated, in order of preference
    #[argh(option)]
    pools: String,
}

/// Limits of a team, its keys and its allotted slots.
#[derive(Serialize)]
struct TeamSummary {
    team: String,
    cap: u64,
    weight: u64,
    pools: String,
    /// Number of keys that are not withdrawn.
    keys: usize,
    /// Slots of the team's cap that entries hold.
    allotted: u64,
}

pub(super) async fn run(ctx: &Context, args: Args) -> anyhow::Result<()> {
    match args.action {
        Action::List(_) => list(ctx).await,
        Action::Add(args) => add(ctx, args).await,
    }
}

/// Ids of all teams: the paths `org/<organisation>/<team>` of nodes in the settings tree.
pub(super) fn team_ids(state: &State) -> Vec<TeamId> {
    let paths = state.tree.subtree("org").map(|(path, _)| path);
    paths.filter(|it| it.split('/').count() == 3).map(|it| it.as_str().into()).collect()
}

async fn list(ctx: &Context) -> anyhow::Result<()> {
    let state = ctx.read_state().await?;
    let mut summaries = Vec::new();
    for team in team_ids(&state) {
        let keys = state
            .keys
            .iter()
            .filter(|(_, it)| it.team == team && it.withdrawn.is_none())
            .count();
        summaries.push(TeamSummary {
            cap: state.cap(&team),
            weight: state.tree.get_number(&team, setting::WEIGHT),
            pools: state.tree.get(&team, setting::POOLS).to_owned(),
            keys,
            allotted: state.ledger.total_held(&team),
            team: team.to_string(),
        });
    }
    ctx.print(&summaries, || {
        let mut text = format!("{:<32} {:>6} {:>6} {:>5} {:>8}  pools", "team", "cap", "weight", "keys", "allotted");
        for it in &summaries {
            text.push_str(&format!(
                "\n{:<32} {:>6} {:>6} {:>5} {:>8}  {}",
                it.team, it.cap, it.weight, it.keys, it.allotted, it.pools
            ));
        }
        text
    });
    Ok(())
}

async fn add(ctx: &Context, args: Add) -> anyhow::Result<()> {
    let path = format!("org/{}", args.name);
    anyhow::ensure!(
        path.split('/').count() == 3,
        "a team is named <organisation>/<team>, such as utility/checks"
    );
    let values = [
        (setting::CAP, args.cap.to_string()),
        (setting::WEIGHT, args.weight.to_string()),
        (setting::POOLS, args.pools),
    ];
    for (name, value) in values {
        ctx.edit_setting(&path, name, Some(&value)).await?;
    }
    Ok(())
}
