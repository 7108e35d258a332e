//! Sums over many workers.

use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    resource::Resources,
    unit::Bytes, //
};

/// Thousandths of a core in a whole one.
const MILLICORES: u64 = 1_000;

/// A sum of [`Resources`] over many workers, wide enough not to overflow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Total {
    /// Processor time in thousandths of a core.
    pub cpu: u64,
    /// Memory in bytes, saturating.
    pub memory: u64,
    /// Whole accelerators.
    pub accelerators: u64,
}

impl Total {
    /// Adds one worker's amount.
    pub fn add(&mut self, amount: &Resources) {
        self.cpu += u64::from(amount.cpu.0);
        self.memory = self.memory.saturating_add(amount.memory.0);
        self.accelerators += u64::from(amount.accelerators);
    }

    /// Takes one worker's amount away.
    pub fn sub(&mut self, amount: &Resources) {
        self.cpu = self.cpu.saturating_sub(u64::from(amount.cpu.0));
        self.memory = self.memory.saturating_sub(amount.memory.0);
        let accelerators = u64::from(amount.accelerators);
        self.accelerators = self.accelerators.saturating_sub(accelerators);
    }
}

impl fmt::Display for Total {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            cpu,
            memory,
            accelerators,
        } = self;
        match cpu % MILLICORES {
            0 => write!(f, "{} cpu", cpu / MILLICORES)?,
            _ => write!(f, "{cpu}m cpu")?,
        }
        write!(f, ", {}", Bytes(*memory))?;
        if *accelerators > 0 {
            write!(f, ", {accelerators} acc")?;
        }
        Ok(())
    }
}
