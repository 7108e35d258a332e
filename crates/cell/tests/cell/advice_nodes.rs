//! Choice of the nodes that call the advice service: long calls leave as many nodes free as short calls need.

use std::time::Duration;

use fulmarpier_cell::{
    advice::{
        Call,
        Nodes,
        Purpose, //
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

fn idle_nodes(nodes: usize) -> Nodes {
    let names = (0..nodes).map(|nth| NodeName::from(format!("n{nth}")));
    let mut advice_nodes = Nodes::default();
    advice_nodes.set_nodes(&names.collect::<Vec<_>>());
    advice_nodes
}

fn begin(advice_nodes: &mut Nodes, is_long: bool, since: Timestamp) -> Option<NodeName> {
    let node = advice_nodes.idle(is_long)?.clone();
    let call = Call {
        step: STEP,
        asked: Vec::new(),
        since,
        is_long,
        priority: 1,
        purpose: Purpose::First,
        tasks: 1,
        waited: Duration::ZERO,
    };
    advice_nodes.begin(node.clone(), call);
    Some(node)
}

/// Keeps this many short calls in flight for 10 s, each for 40 ms; returns the time at the end.
fn run_short_calls(advice_nodes: &mut Nodes, in_flight: usize) -> Timestamp {
    let span = Duration::from_millis(40);
    let mut now = Timestamp::from_millis(1_000);
    for _ in 0..250 {
        let nodes: Vec<NodeName> = (0..in_flight)
            .filter_map(|_| begin(advice_nodes, false, now))
            .collect();
        now = now + span;
        for node in nodes {
            advice_nodes.finish(&node, STEP, true, now);
        }
    }
    now
}

/// Reserving half of the nodes for short calls would leave 44 of 97 idle while long calls wait.
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
    let mut advice_nodes = idle_nodes(nodes);
    let now = run_short_calls(&mut advice_nodes, short);
    let long_calls = (0..nodes).filter_map(|_| begin(&mut advice_nodes, true, now));
    assert_eq!(long_calls.count(), long);
    let has_free_node = begin(&mut advice_nodes, false, now).is_some();
    assert_eq!(has_free_node, nodes > 1, "a short call finds a free node");
}

/// A node whose process is down fails its calls at once, so it would be idle, and be chosen, whenever others are busy.
#[test]
fn a_node_whose_call_got_no_answer_is_called_again_after_a_backoff() {
    let at = Timestamp::from_millis;
    let mut advice_nodes = idle_nodes(2);
    let names = [NodeName::from("n0"), NodeName::from("n1")];
    let [first, second] = &names;
    let call_first = |advice_nodes: &mut Nodes, is_answered, now| {
        assert_eq!(begin(advice_nodes, false, now).as_ref(), Some(first));
        advice_nodes.finish(first, STEP, is_answered, now);
    };
    call_first(&mut advice_nodes, false, at(0));
    assert_eq!(advice_nodes.idle(false), Some(second));
    assert!(!advice_nodes.end_backoffs(at(249)));
    // Listing the node again doesn't end its backoff.
    advice_nodes.set_nodes(&names);
    assert_eq!(advice_nodes.idle(false), Some(second));
    assert!(advice_nodes.end_backoffs(at(250)));
    call_first(&mut advice_nodes, false, at(250));
    assert!(!advice_nodes.end_backoffs(at(749)));
    assert!(advice_nodes.end_backoffs(at(750)));
    for nth in 1..5 {
        call_first(&mut advice_nodes, false, at(nth * 1_000));
        assert!(
            advice_nodes.end_backoffs(at(nth * 1_000 + 1_000)),
            "the backoff is 1 s at most"
        );
    }
    call_first(&mut advice_nodes, true, at(9_000));
    call_first(&mut advice_nodes, false, at(9_000));
    assert!(
        advice_nodes.end_backoffs(at(9_250)),
        "an answer resets the backoff"
    );
}
