//! The quality of decisions under faults, each against the same run without the fault.

use rstest::rstest;

use crate::{
    quality::{
        CORES,
        LIMIT,
        driver::Driver,
        engine,
        input::{
            self,
            Arrival,
            Mix, //
        },
        measure,
        report::Report, //
    },
    support::at,
};

fn run(name: &str, jobs: &[Arrival]) -> Report {
    let report = Driver::new(engine(), jobs, CORES).run(at(LIMIT));
    report.print(name);
    report
}

#[rstest]
fn wrong_declarations_cost_little(#[values([1, 2], [31, 32], [4_001, 4_002])] seeds: [u64; 2]) {
    let right = measure("declared right", engine, &Mix::default(), &seeds);
    let wrong = Mix {
        wrong: 5_000,
        ..Mix::default()
    };
    let wrong = measure("declared 0.2 to 5 times", engine, &wrong, &seeds);
    assert_eq!(wrong.failed, 0);
    assert!(wrong.wait("urgent", 99) <= 500);
    assert!(wrong.mean_wait() <= right.mean_wait() * 2 + 500);
    assert!(wrong.missed_per_mille() <= right.missed_per_mille() + 20);
}

#[rstest]
fn workers_that_fail_everything_cost_little_work(#[values(1, 31, 4_001)] seed: u64) {
    let mix = Mix {
        load: 800,
        ..Mix::default()
    };
    let jobs = input::jobs(&mix, seed);
    let sound = run("all workers sound", &jobs);
    let driver = Driver::new(engine(), &jobs, CORES).broken([3, 25].into_iter());
    let broken = driver.run(at(LIMIT));
    broken.print("2 of 50 workers fail everything");
    assert_eq!(broken.ended, sound.ended);
    assert!(
        broken.failed * 1_000 <= broken.ended,
        "one job in a thousand"
    );
    assert!(broken.lost_per_mille() <= sound.lost_per_mille() + 5.0);
    assert!(broken.wait("urgent", 99) <= 5_400);
}

#[rstest]
fn jobs_that_fail_everywhere_harm_no_other(#[values(1, 31, 4_001)] seed: u64) {
    let mix = Mix {
        impossible: 200,
        ..Mix::default()
    };
    let jobs = input::jobs(&mix, seed);
    let impossible = jobs.iter().filter(|job| job.impossible).count();
    let report = run("a fifth of the jobs impossible", &jobs);
    assert_eq!(
        report.failed as usize, impossible,
        "these and no others fail"
    );
    assert_eq!(report.ended as usize, jobs.len());
    assert!(report.wait("urgent", 99) <= 5_400);
    assert!(report.lost_per_mille() <= 60.0);
}

#[rstest]
fn a_wave_of_cancellations_helps_those_that_stay(#[values(1, 31, 4_001)] seed: u64) {
    let mix = Mix {
        load: 1_100,
        ..Mix::default()
    };
    let jobs = input::jobs(&mix, seed);
    let without = run("no wave", &jobs);
    let driver = Driver::new(engine(), &jobs, CORES).cancel_wave(at(200));
    let with = driver.run(at(LIMIT));
    with.print("four of five cancelled");
    assert!(with.cancelled > 0);
    assert_eq!(with.ended as usize, jobs.len(), "each has a final state");
    assert!(with.mean_wait() < without.mean_wait());
}

#[rstest]
fn a_flood_from_one_team_delays_the_others_little(#[values(1, 31, 4_001)] seed: u64) {
    let mix = Mix {
        load: 600,
        teams: 8,
        ..Mix::default()
    };
    let calm = input::jobs(&mix, seed);
    let flood = Mix {
        load: 1_500,
        teams: 1,
        gangs: 0,
        urgent: 0,
        deadlines: 0,
        ..mix
    };
    let mut both = input::jobs(&flood, seed + 1);
    for job in &mut both {
        job.spec.team = "flood".parse().expect("a valid name");
    }
    both.extend(calm.clone());
    both.sort_by_key(|job| job.at);
    let alone = run("eight teams", &calm);
    let flooded = run("eight teams and a flood", &both);
    // The waits of the flood's own jobs are those of its team and not counted here.
    let others = flooded.team_wait(|team| team != "flood");
    let before = alone.team_wait(|_| true);
    println!("mean wait of the others: {before} ms alone, {others} ms under the flood");
    assert!(others <= before + 3_000);
    assert!(flooded.wait("urgent", 99) <= 5_400);
}
