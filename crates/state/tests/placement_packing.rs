//! How few workers the index needs, against the volume and against plain rules.

#[expect(dead_code, reason = "other tests use the rest")]
#[path = "support/cell.rs"]
mod cell;
#[path = "support/workload.rs"]
mod workload;

use cell::{
    Cell,
    Placer, //
};
use rstest::rstest;
use workload::{
    Mix,
    Workload, //
};

const MIXES: [Mix; 3] = [Mix::Proportional, Mix::Independent, Mix::Shapes];

/// What a placer reaches on average.
#[derive(Clone, Copy, Debug, Default)]
struct Figures {
    use_ratio: f64,
    gang_share: f64,
}

/// Averages over the mixes and seeds at four fifths load, sampled while tasks come and go.
fn churn(placer: Placer, workers: u32, seeds: [u64; 3]) -> Figures {
    let mut sum = Figures::default();
    let mut count = 0.0;
    for (mix, seed) in MIXES.iter().flat_map(|mix| seeds.map(|seed| (*mix, seed))) {
        let mut cell = Cell::new(workers, placer);
        let mut workload = Workload::new(seed, mix);
        cell.churn(&mut workload, 0.8, 100 * workers);
        for _ in 0..50 {
            cell.churn(&mut workload, 0.8, workers);
            sum.use_ratio += cell.use_ratio();
            sum.gang_share += cell.gang_share();
            count += 1.0;
        }
    }
    Figures {
        use_ratio: sum.use_ratio / count,
        gang_share: sum.gang_share / count,
    }
}

/// Averages over the mixes and seeds when tasks only come.
fn fill(workers: u32, seeds: [u64; 3]) -> f64 {
    let mut sum = 0.0;
    for (mix, seed) in MIXES.iter().flat_map(|mix| seeds.map(|seed| (*mix, seed))) {
        let mut cell = Cell::new(workers, Placer::Index);
        let mut workload = Workload::new(seed, mix);
        while cell.load() < 0.8 && cell.start(&mut workload) {}
        sum += cell.use_ratio();
    }
    sum / 9.0
}

/// The factors of the score were chosen on the first set of seeds only.
#[rstest]
#[case::chosen_on([1, 2, 3])]
#[case::fresh([101, 102, 103])]
#[case::fresh_again([9_001, 9_002, 9_003])]
fn churn_needs_few_workers_and_leaves_room_for_gangs(#[case] seeds: [u64; 3]) {
    let index = churn(Placer::Index, 62, seeds);
    let first = churn(Placer::FirstFit, 62, seeds);
    let best = churn(Placer::BestFit, 62, seeds);
    println!("{seeds:?}: index {index:.3?}, first fit {first:.3?}, best fit {best:.3?}");
    assert!(index.use_ratio <= 1.09);
    assert!(index.use_ratio < first.use_ratio - 0.015);
    assert!(index.use_ratio < best.use_ratio - 0.015);
    assert!(index.gang_share > first.gang_share + 0.05);
    assert!(index.gang_share > best.gang_share + 0.05);
}

#[rstest]
#[case::small(62, 1.08)]
#[case::large(200, 1.08)]
fn filling_needs_few_workers(#[case] workers: u32, #[case] bound: f64) {
    for seeds in [[1, 2, 3], [101, 102, 103], [9_001, 9_002, 9_003]] {
        let ratio = fill(workers, seeds);
        println!("{workers} workers, {seeds:?}: {ratio:.3}");
        assert!(ratio <= bound);
    }
}

#[test]
fn churn_in_a_large_cell_needs_few_workers() {
    let index = churn(Placer::Index, 200, [101, 102, 103]);
    println!("200 workers: {index:.3?}");
    assert!(index.use_ratio <= 1.06);
}
