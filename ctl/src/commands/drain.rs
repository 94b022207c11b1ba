//! `oriolectl drain`: starts, completes and cancels the drain of an instance.

use argh::FromArgs;
use oriolewall::fleet::Purpose;
use oriolewall::record::Change;

use crate::context::Context;

/// Start, complete or cancel the drain of an instance, within its pool's availability budget.
///
/// Example: oriolectl --config client.ini drain start za-w1 --maintain
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub(crate) struct Args {
    #[argh(subcommand)]
    action: Action,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Action {
    Start(Start),
    End(End),
    Abandon(Abandon),
}

/// Request a permit to disrupt an instance; once it is granted, no new tasks start there.
#[derive(FromArgs)]
#[argh(subcommand, name = "start")]
struct Start {
    /// name of the instance
    #[argh(positional)]
    id: String,
    /// reboot the instance once it is drained and return it to service
    #[argh(switch)]
    maintain: bool,
}

/// Complete a drain and return the instance to service; a move takes effect.
#[derive(FromArgs)]
#[argh(subcommand, name = "end")]
struct End {
    /// name of the instance
    #[argh(positional)]
    id: String,
}

/// Cancel a drain and return the instance to service; a move does not take effect.
#[derive(FromArgs)]
#[argh(subcommand, name = "abandon")]
struct Abandon {
    /// name of the instance
    #[argh(positional)]
    id: String,
}

pub(super) async fn run(ctx: &Context, args: Args) -> anyhow::Result<()> {
    let change = match args.action {
        Action::Start(args) => {
            let epoch = super::instance::find(ctx, &args.id).await?.epoch;
            let purpose = if args.maintain { Purpose::Maintain } else { Purpose::Hold };
            Change::Permit {
                id: args.id.as_str().into(),
                epoch,
                purpose,
            }
        }
        Action::End(args) => Change::Release {
            id: args.id.as_str().into(),
        },
        Action::Abandon(args) => Change::Abandon {
            id: args.id.as_str().into(),
        },
    };
    ctx.apply_change(change).await.map(drop)
}
