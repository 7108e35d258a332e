//! The estimator itself.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use crate::{
    resource::Resources,
    unit::{
        Bytes,
        Millicores, //
    }, //
};

use super::{
    Estimate,
    Key,
    sketch::Sketch, //
};

/// The run time assumed of a program that was neither declared nor seen.
const DEFAULT_RUNTIME: Duration = Duration::from_secs(60);

/// Learns run times and sizes for each program of each team.
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    programs: BTreeMap<Key, Program>,
}

#[derive(Clone, Debug, Default)]
struct Program {
    runtime: Sketch,
    cpu: Sketch,
    memory: Sketch,
    accelerators: u16,
}

impl Estimator {
    /// Makes an estimator that knows nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Learns from a run that completed, and from what had been declared for it.
    pub fn record_run(&mut self, key: &Key, ran: Duration, declared: Option<Duration>) {
        let _ = declared;
        let micros = u64::try_from(ran.as_micros()).unwrap_or(u64::MAX);
        let program = self.programs.entry(key.clone()).or_default();
        program.runtime.record(micros);
    }

    /// Learns from a report of what a task uses.
    pub fn record_usage(&mut self, key: &Key, used: Resources) {
        let program = self.programs.entry(key.clone()).or_default();
        program.cpu.record(u64::from(used.cpu.0));
        program.memory.record(used.memory.0);
        program.accelerators = program.accelerators.max(used.accelerators);
    }

    /// Returns the run time to expect of the program's next task.
    pub fn runtime(&self, key: &Key, declared: Option<Duration>) -> Estimate {
        let declared = declared.unwrap_or(DEFAULT_RUNTIME);
        let unseen = Estimate {
            p50: declared,
            p90: declared,
            samples: 0,
        };
        let Some(program) = self.programs.get(key) else {
            return unseen;
        };
        let p50 = program.runtime.quantile(50);
        let p90 = program.runtime.quantile(90);
        match (p50, p90) {
            (Some(p50), Some(p90)) => Estimate {
                p50: Duration::from_micros(p50),
                p90: Duration::from_micros(p90),
                samples: program.runtime.total(),
            },
            _ => unseen,
        }
    }

    /// Returns what nine of ten reports of the program stayed within, or `None` without reports.
    pub fn size(&self, key: &Key) -> Option<Resources> {
        let program = self.programs.get(key)?;
        let cpu = program.cpu.quantile(90)?;
        let memory = program.memory.quantile(90)?;
        Some(Resources::new(
            Millicores(u32::try_from(cpu).unwrap_or(u32::MAX)),
            Bytes(memory),
            program.accelerators,
        ))
    }
}
