//! One placement: find, reserve and release in a cell that is nine tenths full.

#[expect(dead_code, reason = "other tests use the rest")]
#[path = "../tests/support/cell.rs"]
mod cell;
#[expect(dead_code, reason = "other tests use the rest")]
#[path = "../tests/support/workload.rs"]
mod workload;

use cell::{
    Cell,
    Placer, //
};
use criterion::{
    BenchmarkId,
    Criterion,
    criterion_group,
    criterion_main, //
};
use fulmarpier_state::{
    placement::Rule,
    resource::Resources, //
};
use workload::{
    Mix,
    Workload, //
};

const CELLS: [u32; 4] = [50, 300, 1_200, 12_000];
const SIZES: usize = 1_024;

/// Times one placement, and for the 99th percentile the dearest hundredth of the sizes.
fn place(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("place");
    for workers in CELLS {
        let mut workload = Workload::new(7, Mix::Proportional);
        let mut cell = Cell::new(workers, Placer::Index);
        cell.occupy(&mut workload);
        println!("{workers} workers, {:.0} % full", 100.0 * cell.load());
        let mut sizes: Vec<Resources> = (0..SIZES).map(|_| workload.size()).collect();
        let rule = Rule::new().runs(cell.now, cell.now + workload.span());
        let usual = BenchmarkId::new("all", workers);
        group.bench_function(usual, |b| cycle(b, &mut cell, &rule, &sizes));

        sizes.sort_by_key(|size| cell.index.find_counted(size, &rule).1);
        let scanned = BenchmarkId::new("scan", workers);
        group.bench_function(scanned, |b| scan(b, &cell, &sizes));

        let dearest = &sizes[SIZES - SIZES / 100..];
        let tail = BenchmarkId::new("dearest_hundredth", workers);
        group.bench_function(tail, |b| cycle(b, &mut cell, &rule, dearest));
    }
    group.finish();
}

fn cycle(bencher: &mut criterion::Bencher, cell: &mut Cell, rule: &Rule<'_>, sizes: &[Resources]) {
    let mut sizes = sizes.iter().cycle();
    bencher.iter(|| {
        let size = sizes.next().expect("endless");
        let worker = cell.index.find(size, rule)?;
        cell.index.reserve(worker, *size).expect("there is room");
        cell.index.release(worker, *size).expect("it was reserved");
        Some(worker)
    });
}

/// Times the choice alone, by a scan of all workers for the tightest fit, for comparison.
fn scan(bencher: &mut criterion::Bencher, cell: &Cell, sizes: &[Resources]) {
    let mut sizes = sizes.iter().cycle();
    bencher.iter(|| {
        let size = sizes.next().expect("endless");
        let rest = |id| Some((cell.index.free(id)?.checked_sub(*size)?.cpu, id));
        let ids = cell.index.iter().map(|spec| spec.id);
        ids.filter_map(rest).min()
    });
}

criterion_group!(benches, place);
criterion_main!(benches);
