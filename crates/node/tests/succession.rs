//! The choice of the next owner, and the conditions under which an owner hands the cell over.

use std::time::Duration;

use fulmarpier_cell::id::NodeName;
use fulmarpier_node::{
    succession::{
        Hello,
        Lag,
        Pace,
        Reason,
        choose_successor,
        is_slow,
        outranks,
        silent_since,
        strength, //
    },
    supplement,
};
use fulmarpier_state::unit::{
    Bandwidth,
    Millicores, //
};
use rstest::rstest;
use tokio::time::Instant;

const MILLISECOND: Duration = Duration::from_millis(1);
/// The time of the computation by which nodes measure the speed of their machines.
const PROBE: Duration = Duration::from_micros(20);
const SECOND: Duration = Duration::from_secs(1);

fn hello(name: &str, strength: u32, age: u64, lag: u64) -> Hello {
    Hello {
        node: NodeName::from(name),
        address: ([127, 0, 0, 1], 1).into(),
        incarnation: 1,
        strength: Millicores(strength),
        descriptors: 4_096,
        may_own: true,
        age: Duration::from_secs(age),
        pace: Pace {
            lag: Duration::from_millis(lag),
            probe: PROBE,
        },
    }
}

fn chosen(own: u32, lag: u64, reason: Reason, hellos: &[Hello]) -> Option<&str> {
    let pace = Pace {
        lag: Duration::from_millis(lag),
        probe: PROBE,
    };
    choose_successor(Millicores(own), pace, reason, hellos).map(|hello| hello.node.as_str())
}

#[rstest]
#[case::equal(250, 250, false)]
#[case::both_unknown(0, 0, false)]
#[case::a_little_stronger(300, 250, false)]
#[case::half_as_much_again(375, 250, true)]
#[case::against_nothing(1, 0, true)]
#[case::weaker(120, 500, false)]
fn only_a_much_stronger_node_outranks(
    #[case] one: u32,
    #[case] other: u32,
    #[case] expected: bool,
) {
    assert_eq!(outranks(Millicores(one), Millicores(other)), expected);
}

/// The arguments are times in milliseconds: when the claim as it stands was first read, when the owner last answered,
/// and when the last outage of the store ended.
#[rstest]
#[case::renewed_since(500, 300, 0, 300)]
#[case::seen_before_the_last_answer(100, 300, 0, 100)]
#[case::outage_after_both(100, 300, 4_000, 4_000)]
#[case::outage_before_both(4_300, 4_100, 4_000, 4_100)]
fn an_outage_does_not_count_as_silence_of_the_owner(
    #[case] first_seen: u64,
    #[case] last_answered: u64,
    #[case] outage_ended: u64,
    #[case] expected: u64,
) {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let since = silent_since(at(first_seen), at(last_answered), at(outage_ended));
    assert_eq!(since, at(expected));
}

#[rstest]
#[case::a_wide_link(500, 200, 500)]
#[case::a_narrow_link(500, 10, 50)]
#[case::a_small_processor(120, 1_000, 120)]
fn the_scarcer_resource_limits_the_strength_of_a_node(
    #[case] processor: u32,
    #[case] link: u64,
    #[case] expected: u32,
) {
    let link = Bandwidth::from_megabits(link);
    assert_eq!(strength(Millicores(processor), link), Millicores(expected));
}

#[test]
fn a_weak_owner_hands_over_only_to_a_much_stronger_node() {
    let weak = [hello("weak", 50, 9, 0), hello("equal", 50, 1, 0)];
    assert_eq!(chosen(50, 0, Reason::Outranked, &weak), None);
    let mixed = [
        hello("weak", 50, 1, 0),
        hello("middling", 120, 1, 0),
        hello("strong", 500, 9, 0),
    ];
    assert_eq!(chosen(50, 0, Reason::Outranked, &mixed), Some("strong"));
}

#[test]
fn a_slow_owner_hands_over_only_to_a_prompt_node_of_equal_strength() {
    let slow = hello("slow", 250, 9, 90);
    let weak = hello("weak", 60, 9, 1);
    let prompt = hello("prompt", 250, 9, 1);
    assert_eq!(
        chosen(250, 200, Reason::Slow, &[slow.clone(), weak.clone()]),
        None
    );
    assert_eq!(
        chosen(250, 200, Reason::Slow, &[slow, weak, prompt]),
        Some("prompt")
    );
}

