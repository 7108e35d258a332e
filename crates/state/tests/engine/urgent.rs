//! Urgent work at the design peak, with the cell full of batch work.

use std::time::Duration;

use fulmarpier_state::job::Priority;

use crate::{
    quality::{
        driver::{
            Driver,
            Scheduler, //
        },
        input::Arrival,
    },
    support::{
        at,
        batch,
        cell, //
    },
};

const WORKERS: u32 = 1_200;
const CORES: u32 = 16;
/// Urgent starts a second at the design peak.
const RATE: u64 = 110;
const SECS: u64 = 30;

fn filling(number: u32) -> Arrival {
    let mut spec = batch(1, 5);
    spec.team = format!("team-{}", number % 270).parse().expect("a name");
    spec.checkpoint = number.is_multiple_of(2);
    spec.idempotent = !number.is_multiple_of(5);
    spec.runtime = Some(Duration::from_secs(600));
    Arrival {
        at: at(0),
        spec,
        truth: Duration::from_secs(600),
        impossible: false,
    }
}

fn urgent(number: u64) -> Arrival {
    let mut spec = batch(1, 2);
    spec.priority = Priority::Urgent;
    spec.runtime = Some(Duration::from_secs(4));
    Arrival {
        at: at(5) + Duration::from_micros(number * 1_000_000 / RATE),
        spec,
        truth: Duration::from_secs(4),
        impossible: false,
    }
}

#[test]
fn urgent_work_starts_in_time_in_a_cell_full_of_batch_work() {
    let mut jobs: Vec<Arrival> = (0..4_800).map(filling).collect();
    jobs.extend((0..RATE * SECS).map(urgent));
    let engine = Scheduler::Engine(Box::new(cell(WORKERS, CORES)));
    let report = Driver::new(engine, &jobs, CORES).run(at(5_000));
    report.print("110 urgent starts a second");
    assert_eq!(report.waits["urgent"].len() as u64, RATE * SECS);
    assert!(report.wait("urgent", 99) <= 5_400);
    assert_eq!(report.ended as usize, jobs.len());
}
