//! `oriolectl team`.

use argh::FromArgs;
use oriolewall::id::TeamId;
use oriolewall::setting;
use oriolewall::state::State;
use serde::Serialize;

use crate::context::Context;

/// List teams with caps, weights, keys and allotments, or create one.
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

/// List all teams.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct List {}

/// Create a team or change what governs it.
#[derive(FromArgs)]
#[argh(subcommand, name = "add")]
struct Add {
    /// organisation and team, such as utility/checks
    #[argh(positional)]
    name: String,
    /// slots it may have running fleet-wide
    #[argh(option)]
    cap: u64,
    /// weight when all slots are wanted
    #[argh(option, default = "1")]
    weight: u64,
    /// pools its jobs may run in, in order
    #[argh(option)]
    pools: String,
}

#[derive(Serialize)]
struct Line {
    team: String,
    cap: u64,
    weight: u64,
    pools: String,
    keys: usize,
    allotted: u64,
}

pub(super) async fn run(ctx: &Context, args: Args) -> anyhow::Result<()> {
    match args.action {
        Action::List(_) => list(ctx).await,
        Action::Add(args) => add(ctx, args).await,
    }
}

/// Teams are the nodes two levels below `org`.
pub(super) fn teams(state: &State) -> Vec<TeamId> {
    let paths = state.tree.subtree("org").map(|(path, _)| path);
    paths.filter(|it| it.split('/').count() == 3).map(|it| it.as_str().into()).collect()
}

async fn list(ctx: &Context) -> anyhow::Result<()> {
    let state = ctx.state().await?;
    let mut lines = Vec::new();
    for team in teams(&state) {
        let keys = state
            .keys
            .iter()
            .filter(|(_, it)| it.team == team && it.withdrawn.is_none())
            .count();
        lines.push(Line {
            cap: state.cap(&team),
            weight: state.tree.get_number(&team, setting::WEIGHT),
            pools: state.tree.get(&team, setting::POOLS).to_owned(),
            keys,
            allotted: state.ledger.total_held(&team),
            team: team.to_string(),
        });
    }
    ctx.print(&lines, || {
        let mut text = format!("{:<32} {:>6} {:>6} {:>5} {:>8}  pools", "team", "cap", "weight", "keys", "allotted");
        for it in &lines {
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
        ctx.edit(&path, name, Some(&value)).await?;
    }
    Ok(())
}
