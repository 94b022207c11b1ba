//! `oriolectl tree`.

use anyhow::Context as _;
use argh::FromArgs;
use ini::Ini;
use oriolewall::record::{Change, Payload};
use oriolewall::tree::Edit;
use serde::Serialize;

use crate::context::Context;

/// Read and write the tree of settings; the root's path is "/".
///
/// Example: oriolectl --config client.ini tree explain org/utility/checks cap
#[derive(FromArgs)]
#[argh(subcommand, name = "tree")]
pub(crate) struct Args {
    #[argh(subcommand)]
    action: Action,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Action {
    Get(Get),
    Set(Set),
    Unset(Unset),
    Explain(Explain),
    History(History),
    Export(Export),
    Apply(Apply),
}

/// Show the settings in force at a node.
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
struct Get {
    /// path of the node
    #[argh(positional)]
    path: String,
}

/// Set a value at a node; it holds below unless a lower node overrides it.
#[derive(FromArgs)]
#[argh(subcommand, name = "set")]
struct Set {
    /// path of the node
    #[argh(positional)]
    path: String,
    /// name of the setting
    #[argh(positional)]
    name: String,
    /// the value
    #[argh(positional)]
    value: String,
    /// version that the node must still have; by default the one read now
    #[argh(option)]
    expect: Option<u64>,
}

/// Remove a value from a node, so that it inherits again.
#[derive(FromArgs)]
#[argh(subcommand, name = "unset")]
struct Unset {
    /// path of the node
    #[argh(positional)]
    path: String,
    /// name of the setting
    #[argh(positional)]
    name: String,
}

/// Name the node and the record that a value comes from.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
struct Explain {
    /// path of the node
    #[argh(positional)]
    path: String,
    /// name of the setting
    #[argh(positional)]
    name: String,
}

/// List the edits that the log still keeps.
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
struct History {
    /// only this node
    #[argh(positional)]
    path: Option<String>,
}

/// Print all settings as INI, one section per node.
#[derive(FromArgs)]
#[argh(subcommand, name = "export")]
struct Export {}

/// Write all settings of an INI file, one section per node.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
struct Apply {
    /// the file
    #[argh(positional)]
    file: String,
}

pub(super) async fn run(ctx: &Context, args: Args) -> anyhow::Result<()> {
    match args.action {
        Action::Get(args) => get(ctx, normal(&args.path)).await,
        Action::Set(args) => set(ctx, args).await,
        Action::Unset(args) => ctx.edit(normal(&args.path), &args.name, None).await.map(drop),
        Action::Explain(args) => explain(ctx, normal(&args.path), &args.name).await,
        Action::History(args) => history(ctx, args.path.as_deref().map(normal)).await,
        Action::Export(_) => export(ctx).await,
        Action::Apply(args) => apply(ctx, &args.file).await,
    }
}

/// Removes the slashes around a path; the root becomes empty.
fn normal(path: &str) -> &str {
    path.trim_matches('/')
}

#[derive(Serialize)]
struct Line {
    name: &'static str,
    value: String,
    from: Option<String>,
}

async fn get(ctx: &Context, path: &str) -> anyhow::Result<()> {
    let state = ctx.state().await?;
    let mut lines = Vec::new();
    for setting in oriolewall::setting::ALL {
        let found = state.tree.explain(path, setting.name);
        lines.push(Line {
            name: setting.name,
            value: found.text,
            from: found.node,
        });
    }
    ctx.print(&lines, || {
        let text = |it: &Line| format!("{:<16} {:<24} {}", it.name, it.value, origin(it.from.as_deref()));
        lines.iter().map(text).collect::<Vec<_>>().join("\n")
    });
    Ok(())
}

fn origin(node: Option<&str>) -> String {
    match node {
        None => "built-in default".to_owned(),
        Some("") => "from /".to_owned(),
        Some(node) => format!("from {node}"),
    }
}

async fn set(ctx: &Context, args: Set) -> anyhow::Result<()> {
    let path = normal(&args.path);
    let Some(expected) = args.expect else {
        return ctx.edit(path, &args.name, Some(&args.value)).await.map(drop);
    };
    let edit = Edit {
        path: path.to_owned(),
        name: args.name,
        value: Some(args.value),
        expected: Some(expected),
    };
    ctx.change(Change::Edit(edit)).await.map(drop)
}

async fn explain(ctx: &Context, path: &str, name: &str) -> anyhow::Result<()> {
    oriolewall::setting::find(name)?;
    let found = ctx.state().await?.tree.explain(path, name);
    ctx.print(&found, || match (found.offset, &found.author) {
        (Some(offset), Some(author)) => {
            format!(
                "{name} = {} {}, record {offset} by {author}",
                found.text,
                origin(found.node.as_deref())
            )
        }
        _ => format!("{name} = {} (built-in default)", found.text),
    });
    Ok(())
}

#[derive(Serialize)]
struct Past {
    offset: u64,
    author: String,
    edit: Edit,
}

async fn history(ctx: &Context, path: Option<&str>) -> anyhow::Result<()> {
    let mut edits = Vec::new();
    for (offset, payload) in ctx.operator.read_history().await? {
        let Payload::Records(records) = payload else {
            continue;
        };
        for record in records {
            if let Change::Edit(edit) = record.change
                && path.is_none_or(|it| it == edit.path)
            {
                edits.push(Past {
                    offset,
                    author: record.author,
                    edit,
                });
            }
        }
    }
    ctx.print(&edits, || {
        let value = |it: &Past| it.edit.value.clone().unwrap_or_else(|| "(unset)".to_owned());
        let text = |it: &Past| {
            format!(
                "{:>8} {:<16} /{} {} = {}",
                it.offset,
                it.author,
                it.edit.path,
                it.edit.name,
                value(it)
            )
        };
        edits.iter().map(text).collect::<Vec<_>>().join("\n")
    });
    Ok(())
}

async fn export(ctx: &Context) -> anyhow::Result<()> {
    let state = ctx.state().await?;
    let mut ini = Ini::new();
    for (path, node) in state.tree.nodes() {
        for (name, value) in &node.values {
            ini.with_section(Some(format!("/{path}"))).set(name, &value.text);
        }
    }
    let mut text = Vec::new();
    ini.write_to(&mut text)?;
    let text = String::from_utf8(text)?;
    ctx.print(&text, || text.clone());
    Ok(())
}

async fn apply(ctx: &Context, file: &str) -> anyhow::Result<()> {
    let ini = Ini::load_from_file(file).with_context(|| format!("cannot read {file}"))?;
    let mut edits = Vec::new();
    for (section, properties) in ini.iter() {
        let path = normal(section.unwrap_or("/"));
        for (name, value) in properties.iter() {
            // The whole file is checked before anything is written.
            oriolewall::setting::validate(name, value).with_context(|| format!("{file}: [{path}]"))?;
            edits.push((path.to_owned(), name.to_owned(), value.to_owned()));
        }
    }
    for (path, name, value) in edits {
        ctx.edit(&path, &name, Some(&value)).await?;
    }
    Ok(())
}
