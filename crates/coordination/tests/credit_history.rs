//! Whatever is lost, late, doubled or dead, no target gets more requests than it has slots.

#[path = "support/cases.rs"]
mod cases;
mod credit_world;

use proptest::prelude::*;

use self::credit_world::{
    World,
    op, //
};

proptest! {
    #![proptest_config(ProptestConfig { cases: cases::config().cases.max(256), ..cases::config() })]

    #[test]
    fn requests_in_flight_never_exceed_slots(
        slots in prop::collection::vec(1..5_u16, 1..4),
        ops in prop::collection::vec(op(), 1..250),
    ) {
        let mut world = World::new(&slots);
        for op in ops {
            world.run(op);
            world.check()?;
        }
    }

    #[test]
    fn every_slot_is_of_use_again_after_the_faults(
        slots in prop::collection::vec(1..5_u16, 1..4),
        ops in prop::collection::vec(op(), 1..120),
    ) {
        let mut world = World::new(&slots);
        for op in ops {
            world.run(op);
        }
        world.heal();
        world.check()?;
        for (target, _) in &world.targets {
            prop_assert_eq!(world.ledger.doubtful(target.id), 0, "{}", world.ledger);
        }
    }
}
