//! How long owners go on without the store, and how soon their successors know that they have stopped.

use rstest::rstest;

use crate::world::{
    World,
    millis, //
};

/// In this time one node owns the cell, has voters, and all nodes vote.
const START_PERIOD: u64 = millis(7_000);
const SEEDS: u64 = 8;

/// Returns a cell with an owner that all other nodes vote on.
fn settled(seed: u64, size: usize) -> (World, usize, Vec<usize>) {
    let mut world = World::new(seed, size);
    world.run(START_PERIOD);
    let (owner, claim) = world.settled_owner().unwrap();
    let voters = world.voters(claim);
    assert_eq!(voters.len(), size - 1);
    (world, owner, voters)
}

fn assert_no_violations(world: &World) {
    assert_eq!(world.violations, Vec::<String>::new());
}

/// With the votes of half of the others, the owner goes on; some are dead, cut off or started again.
#[rstest]
fn an_owner_goes_on_without_the_store_while_half_of_its_voters_answer(
    #[values(2, 3, 4, 5, 6, 7, 8, 9)] size: usize,
) {
    for seed in 0..SEEDS {
        let (mut world, owner, voters) = settled(seed, size);
        world.cut_store_for_all();
        world.lose_some(&voters[..voters.len() / 2]);
        for _ in 0..200 {
            world.run(millis(100));
            assert!(world.acts(owner), "seed {seed} at {}", world.now);
        }
        assert_no_violations(&world);
    }
}

/// Without them, and without the store, the lease ends with the last confirmation.
#[rstest]
fn an_owner_stops_without_the_store_when_fewer_answer(
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9)] size: usize,
) {
    for seed in 0..SEEDS {
        let (mut world, owner, voters) = settled(seed, size);
        world.cut_store_for_all();
        world.cut_power_of(&voters[..voters.len().min(voters.len() / 2 + 1)]);
        world.run(millis(1_300));
        assert!(!world.acts(owner), "seed {seed}");
        assert_no_violations(&world);
    }
}

/// The successor reaches no more of the former electorate than it needs.
#[rstest]
#[case::two_nodes(2, 0)]
#[case::three_nodes(3, 0)]
#[case::four_nodes(4, 1)]
#[case::five_nodes(5, 1)]
#[case::six_nodes(6, 2)]
#[case::seven_nodes(7, 2)]
#[case::eight_nodes(8, 3)]
#[case::nine_nodes(9, 3)]
fn a_successor_fences_an_owner_without_power(#[case] size: usize, #[case] lost: usize) {
    for seed in 0..SEEDS {
        let (mut world, owner, voters) = settled(seed, size);
        let began = world.now;
        world.cut_power_of(&[owner]);
        world.cut_power_of(&voters[..lost]);
        let until = began + millis(8_000);
        while world.settled_owner().is_none() && world.now < until {
            world.run(millis(20));
        }
        assert!(world.settled_owner().is_some(), "seed {seed}");
        let took = world.fencing_time().unwrap();
        assert!(took <= millis(1_000), "seed {seed}: {took} us");
        assert_no_violations(&world);
    }
}

/// With one voter fewer, nothing shows that the former owner has stopped.
#[rstest]
fn a_successor_that_reaches_too_few_waits(#[values(4, 5, 6, 7, 8, 9)] size: usize) {
    let (mut world, owner, voters) = settled(1, size);
    let blocking = (voters.len() + 1) - voters.len().div_ceil(2);
    world.cut_power_of(&[owner]);
    world.cut_power_of(&voters[..voters.len() + 1 - blocking]);
    world.run(millis(10_000));
    assert!(world.settled_owner().is_none());
    assert_no_violations(&world);
}

/// The former owner started just before it claimed the cell, and the successor still takes its address to refuse
/// connections.
#[test]
fn a_refused_connection_from_before_an_ownership_does_not_fence_it() {
    for seed in 0..300 {
        let (mut world, owner, _) = settled(seed, 5);
        world.restart_later(owner, millis(20 + seed % 10 * 30));
        let until = world.now + millis(3_000);
        while world.now < until {
            world.run(millis(1));
            if let Some(successor) = world.successor_of(owner) {
                world.split_between(owner, successor);
                break;
            }
        }
        world.run(millis(5_000));
        assert!(
            world.violations.is_empty(),
            "seed {seed}: {:?}",
            world.violations
        );
    }
}