/// The arguments are how late the timers of the owner and of an idle node are, in milliseconds, and how long the probe of
/// speed takes there, in microseconds.
#[rstest]
#[case::as_fast(0, 20, 0, 20, false)]
#[case::busy_but_as_fast(20, 25, 1, 20, false)]
#[case::on_a_slow_machine(5, 110, 1, 20, true)]
#[case::a_little_slower(5, 50, 1, 20, false)]
#[case::gets_its_processor_late(60, 20, 1, 20, true)]
#[case::both_get_it_late(60, 20, 30, 20, false)]
#[case::late_and_as_slow_as_the_other(60, 110, 1, 100, true)]
#[case::the_other_is_not_measured(5, 110, 1, 0, false)]
#[case::not_measured(0, 0, 0, 0, false)]
fn only_a_slow_machine_hands_over_for_slowness_and_not_a_busy_one(
    #[case] own_lag: u64,
    #[case] own_probe: u64,
    #[case] lag: u64,
    #[case] probe: u64,
    #[case] expected: bool,
) {
    let pace = |lag, probe| Pace {
        lag: Duration::from_millis(lag),
        probe: Duration::from_micros(probe),
    };
    let other = Hello {
        pace: pace(lag, probe),
        ..hello("other", 250, 9, 0)
    };
    let others = [other];
    let chosen = choose_successor(
        Millicores(250),
        pace(own_lag, own_probe),
        Reason::Slow,
        &others,
    );
    assert_eq!(chosen.is_some(), expected);
}

#[test]
fn a_leaving_owner_prefers_the_node_that_was_restarted_last() {
    let restarted = hello("restarted", 250, 3, 1);
    let old = hello("old", 250, 40, 1);
    let weak = hello("weak", 60, 1, 1);
    let leaving = Hello {
        may_own: false,
        ..hello("leaving", 250, 1, 1)
    };
    let all = [old, leaving.clone(), weak, restarted];
    assert_eq!(chosen(250, 1, Reason::Leaving, &all), Some("restarted"));
    assert_eq!(chosen(250, 1, Reason::Leaving, &[leaving]), None);
}

#[test]
fn load_that_delays_some_probes_doesn_t_make_a_machine_slow() {
    let mut probes = Lag::default();
    for nth in 0..40 {
        let delayed = if nth % 3 == 0 { 1 } else { 8 };
        probes.record(delayed * MILLISECOND);
        let expected = if nth < 3 { 0 } else { 1 };
        assert_eq!(probes.smallest(), expected * MILLISECOND);
    }
    for _ in 0..4 {
        probes.record(6 * MILLISECOND);
    }
    assert_eq!(probes.smallest(), 6 * MILLISECOND);
}

/// When a machine becomes slow, events wait longer and longer. The owner must notice this in time.
#[test]
fn a_machine_that_becomes_slow_is_noticed_within_half_a_second() {
    let mut lag = Lag::default();
    for _ in 0..200 {
        lag.record(5 * MILLISECOND);
    }
    let tick = 25 * MILLISECOND;
    let mut waited = 5 * MILLISECOND;
    let mut after = Duration::ZERO;
    while !is_slow(lag.median(), 10 * SECOND, 0) {
        // The load is four times the capacity, so each tick leaves three quarters of its work undone.
        waited += tick * 3 / 4;
        after += tick;
        lag.record(waited);
    }
    assert!(after <= 500 * MILLISECOND, "noticed after {after:?}");
}

#[test]
fn neither_a_single_late_event_nor_a_recent_takeover_counts_as_slowness() {
    let mut lag = Lag::default();
    lag.record(400 * MILLISECOND);
    assert!(!is_slow(lag.median(), 10 * SECOND, 0));
    for _ in 0..40 {
        lag.record(400 * MILLISECOND);
    }
    assert!(!is_slow(lag.median(), SECOND, 0));
    assert!(is_slow(lag.median(), 10 * SECOND, 0));
}

/// A backlog makes every owner slow, whichever node it is. The cell must not be handed over every two seconds then.
#[test]
fn a_cell_whose_owners_are_all_slow_is_handed_over_at_growing_intervals() {
    let lag = Duration::from_millis(60);
    let mut now = Duration::ZERO;
    let mut changes = Vec::new();
    while now < 60 * SECOND {
        let slow_owners = u8::try_from(changes.len()).unwrap();
        let owned = (1u32..).map(|n| Duration::from_millis(100) * n);
        now += owned
            .into_iter()
            .find(|owned| is_slow(lag, *owned, slow_owners))
            .unwrap();
        changes.push(now.as_secs());
    }
    assert_eq!(changes, [2, 6, 14, 30, 62]);
}

/// A hello of an earlier build ends where the present one goes on with the probe of speed.
#[test]
fn a_hello_of_an_earlier_build_is_read_as_one_without_a_measure() {
    let sent = hello("one", 250, 9, 3);
    let former = postcard::to_stdvec(&sent).unwrap();
    let present = supplement::append_probe(former.clone(), &sent).unwrap();
    for (message, probe) in [(former, Duration::ZERO), (present, PROBE)] {
        let (mut read, following) = postcard::take_from_bytes::<Hello>(&message).unwrap();
        supplement::restore_probe(following, &mut read);
        assert_eq!(read.pace.probe, probe);
        assert_eq!(
            (read.node, read.pace.lag),
            (sent.node.clone(), sent.pace.lag)
        );
    }
}
