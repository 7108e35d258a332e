//! Arrivals: seeded, at the rate asked for, in the mix asked for.

use std::time::Duration;

use fulmarpier_load::{
    Arrivals,
    Kind, //
};
use fulmarpier_protocol::settings::{
    self,
    load::{
        Arrivals as Spacing,
        Load as Settings, //
    },
};
use rstest::rstest;

const ORIGIN: Duration = Duration::from_secs(1_700_000_000);

fn settings(seed: u64, spacing: Spacing) -> Settings {
    let text = r#"{"gates": ["http://127.0.0.1:1"], "standin": "http://127.0.0.1:2",
        "token": "0123456789abcdef", "rate": 100, "request": {"service": "desk"},
        "job": {"teams": ["a"]}}"#;
    let settings: Settings = settings::parse(text).expect("the settings are valid");
    Settings {
        seed,
        arrivals: spacing,
        ..settings
    }
}

#[test]
fn the_same_seed_gives_the_same_calls() {
    let calls = |seed| Arrivals::new(&settings(seed, Spacing::Poisson), ORIGIN).take(500);
    assert!(calls(7).eq(calls(7)));
    assert!(calls(7).ne(calls(8)));
}

#[rstest]
#[case::poisson(Spacing::Poisson)]
#[case::steady(Spacing::Steady)]
#[case::burst(Spacing::Burst)]
fn the_rate_is_that_asked_for(#[case] spacing: Spacing) {
    let last = Arrivals::new(&settings(1, spacing), ORIGIN).nth(99_999);
    let seconds = last.expect("the process has no end").at.as_secs_f64();
    assert!((985.0..1_015.0).contains(&seconds), "{seconds}");
}

#[test]
fn a_burst_comes_at_the_beginning_of_its_second() {
    let calls = Arrivals::new(&settings(1, Spacing::Burst), ORIGIN).take(250);
    let times: Vec<u64> = calls.map(|call| call.at.as_secs()).collect();
    let counts = [0, 1, 2].map(|second| times.iter().filter(|time| **time == second).count());
    assert_eq!(counts, [100, 100, 50]);
}

#[test]
fn the_kinds_come_in_their_shares() {
    let mut counts = [0_u32; Kind::ALL.len()];
    for call in Arrivals::new(&settings(3, Spacing::Poisson), ORIGIN).take(10_000) {
        counts[call.kind as usize] += 1;
    }
    let [ordinary, once, batch, gang, service] = counts;
    assert!((8_900..9_100).contains(&ordinary), "{counts:?}");
    assert!((430..570).contains(&once), "{counts:?}");
    assert!((330..470).contains(&batch), "{counts:?}");
    assert!((60..150).contains(&gang), "{counts:?}");
    assert_eq!(service, 0);
}
