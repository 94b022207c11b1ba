//! The cases. Each returns what it saw of its rule being broken.

mod divided_ceiling;
mod foreign_cancel;
mod foreign_entry;
mod gang_spread;
mod heavy_bodies;
mod large_bodies;
mod lasting_gang;
mod pending_after_move;
mod removed_route;
mod silent_store;
mod unasked_runners;

use std::sync::Arc;

use crate::record::Record;

pub type Case = fn(Arc<Record>, bool) -> Vec<String>;

pub fn find(name: &str) -> Option<Case> {
    Some(match name {
        "heavy-bodies" => heavy_bodies::run,
        "large-bodies" => large_bodies::run,
        "divided-ceiling" => divided_ceiling::run,
        "unasked-runners" => unasked_runners::run,
        "lasting-gang" => lasting_gang::run,
        "gang-spread" => gang_spread::run,
        "silent-store" => silent_store::run,
        "foreign-entry" => foreign_entry::run,
        "foreign-cancel" => foreign_cancel::run,
        "removed-route" => removed_route::run,
        "pending-after-move" => pending_after_move::run,
        _ => return None,
    })
}
