//! What each weight of the policy costs the other two measures.

use fulmarpier_state::{
    placement::Weights,
    policy::Policy, //
};

use crate::{
    quality::{
        CORES,
        WORKERS,
        driver::Scheduler,
        input::Mix,
        measure,
        report::Report, //
    },
    support::cell_with,
};

const SEEDS: [u64; 2] = [1, 2];

fn weighed(waiting: u16, packing: u16, control: u16, load: u32) -> Report {
    let policy = Policy::default().weights(Weights::new(waiting, packing, control));
    let engine = || {
        let engine = cell_with(policy.clone(), WORKERS, CORES);
        Scheduler::Engine(Box::new(engine))
    };
    let mix = Mix {
        load,
        ..Mix::default()
    };
    let name = format!("weights {waiting} {packing} {control}");
    measure(&name, engine, &mix, &SEEDS)
}

#[test]
fn each_weight_buys_its_own_measure() {
    for load in [600, 900] {
        let waiting = weighed(1, 0, 0, load);
        let packing = weighed(0, 1, 0, load);
        let control = weighed(0, 0, 1, load);
        assert!(waiting.mean_wait() < control.mean_wait());
        assert!(packing.packing() < waiting.packing() + 0.01);
        let per_message = |report: &Report| report.starts as f64 / report.messages as f64;
        assert!(per_message(&control) > 1.1 * per_message(&waiting));
    }
}

#[test]
fn the_recommended_weights_suit_each_company() {
    let kurzeme = weighed(7, 2, 1, 900);
    let repair = weighed(2, 4, 4, 900);
    assert!(kurzeme.mean_wait() <= repair.mean_wait());
    assert!(repair.messages <= kurzeme.messages);
    assert!(kurzeme.wait("urgent", 99) <= 500);
    assert!(repair.wait("urgent", 99) <= 500);
    assert_eq!(kurzeme.missed_per_mille(), 0);
}
