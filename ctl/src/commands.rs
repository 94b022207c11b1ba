//! The subcommands, one module each.
//!
//! Each module defines the arguments of its subcommand, whose doc comments are the help
//! texts, and a function `run` that executes it.

mod drain;
mod instance;
mod job;
mod key;
mod pool;
mod status;
mod team;
mod timeline;
mod tree;
mod wave;
mod zone;

use argh::FromArgs;

use crate::context::Context;

/// The subcommand with its arguments.
#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Tree(tree::Args),
    Team(team::Args),
    Key(key::Args),
    Pool(pool::Args),
    Instance(instance::Args),
    Zone(zone::Args),
    Drain(drain::Args),
    Wave(wave::Args),
    Job(job::Args),
    Status(status::Args),
    Timeline(timeline::Args),
}

impl Command {
    pub(crate) async fn run(self, ctx: &Context) -> anyhow::Result<()> {
        match self {
            Command::Tree(args) => tree::run(ctx, args).await,
            Command::Team(args) => team::run(ctx, args).await,
            Command::Key(args) => key::run(ctx, args).await,
            Command::Pool(args) => pool::run(ctx, args).await,
            Command::Instance(args) => instance::run(ctx, args).await,
            Command::Zone(args) => zone::run(ctx, args).await,
            Command::Drain(args) => drain::run(ctx, args).await,
            Command::Wave(args) => wave::run(ctx, args).await,
            Command::Job(args) => job::run(ctx, args).await,
            Command::Status(args) => status::run(ctx, args).await,
            Command::Timeline(args) => timeline::run(ctx, args).await,
        }
    }
}
