//! `oriolectl tree`: reads and edits the settings tree.

use anyhow::Context as _;
use argh::FromArgs;
use ini::Ini;
use oriolewall::record::{Change, Payload};
use oriolewall::tree::Edit;
use serde::Serialize;

use crate::context::Context;

/// Read and edit the settings tree; the path of its root is "/".
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

/// Show the effective value of every setting at a node, and the node that sets it.
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
struct Get {
    /// path of the node
    #[argh(positional)]
    path: String,
}

/// Set a value at a node; the nodes below inherit it unless a lower node overrides it.
#[derive(FromArgs)]
#[argh(subcommand, name = "set")]
struct Set {
    /// path of the node
    #[argh(positional)]
    path: String,
    /// name of the setting
    #[argh(positional)]
    name: String,
    /// new value
    #[argh(positional)]
    value: String,
    /// set the value only if the node still has this version; by default its current version
    #[argh(option)]
    expect: Option<u64>,
}

/// Remove a value from a node, so that the node inherits the setting again.
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

/// Show the effective value of a setting, and the node and the record that set it.
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

/// List the edits that the log still retains, including refused ones.
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
struct History {
    /// only edits of this node
    #[argh(positional)]
    path: Option<String>,
}

/// Print all values that are set in the tree as INI, one section per node.
#[derive(FromArgs)]
#[argh(subcommand, name = "export")]
struct Export {}

/// Set all values of an INI file that has one section per node.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
struct Apply {
    /// path of the INI file, written like the output of `tree export`
    #[argh(positional)]
    file: String,
}

pub(super) async fn run(ctx: &Context, args: Args) -> anyhow::Result<()> {
    match args.action {
        Action::Get(args) => get(ctx, normalize_path(&args.path)).await,
        Action::Set(args) => set(ctx, args).await,
        Action::Unset(args) => ctx.edit_setting(normalize_path(&args.path), &args.name, None).await.map(drop),
        Action::Explain(args) => explain(ctx, normalize_path(&args.path), &args.name).await,
        Action::History(args) => history(ctx, args.path.as_deref().map(normalize_path)).await,
        Action::Export(_) => export(ctx).await,
        Action::Apply(args) => apply(ctx, &args.file).await,
    }
}

/// Removes leading and trailing slashes; the path of the root becomes empty.
fn normalize_path(path: &str) -> &str {
    path.trim_matches('/')
}

/// Effective value of a setting at a node.
#[derive(Serialize)]
struct EffectiveValue {
    name: &'static str,
    value: String,
    /// Path of the node that sets the value; `None` for the built-in default.
    from: Option<String>,
}

async fn get(ctx: &Context, path: &str) -> anyhow::Result<()> {
    let state = ctx.read_state().await?;
    let mut values = Vec::new();
    for setting in oriolewall::setting::ALL {
        let explanation = state.tree.explain(path, setting.name);
        values.push(EffectiveValue {
            name: setting.name,
            value: explanation.text,
            from: explanation.node,
        });
    }
    ctx.print(&values, || {
        let format_line = |it: &EffectiveValue| format!("{:<16} {:<24} {}", it.name, it.value, format_origin(it.from.as_deref()));
        values.iter().map(format_line).collect::<Vec<_>>().join("\n")
    });
    Ok(())
}

/// Describes where a value comes from: a node, or the built-in default.
fn format_origin(node: Option<&str>) -> String {
    match node {
        None => "built-in default".to_owned(),
        Some("") => "from /".to_owned(),
        Some(node) => format!("from {node}"),
    }
}

async fn set(ctx: &Context, args: Set) -> anyhow::Result<()> {
    let path = normalize_path(&args.path);
    let Some(expected) = args.expect else {
        return ctx.edit_setting(path, &args.name, Some(&args.value)).await.map(drop);
    };
    let edit = Edit {
        path: path.to_owned(),
        name: args.name,
        value: Some(args.value),
        expected: Some(expected),
    };
    ctx.apply_change(Change::Edit(edit)).await.map(drop)
}

async fn explain(ctx: &Context, path: &str, name: &str) -> anyhow::Result<()> {
    oriolewall::setting::find(name)?;
    let explanation = ctx.read_state().await?.tree.explain(path, name);
    ctx.print(&explanation, || match (explanation.offset, &explanation.author) {
        (Some(offset), Some(author)) => {
            format!(
                "{name} = {} {}, record {offset} by {author}",
                explanation.text,
                format_origin(explanation.node.as_deref())
            )
        }
        _ => format!("{name} = {} (built-in default)", explanation.text),
    });
    Ok(())
}

/// An edit as recorded in the log, whether it was accepted or refused.
#[derive(Serialize)]
struct RecordedEdit {
    /// Offset of the record.
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
                edits.push(RecordedEdit {
                    offset,
                    author: record.author,
                    edit,
                });
            }
        }
    }
    ctx.print(&edits, || {
        let value = |it: &RecordedEdit| it.edit.value.clone().unwrap_or_else(|| "(unset)".to_owned());
        let format_line = |it: &RecordedEdit| {
            format!(
                "{:>8} {:<16} /{} {} = {}",
                it.offset,
                it.author,
                it.edit.path,
                it.edit.name,
                value(it)
            )
        };
        edits.iter().map(format_line).collect::<Vec<_>>().join("\n")
    });
    Ok(())
}

async fn export(ctx: &Context) -> anyhow::Result<()> {
    let state = ctx.read_state().await?;
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
        let path = normalize_path(section.unwrap_or("/"));
        for (name, value) in properties.iter() {
            // The whole file is checked before the first value is set.
            oriolewall::setting::validate(name, value).with_context(|| format!("{file}: [{path}]"))?;
            edits.push((path.to_owned(), name.to_owned(), value.to_owned()));
        }
    }
    for (path, name, value) in edits {
        ctx.edit_setting(&path, &name, Some(&value)).await?;
    }
    Ok(())
}
