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
            desk.finish(&node, STEP, now);
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
