//! Amounts of what a worker offers and a task needs, with checked arithmetic.

use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::unit::{
    Bytes,
    Millicores, //
};

/// An amount of each resource: a worker's capacity, a task's size, or what is left.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Resources {
    /// Processor time.
    pub cpu: Millicores,
    /// Memory.
    pub memory: Bytes,
    /// Whole accelerators.
    #[serde(default)]
    pub accelerators: u16,
}

impl Resources {
    /// Nothing of anything.
    pub const ZERO: Self = Self::new(Millicores(0), Bytes(0), 0);

    /// Makes an amount from its parts.
    pub const fn new(cpu: Millicores, memory: Bytes, accelerators: u16) -> Self {
        Self {
            cpu,
            memory,
            accelerators,
        }
    }

    /// Returns whether every resource is at most that of `room`.
    pub const fn fits(&self, room: &Self) -> bool {
        self.cpu.0 <= room.cpu.0
            && self.memory.0 <= room.memory.0
            && self.accelerators <= room.accelerators
    }

    /// Returns whether all resources are zero.
    pub const fn is_zero(&self) -> bool {
        self.cpu.0 == 0 && self.memory.0 == 0 && self.accelerators == 0
    }

    /// Returns the larger amount of each resource.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.max(other.cpu),
            memory: self.memory.max(other.memory),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Adds resource by resource, or `None` on overflow.
    pub fn checked_add(self, other: Self) -> Option<Self> {
        Some(Self {
            cpu: Millicores(self.cpu.0.checked_add(other.cpu.0)?),
            memory: Bytes(self.memory.0.checked_add(other.memory.0)?),
            accelerators: self.accelerators.checked_add(other.accelerators)?,
        })
    }

    /// Subtracts resource by resource, or `None` if any would fall below zero.
    pub fn checked_sub(self, other: Self) -> Option<Self> {
        Some(Self {
            cpu: Millicores(self.cpu.0.checked_sub(other.cpu.0)?),
            memory: Bytes(self.memory.0.checked_sub(other.memory.0)?),
            accelerators: self.accelerators.checked_sub(other.accelerators)?,
        })
    }

    /// Multiplies every resource by `count`, or `None` on overflow.
    pub fn checked_mul(self, count: u32) -> Option<Self> {
        let accelerators = u32::from(self.accelerators).checked_mul(count)?;
        Some(Self {
            cpu: Millicores(self.cpu.0.checked_mul(count)?),
            memory: Bytes(self.memory.0.checked_mul(u64::from(count))?),
            accelerators: u16::try_from(accelerators).ok()?,
        })
    }
}

impl fmt::Display for Resources {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} cpu, {}", self.cpu, self.memory)?;
        if self.accelerators > 0 {
            write!(f, ", {} acc", self.accelerators)?;
        }
        Ok(())
    }
}
