//! What has been seen of one program, or of all programs of a team.

use std::time::Duration;

use crate::{
    resource::Resources,
    unit::{
        Bytes,
        Millicores, //
    }, //
};

use super::{
    Basis,
    Estimate,
    window::Window, //
};

/// Ratios are kept as whole numbers of this fraction.
const RATIO_ONE: u128 = 1 << 16;
/// Below this many runs their spread says little, and the plain run times are used.
const FEW_RUNS: u32 = 3;
/// Below this many runs of other programs nothing is concluded from them.
const FEWEST_OTHERS: u32 = 5;
/// Ratios within this factor of each other are much the same.
const STEADY: f64 = 3.0;

/// The last runs and usage reports.
#[derive(Clone, Debug, Default)]
pub(super) struct History {
    /// Run times in microseconds.
    runtime: Window,
    /// Run times as multiples of what was declared.
    ratio: Window,
    cpu: Window,
    memory: Window,
    accelerators: u16,
}

impl History {
    /// Adds a run that completed.
    pub(super) fn record_run(&mut self, ran: Duration, declared: Option<Duration>) {
        self.runtime.record(micros(ran));
        if let Some(ratio) = declared.and_then(|declared| ratio(ran, declared)) {
            self.ratio.record(ratio);
        }
    }

    /// Adds a report of what a task uses.
    pub(super) fn record_usage(&mut self, used: Resources) {
        self.cpu.record(u64::from(used.cpu.0));
        self.memory.record(used.memory.0);
        self.accelerators = self.accelerators.max(used.accelerators);
    }

    /// Returns the run time to expect, or `None` without runs.
    ///
    /// Runs of a program resemble each other either in their time or in their ratio to what was
    /// declared; the one that has varied less is used.
    pub(super) fn runtime(&self, declared: Option<Duration>) -> Option<Estimate> {
        let by_ratio = self.runtime_by_ratio(declared);
        let steadier = self.ratio.len() >= FEW_RUNS && self.ratio.spread() < self.runtime.spread();
        match by_ratio {
            Some(estimate) if steadier => Some(estimate),
            _ => estimate(&self.runtime, Basis::Program, Duration::from_micros),
        }
    }

    /// Returns the declared run time corrected by how far declarations were off, where that was
    /// much the same each time.
    pub(super) fn runtime_by_steady_ratio(&self, declared: Option<Duration>) -> Option<Estimate> {
        let steady = self.ratio.len() >= FEWEST_OTHERS && self.ratio.spread() <= STEADY;
        self.runtime_by_ratio(declared).filter(|_| steady)
    }

    /// Returns the declared run time corrected by how far such declarations were off.
    fn runtime_by_ratio(&self, declared: Option<Duration>) -> Option<Estimate> {
        let declared = declared?;
        estimate(&self.ratio, Basis::Program, |ratio| scale(declared, ratio))
    }

    /// Returns what nearly all reports stayed within, or `None` without reports.
    pub(super) fn size(&self) -> Option<Resources> {
        let cpu = self.cpu.quantile(90)?;
        // A task can do with less processor time for a while, but not with less memory.
        let memory = self.memory.quantile(100)?;
        let cpu = Millicores(u32::try_from(cpu).unwrap_or(u32::MAX));
        Some(Resources::new(cpu, Bytes(memory), self.accelerators))
    }
}

/// Turns the quantiles of a window into an estimate.
fn estimate(window: &Window, basis: Basis, to_time: impl Fn(u64) -> Duration) -> Option<Estimate> {
    let p50 = window.quantile(50)?;
    let p90 = window.quantile(90)?;
    let samples = window.len();
    // Few samples hardly hold the longest runs. With n of them the margin is 1 + 2/n: three times
    // the median after one run, and next to nothing where the quantile itself is known.
    let count = u64::from(samples);
    let least = p50.saturating_add(p50.saturating_mul(2) / count.max(1));
    Some(Estimate {
        p50: to_time(p50),
        p90: to_time(p90.max(least)),
        samples,
        basis,
    })
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

/// Returns a run time as a multiple of the declared one, or `None` where that is zero.
fn ratio(ran: Duration, declared: Duration) -> Option<u64> {
    let scaled = ran.as_micros().saturating_mul(RATIO_ONE);
    let ratio = scaled.checked_div(declared.as_micros())?;
    Some(u64::try_from(ratio).unwrap_or(u64::MAX))
}

fn scale(declared: Duration, ratio: u64) -> Duration {
    let scaled = declared.as_micros().saturating_mul(u128::from(ratio));
    let micros = u64::try_from(scaled / RATIO_ONE).unwrap_or(u64::MAX);
    Duration::from_micros(micros)
}
