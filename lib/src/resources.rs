//! Amounts of processor, memory and accelerators.

use std::ops::{AddAssign, SubAssign};

use serde::{Deserialize, Serialize};

/// What a task takes, what a worker has, or what a team may use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// Processor, thousandths of a core.
    pub cpu: u64,
    /// Memory, MiB.
    pub mem: u64,
    /// Accelerators.
    pub gpu: u64,
}

impl Resources {
    /// Whether this much and `used` fit within `capacity` together.
    pub fn fits(&self, used: &Resources, capacity: &Resources) -> bool {
        used.cpu + self.cpu <= capacity.cpu && used.mem + self.mem <= capacity.mem && used.gpu + self.gpu <= capacity.gpu
    }

    /// This amount `count` times over.
    pub fn times(&self, count: u64) -> Resources {
        Resources {
            cpu: self.cpu * count,
            mem: self.mem * count,
            gpu: self.gpu * count,
        }
    }

    /// The larger of both in each dimension.
    pub fn max(&self, other: &Resources) -> Resources {
        Resources {
            cpu: self.cpu.max(other.cpu),
            mem: self.mem.max(other.mem),
            gpu: self.gpu.max(other.gpu),
        }
    }

    /// The smaller of both in each dimension.
    pub fn min(&self, other: &Resources) -> Resources {
        Resources {
            cpu: self.cpu.min(other.cpu),
            mem: self.mem.min(other.mem),
            gpu: self.gpu.min(other.gpu),
        }
    }

    /// What is left of this after `used`, never below zero.
    pub fn remaining_after(&self, used: &Resources) -> Resources {
        Resources {
            cpu: self.cpu.saturating_sub(used.cpu),
            mem: self.mem.saturating_sub(used.mem),
            gpu: self.gpu.saturating_sub(used.gpu),
        }
    }

    /// The largest part of `capacity` that this takes, over all dimensions.
    pub fn dominant(&self, capacity: &Resources) -> f64 {
        let part = |used: u64, all: u64| if all == 0 { 0.0 } else { used as f64 / all as f64 };
        let most = part(self.cpu, capacity.cpu).max(part(self.mem, capacity.mem));
        most.max(part(self.gpu, capacity.gpu))
    }

    /// Whether nothing is needed.
    pub fn is_zero(&self) -> bool {
        *self == Resources::default()
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, other: Resources) {
        self.cpu += other.cpu;
        self.mem += other.mem;
        self.gpu += other.gpu;
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, other: Resources) {
        *self = self.remaining_after(&other);
    }
}
