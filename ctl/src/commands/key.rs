//! `oriolectl key`: grants, withdraws and lists callers' keys.

use argh::FromArgs;
use oriolewall::key;
use oriolewall::record::Change;
use oriolewall::wire::Hold;
use rand::RngExt;
use serde::Serialize;

use crate::context::{Context, ensure_exists};

/// Grant, withdraw and list callers' keys. Only hashes of their secrets are stored.
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

/// Grant a new key to a team and print it; it cannot be printed again.
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
    /// id of the key: the part before the dot
    #[argh(positional)]
    id: String,
}

/// List the ids of all keys with their teams, including withdrawn keys.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct List {}

/// A key as listed.
#[derive(Serialize)]
struct ListedKey {
    id: String,
    team: String,
    /// Offset of the record that withdrew the key; `None` while it is valid.
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
    let state = ctx.read_state().await?;
    ensure_exists(
        super::team::team_ids(&state).iter().any(|it| **it == *path),
        &format!("team {team}"),
        "create it with `oriolectl team add`",
    )?;
    let mut secret = [0u8; 24];
    rand::rng().fill(&mut secret);
    let secret: String = secret.iter().map(|it| format!("{it:02x}")).collect();
    let id = uuid::Uuid::now_v7().simple().to_string();
    // Part of the timestamp and some random bits of the UUID. The state refuses an id that was
    // granted before.
    let id = format!("k{}", &id[8..20]);
    ctx.apply_change(Change::KeyGrant {
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
    let exists = ctx.read_state().await?.keys.iter().any(|(it, _)| **it == *id);
    ensure_exists(exists, &format!("key {id}"), "list ids with `oriolectl key list`")?;
    // Entries stop starting jobs with this key at once, even if the append fails. The hold ends
    // when they have applied the record, or after a limited time if there is none.
    let notified = ctx.operator.send_hold(&Hold::Key(id.into())).await;
    eprintln!("{notified} of {} entries notified directly", ctx.operator.entries().len());
    ctx.apply_change(Change::KeyWithdraw { id: id.into() }).await.map(drop)
}

async fn list(ctx: &Context) -> anyhow::Result<()> {
    let state = ctx.read_state().await?;
    let listed_key = |(id, grant): (&oriolewall::id::KeyId, &key::Grant)| ListedKey {
        id: id.to_string(),
        team: grant.team.to_string(),
        withdrawn: grant.withdrawn,
    };
    let listed_keys: Vec<ListedKey> = state.keys.iter().map(listed_key).collect();
    ctx.print(&listed_keys, || {
        let validity = |it: &ListedKey| {
            it.withdrawn
                .map_or_else(|| "in force".to_owned(), |offset| format!("withdrawn by record {offset}"))
        };
        listed_keys
            .iter()
            .map(|it| format!("{:<24} {:<32} {}", it.id, it.team, validity(it)))
            .collect::<Vec<_>>()
            .join("\n")
    });
    Ok(())
}
