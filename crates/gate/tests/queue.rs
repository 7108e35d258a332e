//! The waiting queue: fair between teams, earliest deadline first inside, bounded.

use std::time::Duration;

use fulmarpier_gate::wait::{
    Estimate,
    Full,
    Limits,
    Queue, //
};
use fulmarpier_state::{
    clock::Timestamp,
    name::Team, //
};
use rstest::rstest;

const LIMITS: Limits = Limits { total: 8, team: 6 };

fn team(name: &str) -> Team {
    name.parse().expect("the name is well formed")
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn drain(queue: &mut Queue<u32>) -> Vec<u32> {
    std::iter::from_fn(|| queue.pop().map(|(_, item)| item)).collect()
}

#[test]
fn the_earliest_deadline_of_a_team_goes_first() {
    let mut queue = Queue::new(LIMITS);
    for (deadline, item) in [(30, 3), (10, 1), (20, 2), (10, 11)] {
        queue.push(&team("a"), 1, at(deadline), item).unwrap();
    }
    assert_eq!(drain(&mut queue), [1, 11, 2, 3]);
}

#[rstest]
#[case::equal(1, 1, &[100, 0, 101, 1, 102, 2, 3, 4])]
#[case::weighted(1, 3, &[100, 0, 101, 102, 1, 2, 3, 4])]
fn teams_share_by_weight(#[case] flood: u32, #[case] small: u32, #[case] expected: &[u32]) {
    let mut queue = Queue::new(LIMITS);
    for item in 0..5 {
        queue.push(&team("b"), flood, at(10), item).unwrap();
    }
    for item in 100..103 {
        queue.push(&team("a"), small, at(99), item).unwrap();
    }
    assert_eq!(drain(&mut queue), expected);
}

#[test]
fn an_idle_team_saves_up_no_claim() {
    let mut queue = Queue::new(Limits {
        total: 90,
        team: 90,
    });
    for item in 0..40 {
        queue.push(&team("a"), 1, at(10), item).unwrap();
    }
    for _ in 0..30 {
        queue.pop();
    }
    for item in 100..110 {
        queue.push(&team("b"), 1, at(10), item).unwrap();
    }
    let next: Vec<u32> = drain(&mut queue).into_iter().take(6).collect();
    let of_b = next.iter().filter(|item| **item >= 100).count();
    assert_eq!(of_b, 3);
}

#[test]
fn a_full_line_turns_its_own_team_away() {
    let mut queue = Queue::new(LIMITS);
    for item in 0..6 {
        queue.push(&team("a"), 1, at(10), item).unwrap();
    }
    let error = queue.push(&team("a"), 1, at(1), 9).unwrap_err();
    assert_eq!(error, Full::Team { limit: 6 });
    assert_eq!(queue.len(), 6);
}

#[test]
fn a_flood_makes_room_for_others_but_not_for_itself() {
    let mut queue = Queue::new(LIMITS);
    for item in 0..6_u32 {
        let deadline = at(10 + u64::from(item));
        queue.push(&team("flood"), 1, deadline, item).unwrap();
    }
    queue.push(&team("a"), 1, at(10), 100).unwrap();
    queue.push(&team("b"), 1, at(10), 200).unwrap();
    let pushed = queue.push(&team("c"), 1, at(10), 300).unwrap();
    assert_eq!(pushed.displaced, Some(5));
    let error = queue.push(&team("flood"), 1, at(1), 9).unwrap_err();
    assert_eq!(error, Full::Total { limit: 8 });
    assert_eq!(queue.len(), 8);
}

#[test]
fn a_cancelled_item_is_gone_once() {
    let mut queue = Queue::new(LIMITS);
    let first = queue.push(&team("a"), 1, at(10), 1).unwrap().ticket;
    queue.push(&team("b"), 1, at(10), 2).unwrap();
    assert_eq!(queue.cancel(&first), Some(1));
    assert_eq!(queue.cancel(&first), None);
    assert_eq!(drain(&mut queue), [2]);
    assert!(queue.is_empty());
}

#[test]
fn the_items_ahead_follow_deadline_and_share() {
    let mut queue = Queue::new(LIMITS);
    for item in 0..5 {
        queue.push(&team("flood"), 1, at(10), item).unwrap();
    }
    queue.push(&team("a"), 1, at(10), 100).unwrap();
    assert_eq!(queue.ahead(&team("a"), 1, at(5)), 1);
    assert_eq!(queue.ahead(&team("a"), 1, at(20)), 3);
    assert_eq!(queue.ahead(&team("flood"), 1, at(20)), 6);
}

#[rstest]
#[case::no_slots(0, None)]
#[case::one_slot(1, Some(40))]
#[case::four_slots(4, Some(10))]
fn the_wait_grows_with_the_queue_and_shrinks_with_slots(
    #[case] slots: usize,
    #[case] expected: Option<u64>,
) {
    let mut estimate = Estimate::default();
    assert_eq!(estimate.wait(3, 4), None);
    estimate.record(Duration::from_millis(10));
    let wait = estimate.wait(3, slots);
    assert_eq!(wait, expected.map(Duration::from_millis));
}
