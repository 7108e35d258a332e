//! Which nodes ask for advice: long calls leave some to short ones, and as many as those need.

use std::time::Duration;

use fulmarpier_cell::{
    advice::{
        Call,
        Desk, //
    },
    id::{
        JobId,
        NodeName,
        StepId, //
    },
};
use fulmarpier_state::clock::Timestamp;
use rstest::rstest;

const STEP: StepId = StepId {
    job: JobId(1),
    occurrence: 0,
    step: 0,
};

fn desk(nodes: usize) -> Desk {
    let names = (0..nodes).map(|nth| NodeName::from(format!("n{nth}")));
    let mut desk = Desk::default();
    desk.set_hands(&names.collect::<Vec<_>>());
    desk
}

fn begin(desk: &mut Desk, is_long: bool, since: Timestamp) -> Option<NodeName> {
    let node = desk.idle(is_long)?.clone();
    let call = Call {
        step: STEP,
        named: Vec::new(),
        since,
        is_long,
    };
    desk.begin(node.clone(), call);
    Some(node)
}

/// Has so many short calls at a time be out for 10 s, each for 40 ms; returns when that is over.
fn ask_shortly(desk: &mut Desk, at_once: usize) -> Timestamp {
    let span = Duration::from_millis(40);
    let mut now = Timestamp::from_millis(1_000);
    for _ in 0..250 {
        let nodes: Vec<NodeName> = (0..at_once)
            .filter_map(|_| begin(desk, false, now))
            .collect();
        now = now + span;
        for node in nodes {
            desk.finish(&node, STEP, true, now);
        }
    }
    now
}

/// Half of the nodes, as it was, let 44 of 97 stand idle while long calls waited.
#[rstest]
#[case::large_without_short_calls(97, 0, 96)]
#[case::large(97, 5, 86)]
#[case::large_with_many_short_calls(97, 40, 49)]
#[case::small(7, 1, 4)]
#[case::one_node(1, 0, 1)]
fn long_calls_get_all_nodes_but_those_that_short_ones_need(
    #[case] nodes: usize,
    #[case] short: usize,
    #[case] long: usize,
) {
    let mut desk = desk(nodes);
    let now = ask_shortly(&mut desk, short);
    let out = (0..nodes).filter_map(|_| begin(&mut desk, true, now));
    assert_eq!(out.count(), long);
    let is_left = begin(&mut desk, false, now).is_some();
    assert_eq!(is_left, nodes > 1, "a short call finds a node");
}

/// A process that is down fails its calls at once: it must not be the one that is idle whenever others are busy.
#[test]
fn a_node_whose_call_brought_no_answer_is_not_asked_again_at_once() {
    let at = Timestamp::from_millis;
    let mut desk = desk(2);
    let names = [NodeName::from("n0"), NodeName::from("n1")];
    let [first, second] = &names;
    let ask_first = |desk: &mut Desk, is_answered, now| {
        assert_eq!(begin(desk, false, now).as_ref(), Some(first));
        desk.finish(first, STEP, is_answered, now);
    };
    ask_first(&mut desk, false, at(0));
    assert_eq!(desk.idle(false), Some(second));
    assert!(!desk.wake(at(249)));
    // It is known to be there all the while.
    desk.set_hands(&names);
    assert_eq!(desk.idle(false), Some(second));
    assert!(desk.wake(at(250)));
    ask_first(&mut desk, false, at(250));
    assert!(!desk.wake(at(749)));
    assert!(desk.wake(at(750)));
    for nth in 1..5 {
        ask_first(&mut desk, false, at(nth * 1_000));
        assert!(desk.wake(at(nth * 1_000 + 1_000)), "1 s at most");
    }
    ask_first(&mut desk, true, at(9_000));
    ask_first(&mut desk, false, at(9_000));
    assert!(desk.wake(at(9_250)), "an answer ends the row");
}
