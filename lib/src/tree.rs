//! The tree of settings: a value holds below its node unless a lower node overrides it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::id::Offset;
use crate::setting;

/// Path of a node: names joined by `/`; the root is empty.
pub type Path = String;

/// All nodes that carry settings.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tree {
    nodes: BTreeMap<Path, Node>,
}

/// The settings of one node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    /// Offset of the last change; the precondition of racing edits.
    pub version: Offset,
    /// Settings by name.
    pub values: BTreeMap<String, Value>,
}

/// A value and the record it came from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Value {
    /// The value as written.
    pub text: String,
    /// Offset of the record that set it.
    pub offset: Offset,
    /// Who wrote that record.
    pub author: String,
}

/// A resolved value together with where it comes from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// The value in force.
    pub text: String,
    /// Node that carries it; `None` for the built-in default.
    pub node: Option<Path>,
    /// Offset of the record that set it.
    pub offset: Option<Offset>,
    /// Who wrote that record.
    pub author: Option<String>,
}

/// Why an edit was refused.
#[derive(Clone, Debug, Error, PartialEq, Eq, Serialize, Deserialize)]
pub enum Error {
    /// The path holds an empty or malformed name.
    #[error("malformed path {path:?}: names of letters, digits, '-', '_' and '.', joined by '/'")]
    Path {
        /// The path that was given.
        path: Path,
    },
    /// The value or the setting's name was refused.
    #[error("{message}")]
    Setting {
        /// What is wrong with it.
        message: String,
    },
    /// Another operator changed the node first.
    #[error("conflict at {path:?}: expected version {expected}, found {found}; {name} is now {current:?}, you wrote {wanted:?}")]
    Conflict {
        /// Path of the node.
        path: Path,
        /// Version the author had read.
        expected: Offset,
        /// Version in force.
        found: Offset,
        /// Name of the setting.
        name: String,
        /// Value in force at the node, if any.
        current: Option<String>,
        /// Value that was refused.
        wanted: Option<String>,
    },
}

/// One edit of one setting at one node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit {
    /// Path of the node.
    pub path: Path,
    /// Name of the setting.
    pub name: String,
    /// New value, or `None` to remove it.
    pub value: Option<String>,
    /// Version that the node must still have; `None` accepts any.
    pub expected: Option<Offset>,
}

impl Tree {
    /// Applies one edit.
    pub fn edit(&mut self, offset: Offset, author: &str, edit: &Edit) -> Result<(), Error> {
        self.check(edit)?;
        let node = self.nodes.entry(edit.path.clone()).or_default();
        node.version = offset;
        match &edit.value {
            Some(text) => {
                let value = Value {
                    text: text.clone(),
                    offset,
                    author: author.to_owned(),
                };
                node.values.insert(edit.name.clone(), value);
            }
            None => {
                node.values.remove(&edit.name);
            }
        }
        Ok(())
    }

    fn check(&self, edit: &Edit) -> Result<(), Error> {
        if !is_path(&edit.path) {
            return Err(Error::Path { path: edit.path.clone() });
        }
        let checked = match &edit.value {
            Some(value) => setting::validate(&edit.name, value),
            None => setting::find(&edit.name).map(drop),
        };
        checked.map_err(|err| Error::Setting { message: err.to_string() })?;
        let found = self.version(&edit.path);
        let Some(expected) = edit.expected else {
            return Ok(());
        };
        if expected == found {
            return Ok(());
        }
        Err(Error::Conflict {
            path: edit.path.clone(),
            expected,
            found,
            name: edit.name.clone(),
            current: self.own_value(&edit.path, &edit.name).map(|it| it.text.clone()),
            wanted: edit.value.clone(),
        })
    }

    /// Version of a node; zero if it was never edited.
    pub fn version(&self, path: &str) -> Offset {
        self.nodes.get(path).map_or(0, |it| it.version)
    }

    /// The node's own value, without inheritance.
    pub fn own_value(&self, path: &str, name: &str) -> Option<&Value> {
        self.nodes.get(path)?.values.get(name)
    }

    /// The value in force at a path, nearest node first.
    pub fn get(&self, path: &str, name: &str) -> &str {
        let default = || setting::find(name).map_or("", |it| it.default);
        let node = self.nearest(path, name);
        let value = node.and_then(|it| self.own_value(it, name));
        value.map_or_else(default, |it| &it.text)
    }

    /// The value in force as a number; zero if it is none.
    pub fn get_number(&self, path: &str, name: &str) -> u64 {
        self.get(path, name).parse().unwrap_or(0)
    }

    /// The value in force and the node and record it comes from.
    pub fn explain(&self, path: &str, name: &str) -> Explanation {
        let text = self.get(path, name).to_owned();
        let node = self.nearest(path, name);
        let value = node.and_then(|it| self.own_value(it, name));
        Explanation {
            text,
            node: node.map(str::to_owned),
            offset: value.map(|it| it.offset),
            author: value.map(|it| it.author.clone()),
        }
    }

    /// All nodes in path order.
    pub fn nodes(&self) -> impl Iterator<Item = (&Path, &Node)> {
        self.nodes.iter()
    }

    /// Nodes directly or indirectly below a path that carry settings.
    pub fn subtree<'a>(&'a self, path: &'a str) -> impl Iterator<Item = (&'a Path, &'a Node)> {
        self.nodes.iter().filter(move |(it, _)| is_below(it, path))
    }

    /// The nearest node on the path that carries the setting.
    fn nearest<'path>(&self, path: &'path str, name: &str) -> Option<&'path str> {
        let mut at = path;
        loop {
            if self.own_value(at, name).is_some() {
                return Some(at);
            }
            if at.is_empty() {
                return None;
            }
            at = parent(at);
        }
    }
}

/// Path of the node above; the root is its own parent.
pub fn parent(path: &str) -> &str {
    path.rsplit_once('/').map_or("", |(above, _)| above)
}

fn is_below(path: &str, above: &str) -> bool {
    if above.is_empty() {
        return true;
    }
    path.strip_prefix(above)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

fn is_path(path: &str) -> bool {
    path.is_empty() || path.split('/').all(setting::is_valid_name)
}
