//! The bounds on what a gate takes on at once.

use fulmarpier_gate::load::Load;
use fulmarpier_state::{
    refusal::Reason,
    unit::Bytes, //
};
use fulmarpier_transport::bound::Bound;

#[test]
fn a_bound_is_never_passed_and_gives_back_what_was_taken() {
    let bound = Bound::new(10);
    let mut first = bound.take(4).unwrap();
    let second = bound.take(5).unwrap();
    assert!(bound.take(2).is_none());
    assert!(!first.grow(2));
    assert!(first.grow(1));
    assert_eq!(bound.used(), 10);
    drop(first);
    assert_eq!(bound.used(), 5);
    drop(second);
    assert_eq!(bound.used(), 0);
}

#[test]
fn a_sum_that_overflows_is_refused() {
    let bound = Bound::new(u64::MAX);
    let _all = bound.take(u64::MAX).unwrap();
    assert!(bound.take(1).is_none());
}

#[test]
fn a_full_gate_refuses_with_a_time_to_come_back() {
    let load = Load::new(1, Bytes(0));
    let call = load.enter().unwrap();
    let refusal = load.enter().map(drop).unwrap_err();
    assert_eq!(refusal.reason, Reason::QueueFull);
    assert!(refusal.retry_after.is_some());
    drop(call);
    assert!(load.enter().is_ok());
}
