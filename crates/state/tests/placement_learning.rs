//! Packing by learned run times, where declarations are off by up to five times either way.

#[expect(dead_code, reason = "other tests use the rest")]
#[path = "support/cell.rs"]
mod cell;
#[expect(dead_code, reason = "other tests use the rest")]
#[path = "support/workload.rs"]
mod workload;

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use cell::{
    Cell,
    Placer, //
};
use fulmarpier_state::learn::{
    Estimator,
    Key, //
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use rstest::rstest;
use workload::{
    Mix,
    Workload, //
};

const WORKERS: u32 = 62;
const PROGRAMS: usize = 20;

/// What placement goes by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Guide {
    Learned,
    Declared,
    Nothing,
}

/// A program whose runs resemble each other and whose declaration is always off alike.
struct Program {
    key: Key,
    usual: Duration,
    declared: Duration,
}

fn programs(rng: &mut StdRng, workload: &mut Workload) -> Vec<Program> {
    let team: fulmarpier_state::name::Team = "manifest".parse().expect("valid");
    let mut program = |id| {
        let usual = workload.span();
        let off = 5_f64.powf(rng.random_range(-1.0..1.0));
        Program {
            key: Key::new(team.clone(), &format!("p{id}")),
            usual,
            declared: usual.mul_f64(off),
        }
    };
    (0..PROGRAMS).map(&mut program).collect()
}

/// Returns how many workers are in use for each that the volume needs, on average.
fn use_ratio(guide: Guide, seed: u64) -> f64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut workload = Workload::new(seed, Mix::Proportional);
    let programs = programs(&mut rng, &mut workload);
    let mut estimator = Estimator::new();
    let mut cell = Cell::new(WORKERS, Placer::Index);
    let mut running = BTreeMap::new();
    let (mut sum, mut count) = (0.0, 0.0);
    for step in 0..16_000 {
        while cell.load() >= 0.8 {
            let number = cell.end_next().expect("tasks run");
            let (at, span): (usize, Duration) = running.remove(&number).expect("it ran");
            let program: &Program = &programs[at];
            estimator.record_run(&program.key, span, Some(program.declared));
        }
        let at = rng.random_range(0..PROGRAMS);
        let program = &programs[at];
        let span = program.usual.mul_f64(rng.random_range(0.6..1.6));
        let guess = match guide {
            Guide::Learned => estimator.runtime(&program.key, Some(program.declared)).p90,
            Guide::Declared => program.declared,
            Guide::Nothing => Duration::ZERO,
        };
        let number = cell.start_task(workload.size(), span, guess);
        running.insert(number.expect("there is room"), (at, span));
        if step >= 8_000 && step % 50 == 0 {
            sum += cell.use_ratio();
            count += 1.0;
        }
    }
    sum / count
}

#[rstest]
#[case([1, 2, 3, 4, 5, 6])]
#[case([101, 102, 103, 104, 105, 106])]
fn learned_run_times_pack_better_than_declared_ones(#[case] seeds: [u64; 6]) {
    let mean = |guide| seeds.map(|seed| use_ratio(guide, seed)).iter().sum::<f64>() / 6.0;
    let learned = mean(Guide::Learned);
    let declared = mean(Guide::Declared);
    let nothing = mean(Guide::Nothing);
    println!("{seeds:?}: learned {learned:.4}, declared {declared:.4}, nothing {nothing:.4}");
    assert!(learned < declared);
    assert!(learned < nothing - 0.02);
}
