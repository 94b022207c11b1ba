//! `oriolectl key`.

use argh::FromArgs;
use oriolewall::key;
use oriolewall::record::Change;
use oriolewall::wire::Hold;
use rand::RngExt;
use serde::Serialize;

use crate::context::{Context, require};

/// Grant, withdraw and list callers' keys; only their hashes are kept.
///
/// Example: oriolectl --config client.ini key grant utility/checks
#[derive(FromArgs)]
#[argh(subcommand, name = "key")]
pub(crate) struct Args {
    #[argh(subcommand)]
    action: Action,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Action {
    Grant(Grant),
    Withdraw(Withdraw),
    List(List),
}

/// Grant a new key to a team and print it once.
#[derive(FromArgs)]
#[argh(subcommand, name = "grant")]
struct Grant {
    /// organisation and team, such as utility/checks
    #[argh(positional)]
    team: String,
}

/// Withdraw a key; it stops working within seconds.
#[derive(FromArgs)]
#[argh(subcommand, name = "withdraw")]
struct Withdraw {
    /// id of the key, the part before the dot
    #[argh(positional)]
    id: String,
}

/// List key ids with their teams.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct List {}

#[derive(Serialize)]
struct Line {
    id: String,
    team: String,
    withdrawn: Option<u64>,
}

pub(super) async fn run(ctx: &Context, args: Args) -> anyhow::Result<()> {
    match args.action {
        Action::Grant(args) => grant(ctx, &args.team).await,
        Action::Withdraw(args) => withdraw(ctx, &args.id).await,
        Action::List(_) => list(ctx).await,
    }
}

async fn grant(ctx: &Context, team: &str) -> anyhow::Result<()> {
    let path = format!("org/{team}");
    let state = ctx.state().await?;
    require(
        super::team::teams(&state).iter().any(|it| **it == *path),
        &format!("team {team}"),
        "create it with `oriolectl team add`",
    )?;
    let mut secret = [0u8; 24];
    rand::rng().fill(&mut secret);
    let secret: String = secret.iter().map(|it| format!("{it:02x}")).collect();
    let id = uuid::Uuid::now_v7().simple().to_string();
    let id = format!("k{}", &id[8..20]);
    ctx.change(Change::KeyGrant {
        id: id.as_str().into(),
        team: path.as_str().into(),
        hash: key::hash_secret(&secret),
    })
    .await?;
    #[derive(Serialize)]
    struct Granted {
        key: String,
    }
    let granted = Granted {
        key: format!("{id}.{secret}"),
    };
    ctx.print(&granted, || {
        format!("key: {}\nIt is shown once; send it in the x-oriole-key header.", granted.key)
    });
    Ok(())
}

async fn withdraw(ctx: &Context, id: &str) -> anyhow::Result<()> {
    let known = ctx.state().await?.keys.iter().any(|(it, _)| **it == *id);
    require(known, &format!("key {id}"), "list ids with `oriolectl key list`")?;
    // Entries stop at once, whatever becomes of the append.
    let told = ctx.operator.send_hold(&Hold::Key(id.into())).await;
    eprintln!("{told} of {} entries told directly", ctx.operator.entries().len());
    ctx.change(Change::KeyWithdraw { id: id.into() }).await.map(drop)
}

async fn list(ctx: &Context) -> anyhow::Result<()> {
    let state = ctx.state().await?;
    let line = |(id, grant): (&oriolewall::id::KeyId, &key::Grant)| Line {
        id: id.to_string(),
        team: grant.team.to_string(),
        withdrawn: grant.withdrawn,
    };
    let lines: Vec<Line> = state.keys.iter().map(line).collect();
    ctx.print(&lines, || {
        let fate = |it: &Line| {
            it.withdrawn
                .map_or_else(|| "in force".to_owned(), |offset| format!("withdrawn by record {offset}"))
        };
        lines
            .iter()
            .map(|it| format!("{:<24} {:<32} {}", it.id, it.team, fate(it)))
            .collect::<Vec<_>>()
            .join("\n")
    });
    Ok(())
}
