//! Withdrawal of orders that were decided and wait to be sent.
//!
//! An order to a worker may wait for a connection while others to the same worker have no answer.
//! What it was decided on may end meanwhile: its job is cancelled, its run is given up, or the owner
//! begins a new contact with the worker, after which calls of the earlier one count as void. The
//! owner keeps a [`Guard`] as long as the order holds, and whoever sends it asks the [`Watch`] last.

use std::sync::{Arc, Weak};

/// Keeps orders valid. They are withdrawn when it is dropped, with all its clones.
#[derive(Clone, Debug, Default)]
pub struct Guard(Arc<()>);

/// Tells whether an order was withdrawn.
#[derive(Clone, Debug)]
pub struct Watch(Weak<()>);

impl Guard {
    /// Returns the watch of an order that this guard keeps valid.
    pub fn watch(&self) -> Watch {
        Watch(Arc::downgrade(&self.0))
    }
}

impl Watch {
    /// Whether the order must not be sent any more.
    pub fn is_withdrawn(&self) -> bool {
        self.0.strong_count() == 0
    }
}
