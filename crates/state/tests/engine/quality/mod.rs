//! Seeded inputs, a virtual clock and two baselines, to measure the quality of decisions.

pub(crate) mod baseline;
pub(crate) mod driver;
pub(crate) mod input;
pub(crate) mod report;

use self::{
    driver::{
        Driver,
        Scheduler, //
    },
    input::Mix,
    report::Report,
};
use crate::support::{
    at,
    cell, //
};

/// The workers of the cell that is measured, and the cores of each.
pub(crate) const WORKERS: u32 = 50;
pub(crate) const CORES: u32 = 32;
/// Long after everything has ended.
pub(crate) const LIMIT: u64 = 50_000;

/// Makes the scheduler that is measured.
pub(crate) fn engine() -> Scheduler {
    Scheduler::Engine(Box::new(cell(WORKERS, CORES)))
}

/// Runs one mix with several seeds and sums the figures up.
pub(crate) fn measure(
    name: &str,
    scheduler: impl Fn() -> Scheduler,
    mix: &Mix,
    seeds: &[u64],
) -> Report {
    let mut sum = Report::default();
    for seed in seeds {
        let jobs = input::jobs(mix, *seed);
        sum.add(Driver::new(scheduler(), &jobs, CORES).run(at(LIMIT)));
    }
    sum.print(&format!("{name} {}/1000 {seeds:?}", mix.load));
    sum
}
