//! Orders to instances that a fleet coordinator gave recently, as its successor has to know
//! them.
//!
//! Load pattern: the coordinator changes twice within seconds while the demand of the pools
//! turns. Orders of successive coordinators to one instance have to be a minimum time apart,
//! so a successor waits before it orders an instance of the record. The record holds how
//! long: without that each change of the coordinator started the wait for all of them anew,
//! and no instance moved for up to seven seconds.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Name of an instance.
type InstanceName = Arc<str>;

/// Waits until the next coordinator may order an instance, and this one may.
#[derive(Clone, Debug)]
pub struct OrderHistory {
    /// Time from the record of an order until a successor need not wait for it any more: the
    /// wait, and the time until the order has taken effect.
    retention: Duration,
    /// Instances that earlier coordinators may have ordered, with the time from which this
    /// one may do so.
    predecessor_orders: HashMap<InstanceName, Duration>,
    /// When this coordinator last recorded an order, by instance.
    own_orders: HashMap<InstanceName, Duration>,
}

impl OrderHistory {
    /// Creates the history of a coordinator that has just fenced its predecessor, from the
    /// predecessor's record. `None` stands for a predecessor without one.
    pub fn restore(now: Duration, handover_wait: Duration, order_time: Duration, record: Option<&[u8]>) -> OrderHistory {
        let waits: Vec<(InstanceName, u64)> = record.map(|it| decode(it, handover_wait)).unwrap_or_default();
        // The record was written before `now`, so counting its waits from `now` is safe.
        let until = |wait_ms| now + Duration::from_millis(wait_ms).min(handover_wait);
        OrderHistory {
            retention: handover_wait + order_time,
            predecessor_orders: waits.into_iter().map(|(name, wait_ms)| (name, until(wait_ms))).collect(),
            own_orders: HashMap::new(),
        }
    }

    /// Returns whether orders of earlier coordinators to an instance are long enough ago.
    pub fn may_order(&self, now: Duration, name: &str) -> bool {
        self.predecessor_orders.get(name).is_none_or(|until| *until < now)
    }

    /// Adds orders that are about to be given, and returns the record that has to be in the
    /// log before.
    pub fn record(&mut self, now: Duration, names: &[InstanceName]) -> Vec<u8> {
        let retention = self.retention;
        self.own_orders.retain(|_, at| now < *at + retention);
        self.predecessor_orders.retain(|_, until| now < *until);
        self.own_orders.extend(names.iter().map(|it| (it.clone(), now)));
        let own = self.own_orders.iter().map(|(name, at)| (name, *at + retention - now));
        let inherited = self.predecessor_orders.iter().map(|(name, until)| (name, *until - now));
        let mut waits: HashMap<&InstanceName, u64> = HashMap::new();
        for (name, wait) in inherited.chain(own) {
            let wait_ms = wait.as_millis() as u64 + 1;
            waits.entry(name).and_modify(|it| *it = wait_ms.max(*it)).or_insert(wait_ms);
        }
        let rows: Vec<(&InstanceName, u64)> = waits.into_iter().collect();
        rmp_serde::to_vec(&rows).expect("names can be encoded")
    }
}

/// Decodes a record of waits. One that earlier versions wrote holds only names.
fn decode(record: &[u8], handover_wait: Duration) -> Vec<(InstanceName, u64)> {
    if let Ok(waits) = rmp_serde::from_slice(record) {
        return waits;
    }
    let names: Vec<InstanceName> = rmp_serde::from_slice(record).unwrap_or_default();
    let full_wait = handover_wait.as_millis() as u64;
    names.into_iter().map(|it| (it, full_wait)).collect()
}
