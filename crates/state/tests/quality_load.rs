//! The quality of decisions at several loads, against two plain schedulers.

mod engine_support;
mod quality_support;

use engine_support::{
    at,
    cell,
    cores, //
};
use quality_support::{
    baseline::{
        Baseline,
        Rule, //
    },
    driver::{
        Driver,
        Scheduler, //
    },
    input::{
        self,
        Mix, //
    },
    report::Report,
};

const WORKERS: u32 = 50;
const CORES: u32 = 32;

fn engine() -> Scheduler {
    Scheduler::Engine(Box::new(cell(WORKERS, CORES)))
}

fn baseline(rule: Rule) -> Scheduler {
    Scheduler::Baseline(Baseline::new(rule, WORKERS, cores(CORES)))
}

fn measure(name: &str, scheduler: Scheduler, mix: &Mix, seed: u64) -> Report {
    let jobs = input::jobs(mix, seed);
    let report = Driver::new(scheduler, &jobs, CORES).run(at(50_000));
    report.print(&format!("{name} load {} seed {seed}", mix.load));
    report
}

#[test]
fn trial() {
    for load in [700, 900, 970] {
        let mix = Mix {
            load,
            ..Mix::default()
        };
        measure("engine", engine(), &mix, 1);
        measure("fifo", baseline(Rule::FifoFirstFit), &mix, 1);
        measure("best fit", baseline(Rule::BestFit), &mix, 1);
    }
}
