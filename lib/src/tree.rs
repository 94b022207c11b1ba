//! Settings tree with inheritance: a value applies to its node and everything
//! below it unless a lower node overrides it.
//!
//! Every value keeps the record that set it. Edits may require that the node has
//! not changed since its version was read.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::id::Offset;
use crate::setting;

/// Path of a node: names joined by `/`; the root's path is empty.
pub type Path = String;

/// All nodes that have been edited.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tree {
    nodes: BTreeMap<Path, Node>,
}

/// The settings of one node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    /// Offset of the node's last edit, with which concurrent edits are detected.
    pub version: Offset,
    /// The node's own values by setting name.
    pub values: BTreeMap<String, Value>,
}

/// A setting's value and the record that set it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Value {
    /// The value as the operator wrote it.
    pub text: String,
    /// Offset of the record that set it.
    pub offset: Offset,
    /// Author of that record.
    pub author: String,
}

/// The effective value of a setting and where it comes from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// The effective value.
    pub text: String,
    /// Node that sets it; `None` for the built-in default.
    pub node: Option<Path>,
    /// Offset of the record that set it; `None` for the built-in default.
    pub offset: Option<Offset>,
    /// Author of that record; `None` for the built-in default.
    pub author: Option<String>,
}

/// Why an edit was refused.
#[derive(Clone, Debug, Error, PartialEq, Eq, Serialize, Deserialize)]
pub enum Error {
    /// The path contains an empty or malformed name.
    #[error("malformed path {path:?}: names of letters, digits, '-', '_' and '.', joined by '/'")]
    Path {
        /// The path that was given.
        path: Path,
    },
    /// The setting is unknown or does not accept the value.
    #[error("{message}")]
    Setting {
        /// Text of the [`setting::Error`].
        message: String,
    },
    /// The node has changed since the author had read its version.
    #[error("conflict at {path:?}: expected version {expected}, found {found}; {name} is now {current:?}, you wrote {wanted:?}")]
    Conflict {
        /// Path of the node.
        path: Path,
        /// Version that the author had read.
        expected: Offset,
        /// Current version.
        found: Offset,
        /// Name of the setting.
        name: String,
        /// The node's own value, if any.
        current: Option<String>,
        /// Value of the refused edit; `None` if it was to remove the setting.
        wanted: Option<String>,
    },
}

/// An edit of one setting at one node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit {
    /// Path of the node.
    pub path: Path,
    /// Name of the setting.
    pub name: String,
    /// New value; `None` removes the setting from the node.
    pub value: Option<String>,
    /// Version that the node must have; `None` accepts any.
    pub expected: Option<Offset>,
}

impl Tree {
    /// Validates and applies an edit, and sets the node's version to `offset`.
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

    /// Checks the edit's path, setting, value and expected version.
    fn check(&self, edit: &Edit) -> Result<(), Error> {
        if !is_valid_path(&edit.path) {
            return Err(Error::Path { path: edit.path.clone() });
        }
        let validated = match &edit.value {
            Some(value) => setting::validate(&edit.name, value),
            None => setting::find(&edit.name).map(drop),
        };
        validated.map_err(|err| Error::Setting { message: err.to_string() })?;
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

    /// The effective value at a path: that of the nearest node on the path that
    /// sets it, else the built-in default.
    pub fn get(&self, path: &str, name: &str) -> &str {
        let default = || setting::find(name).map_or("", |it| it.default);
        let node = self.nearest_node(path, name);
        let value = node.and_then(|it| self.own_value(it, name));
        value.map_or_else(default, |it| &it.text)
    }

    /// The effective value as a number; zero if it is not one.
    pub fn get_number(&self, path: &str, name: &str) -> u64 {
        self.get(path, name).parse().unwrap_or(0)
    }

    /// The effective value, with the node and the record it comes from.
    pub fn explain(&self, path: &str, name: &str) -> Explanation {
        let text = self.get(path, name).to_owned();
        let node = self.nearest_node(path, name);
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

    /// The node at a path and all nodes below it.
    pub fn subtree<'a>(&'a self, path: &'a str) -> impl Iterator<Item = (&'a Path, &'a Node)> {
        self.nodes.iter().filter(move |(it, _)| is_in_subtree(it, path))
    }

    /// The lowest node on the path that sets the value.
    fn nearest_node<'path>(&self, path: &'path str, name: &str) -> Option<&'path str> {
        let mut current = path;
        loop {
            if self.own_value(current, name).is_some() {
                return Some(current);
            }
            if current.is_empty() {
                return None;
            }
            current = parent(current);
        }
    }
}

/// Path of the parent node; the root is its own parent.
pub fn parent(path: &str) -> &str {
    path.rsplit_once('/').map_or("", |(above, _)| above)
}

/// Whether `path` is `ancestor` or below it.
fn is_in_subtree(path: &str, ancestor: &str) -> bool {
    if ancestor.is_empty() {
        return true;
    }
    path.strip_prefix(ancestor)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

fn is_valid_path(path: &str) -> bool {
    path.is_empty() || path.split('/').all(setting::is_valid_name)
}
