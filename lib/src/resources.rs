//! Amounts of CPU, memory and accelerators.
//!
//! One type serves for what a task requests, what a worker offers and what a
//! team may use, so that they can be compared and added up.

use std::ops::{AddAssign, SubAssign};

use serde::{Deserialize, Serialize};

/// An amount of each resource.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Resources {
    /// CPU, millicores.
    pub cpu: u64,
    /// Memory, MiB.
    pub mem: u64,
    /// Number of accelerators.
    pub gpu: u64,
}

impl Resources {
    /// More than any worker has. Sums over all workers stay far below the range of the fields.
    pub const WORKER_LIMIT: Resources = Resources {
        cpu: 1_000_000_000,
        mem: 1_000_000_000,
        gpu: 1_000_000,
    };

    /// Whether this amount and `used` together stay within `capacity` in each dimension.
    pub fn fits(&self, used: &Resources, capacity: &Resources) -> bool {
        let fits = |need: u64, used: u64, capacity: u64| used.checked_add(need).is_some_and(|it| it <= capacity);
        fits(self.cpu, used.cpu, capacity.cpu) && fits(self.mem, used.mem, capacity.mem) && fits(self.gpu, used.gpu, capacity.gpu)
    }

    /// Whether this amount is at least `other` in each dimension.
    pub fn contains(&self, other: &Resources) -> bool {
        other.cpu <= self.cpu && other.mem <= self.mem && other.gpu <= self.gpu
    }

    /// Multiplies each dimension by `count`, up to the largest number.
    pub fn times(&self, count: u64) -> Resources {
        Resources {
            cpu: self.cpu.saturating_mul(count),
            mem: self.mem.saturating_mul(count),
            gpu: self.gpu.saturating_mul(count),
        }
    }

    /// Whether this cap is lower than another one in any dimension. Zero means no limit.
    pub fn is_below(&self, other: &Resources) -> bool {
        let is_below = |cap: u64, other: u64| cap != 0 && (other == 0 || cap < other);
        is_below(self.cpu, other.cpu) || is_below(self.mem, other.mem) || is_below(self.gpu, other.gpu)
    }

    /// How many times an amount fits into this one.
    pub fn count_of(&self, need: &Resources) -> u64 {
        let count = |room: u64, need: u64| room.checked_div(need).unwrap_or(u64::MAX);
        let smallest = count(self.cpu, need.cpu).min(count(self.mem, need.mem));
        smallest.min(count(self.gpu, need.gpu))
    }

    /// Divides each dimension by `divisor`, which is not zero.
    pub fn divided_by(&self, divisor: u64) -> Resources {
        Resources {
            cpu: self.cpu / divisor,
            mem: self.mem / divisor,
            gpu: self.gpu / divisor,
        }
    }

    /// Returns the larger amount in each dimension.
    pub fn max(&self, other: &Resources) -> Resources {
        Resources {
            cpu: self.cpu.max(other.cpu),
            mem: self.mem.max(other.mem),
            gpu: self.gpu.max(other.gpu),
        }
    }

    /// Returns the smaller amount in each dimension.
    pub fn min(&self, other: &Resources) -> Resources {
        Resources {
            cpu: self.cpu.min(other.cpu),
            mem: self.mem.min(other.mem),
            gpu: self.gpu.min(other.gpu),
        }
    }

    /// Subtracts `used` in each dimension, stopping at zero.
    pub fn remaining_after(&self, used: &Resources) -> Resources {
        Resources {
            cpu: self.cpu.saturating_sub(used.cpu),
            mem: self.mem.saturating_sub(used.mem),
            gpu: self.gpu.saturating_sub(used.gpu),
        }
    }

    /// Returns the dominant share: the largest fraction of `capacity` that this amount takes in
    /// any dimension. A dimension without capacity counts as zero.
    pub fn dominant_share(&self, capacity: &Resources) -> f64 {
        let fraction = |used: u64, total: u64| if total == 0 { 0.0 } else { used as f64 / total as f64 };
        let largest = fraction(self.cpu, capacity.cpu).max(fraction(self.mem, capacity.mem));
        largest.max(fraction(self.gpu, capacity.gpu))
    }

    /// Whether every dimension is zero.
    pub fn is_zero(&self) -> bool {
        *self == Resources::default()
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, other: Resources) {
        self.cpu = self.cpu.saturating_add(other.cpu);
        self.mem = self.mem.saturating_add(other.mem);
        self.gpu = self.gpu.saturating_add(other.gpu);
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, other: Resources) {
        *self = self.remaining_after(&other);
    }
}
