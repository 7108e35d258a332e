//! Run times and sizes learned against declarations that are off.

use std::time::Duration;

use fulmarpier_state::{
    learn::{
        Basis,
        Estimator,
        Key, //
    },
    resource::Resources,
    unit::{
        Bytes,
        Millicores, //
    }, //
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use rstest::rstest;

fn key(team: &str, program: &str) -> Key {
    Key::new(team.parse().expect("a valid name"), program)
}

/// A minute, give or take a third.
fn about_a_minute(rng: &mut StdRng) -> Duration {
    let parts: f64 = (0..4).map(|_| rng.random_range(-0.2..0.2)).sum();
    Duration::from_secs(60).mul_f64(parts.exp())
}

/// How far off an estimate is, as a factor from one up.
fn off(estimate: Duration, truth: f64) -> f64 {
    let ratio = estimate.as_secs_f64() / truth;
    ratio.max(1.0 / ratio)
}

/// Each of 200 programs is declared off by the same factor every time.
#[rstest]
#[case(0.2)]
#[case(0.5)]
#[case(2.0)]
#[case(5.0)]
fn a_wrong_declaration_is_corrected_after_three_runs(#[case] factor: f64) {
    let mut rng = StdRng::seed_from_u64(11);
    let declared = Some(Duration::from_secs(60).mul_f64(factor));
    let mut errors = Vec::new();
    for id in 0..200 {
        let mut estimator = Estimator::new();
        let key = key("survey", &format!("p{id}"));
        for _ in 0..3 {
            estimator.record_run(&key, about_a_minute(&mut rng), declared);
        }
        errors.push(off(estimator.runtime(&key, declared).p50, 60.0));
    }
    errors.sort_by(f64::total_cmp);
    let (median, p95) = (errors[100], errors[190]);
    println!("declared off by {factor}: median {median:.2}, p95 {p95:.2}");
    assert!(median <= 1.15 && p95 <= 1.4);
}

/// The ninth decile covers the next run about nine times out of ten, and more while runs are few.
#[rstest]
#[case(1, 0.97)]
#[case(3, 0.95)]
#[case(10, 0.88)]
#[case(32, 0.88)]
fn the_ninth_decile_covers_the_next_run(#[case] runs: u32, #[case] least: f64) {
    let mut rng = StdRng::seed_from_u64(12);
    let mut covered = 0;
    for id in 0..1_000 {
        let mut estimator = Estimator::new();
        let key = key("survey", &format!("p{id}"));
        for _ in 0..runs {
            estimator.record_run(&key, about_a_minute(&mut rng), None);
        }
        let next = about_a_minute(&mut rng);
        covered += u32::from(next <= estimator.runtime(&key, None).p90);
    }
    let share = f64::from(covered) / 1_000.0;
    println!("after {runs} runs: {share:.3}");
    assert!(share >= least);
}

/// The size of the input varies tenfold and is declared, though always five times too long.
#[test]
fn a_declaration_that_follows_the_input_is_scaled() {
    let key = key("manifest", "build");
    let mut estimator = Estimator::new();
    for secs in [10, 100, 30, 70, 20, 50] {
        let declared = Some(Duration::from_secs(5 * secs));
        estimator.record_run(&key, Duration::from_secs(secs), declared);
    }
    let estimate = estimator.runtime(&key, Some(Duration::from_secs(400)));
    assert!(off(estimate.p50, 80.0) < 1.01);
}

/// The declarations are noise, so the plain run times are the better guide.
#[test]
fn a_declaration_that_means_nothing_is_left_aside() {
    let key = key("manifest", "build");
    let mut estimator = Estimator::new();
    for declared in [12, 300, 30, 150, 60, 20] {
        let declared = Some(Duration::from_secs(declared));
        estimator.record_run(&key, Duration::from_secs(60), declared);
    }
    let estimate = estimator.runtime(&key, Some(Duration::from_secs(300)));
    assert_eq!(estimate.p50, Duration::from_secs(60));
}

#[test]
fn a_program_that_has_changed_is_known_by_its_new_ways() {
    let key = key("manifest", "build");
    let mut estimator = Estimator::new();
    for secs in std::iter::repeat_n(10, 100).chain(std::iter::repeat_n(40, 17)) {
        estimator.record_run(&key, Duration::from_secs(secs), None);
    }
    let estimate = estimator.runtime(&key, None);
    assert_eq!(estimate.p50, Duration::from_secs(40));
}

#[test]
fn a_new_program_is_judged_by_its_team() {
    let mut estimator = Estimator::new();
    for id in 0..5 {
        let declared = Some(Duration::from_secs(100));
        let key = key("survey", &format!("run-{id}"));
        estimator.record_run(&key, Duration::from_secs(20), declared);
    }
    let declared = Some(Duration::from_secs(50));
    let judged = estimator.runtime(&key("survey", "run-9"), declared);
    assert_eq!(judged.basis, Basis::Team);
    assert!(off(judged.p50, 10.0) < 1.01);

    let other = estimator.runtime(&key("liaison", "run-9"), declared);
    assert_eq!(
        (other.basis, other.p50),
        (Basis::Declared, Duration::from_secs(50))
    );
    let nothing = estimator.runtime(&key("liaison", "run-9"), None);
    assert_eq!(nothing.basis, Basis::Default);
}

#[test]
fn a_team_whose_declarations_are_off_either_way_tells_nothing_of_a_new_program() {
    let mut estimator = Estimator::new();
    for (id, secs) in [20, 50, 100, 200, 500].into_iter().enumerate() {
        let declared = Some(Duration::from_secs(100));
        let key = key("survey", &format!("run-{id}"));
        estimator.record_run(&key, Duration::from_secs(secs), declared);
    }
    let declared = Some(Duration::from_secs(50));
    let judged = estimator.runtime(&key("survey", "run-9"), declared);
    assert_eq!(judged.basis, Basis::Declared);
}

#[test]
fn a_team_that_names_each_run_anew_displaces_only_its_own() {
    let mut estimator = Estimator::new().most_programs(100);
    for id in 0..10 {
        let key = key("survey", &format!("p{id}"));
        estimator.record_run(&key, Duration::from_secs(7), None);
    }
    for id in 0..1_000 {
        let key = key("manifest", &format!("run-{id}"));
        estimator.record_run(&key, Duration::from_secs(9), None);
        assert!(estimator.len() <= 100);
    }
    for id in 0..10 {
        let estimate = estimator.runtime(&key("survey", &format!("p{id}")), None);
        assert_eq!(estimate.p50, Duration::from_secs(7));
    }
    let last = estimator.runtime(&key("manifest", "run-999"), None);
    assert_eq!(last.basis, Basis::Program);
}

#[test]
fn more_teams_than_are_kept_change_nothing() {
    let mut estimator = Estimator::new();
    for id in 0..1_000 {
        let key = key(&format!("team-{id}"), "p");
        estimator.record_run(&key, Duration::from_secs(9), None);
    }
    assert_eq!(estimator.len(), 512);
}

#[test]
fn a_size_is_the_largest_memory_and_nearly_the_largest_processor_time() {
    let key = key("survey", "estimate");
    let mut estimator = Estimator::new();
    assert_eq!(estimator.size(&key), None);
    for step in 1..=20 {
        let used = Resources::new(Millicores(100 * step), Bytes::from_mib(u64::from(step)), 0);
        estimator.record_usage(&key, used);
    }
    let size = estimator.size(&key).expect("there were reports");
    assert_eq!(
        size,
        Resources::new(Millicores(1_900), Bytes::from_mib(20), 0)
    );
}

#[test]
fn extreme_run_times_do_not_overflow() {
    let key = key("survey", "p");
    let mut estimator = Estimator::new();
    let spans = [Duration::ZERO, Duration::MAX, Duration::from_nanos(1)];
    for ran in spans {
        for declared in spans {
            estimator.record_run(&key, ran, Some(declared));
            let estimate = estimator.runtime(&key, Some(Duration::MAX));
            assert!(estimate.p50 <= estimate.p90);
        }
    }
}
