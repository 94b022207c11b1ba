//! `oriolectl drain`.

use argh::FromArgs;
use oriolewall::fleet::Purpose;
use oriolewall::record::Change;

use crate::context::Context;

/// Drain an instance within its pool's availability budget.
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

/// Ask for a permit; the instance gets no new work from then on.
#[derive(FromArgs)]
#[argh(subcommand, name = "start")]
struct Start {
    /// name of the instance
    #[argh(positional)]
    id: String,
    /// reboot it once it is drained and bring it back
    #[argh(switch)]
    maintain: bool,
}

/// End a drain; the instance serves again.
#[derive(FromArgs)]
#[argh(subcommand, name = "end")]
struct End {
    /// name of the instance
    #[argh(positional)]
    id: String,
}

/// Give a drain up; a move does not take place.
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
    ctx.change(change).await.map(drop)
}
