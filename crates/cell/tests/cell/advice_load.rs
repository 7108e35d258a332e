//! What the engine reports of its calls for advice: what they are for, and how long steps wait for a node.

use std::time::Duration;

use fulmarpier_cell::advice::{
    Load,
    Purpose, //
};

use crate::world::{
    Faults,
    World,
    quick_step, //
};

/// The only node makes one call at a time, which takes 28 ms.
#[test]
fn steps_that_want_a_node_are_counted_until_their_calls_begin() {
    let mut world = World::sized(1, Faults::default(), 8, &["a"]);
    world.run(Duration::from_secs(1));
    for _ in 0..4 {
        world.submit("advised-batch", vec![quick_step()]);
    }
    world.run(Duration::from_millis(75));
    let load = world.engine.advice_load(world.now);
    assert_eq!(load.keys().copied().collect::<Vec<_>>(), [0, 1, 2]);
    assert_eq!(load[&0], Load::default());
    assert_eq!(load[&2].busy_nodes, 1);
    assert!(load[&2].waiting_steps > 0);
    assert!(load[&2].longest_wait >= Duration::from_millis(25));
    world.run(Duration::from_secs(1));
    assert_eq!(world.engine.advice_load(world.now)[&2], Load::default());
    let calls = &world.advice_calls;
    let purposes: Vec<Purpose> = calls.iter().map(|call| call.purpose).collect();
    assert_eq!(purposes, [Purpose::First; 4]);
    assert_eq!(calls[0].waited, Duration::ZERO);
    assert!(calls[3].waited > calls[1].waited);
}

/// A step whose tasks fill the workers asks again once its tickets have run out.
#[test]
fn a_call_for_expired_tickets_is_a_renewal() {
    let mut world = World::new(1, Faults::default());
    world.run(Duration::from_secs(1));
    let mut step = quick_step();
    step.count = 100;
    world.submit("advised-batch", vec![step]);
    world.run(Duration::from_secs(10));
    let renewals = world.advice_calls.iter();
    let mut renewals = renewals.filter(|call| call.purpose == Purpose::Renewal);
    assert!(renewals.any(|call| call.tasks > 0));
}
