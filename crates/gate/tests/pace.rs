//! The pace of the exchanges with a sched: prompt after a pause, slower while a shortage lasts.

use std::time::Duration;

use fulmarpier_gate::control::{
    Pace,
    Turn, //
};
use tokio::time::Instant;

const TAKES: Duration = Duration::from_millis(1);

/// Asks without end for so long, and returns when each exchange began, in milliseconds; the last one
/// was asked for within that time and began behind it.
fn shortage(pace: &mut Pace, start: Instant, span: Duration) -> Vec<u128> {
    let mut now = start;
    let mut began = Vec::new();
    while now < start + span {
        match pace.ask(now) {
            Turn::Now => {}
            Turn::At(due) => {
                now = due;
                assert_eq!(pace.due(now), Turn::Now);
            }
            Turn::Later => unreachable!("each exchange ends before the next is asked for"),
        }
        began.push((now - start).as_millis());
        now += TAKES;
        assert!(!pace.end());
    }
    began
}

#[test]
fn a_lasting_shortage_slows_the_exchanges_down() {
    let mut pace = Pace::new();
    let began = shortage(&mut pace, Instant::now(), Duration::from_millis(400));
    assert_eq!(began, [0, 5, 15, 35, 75, 155, 235, 315, 395, 475]);
}

#[test]
fn after_a_pause_the_first_exchange_is_prompt_again() {
    let mut pace = Pace::new();
    let start = Instant::now();
    shortage(&mut pace, start, Duration::from_millis(400));
    let later = start + Duration::from_secs(2);
    let began = shortage(&mut pace, later, Duration::from_millis(10));
    assert_eq!(began, [0, 5, 15]);
}

#[test]
fn one_exchange_is_under_way_at_a_time() {
    let mut pace = Pace::new();
    let now = Instant::now();
    assert_eq!(pace.ask(now), Turn::Now);
    assert_eq!(pace.ask(now), Turn::Later);
    assert!(pace.end(), "another was asked for meanwhile");
    assert!(matches!(pace.ask(now), Turn::At(_)));
    assert_eq!(pace.ask(now), Turn::Later, "its time was given out");
}
