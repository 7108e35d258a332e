//! Random histories: no two nodes may start work in one shard at once.

use fulmarpier_state::id::NodeId;
use proptest::{
    prelude::*,
    test_runner::{
        Config,
        FileFailurePersistence,
        RngSeed, //
    },
};
use rstest::rstest;

use crate::cell::{
    Cell,
    Fault,
    Mode,
    SECOND, //
};

/// The histories of a run that names no other number.
const CASES: u32 = 200;

/// How long faults go on.
const TROUBLE: u64 = 25 * SECOND;

/// How long after the last fault every shard must be in use again.
const RECOVERY: u64 = 15 * SECOND;

/// The same histories on every run, unless the environment asks for others or more.
fn config() -> Config {
    let mut config = Config {
        failure_persistence: Some(Box::new(FileFailurePersistence::WithSource("regressions"))),
        ..Config::default()
    };
    if std::env::var_os("PROPTEST_CASES").is_none() {
        config.cases = CASES;
    }
    if std::env::var_os("PROPTEST_RNG_SEED").is_none() {
        config.rng_seed = RngSeed::Fixed(17);
    }
    config
}

fn mode() -> impl Strategy<Value = Mode> {
    prop_oneof![
        3 => Just(Mode::Up),
        2 => Just(Mode::Denied),
        2 => Just(Mode::Hung),
        1 => Just(Mode::Slow),
    ]
}

fn fault(nodes: u32) -> impl Strategy<Value = Fault> {
    let node = move || (1..=nodes).prop_map(NodeId);
    prop_oneof![
        4 => (node(), 0..8 * SECOND).prop_map(|(node, span)| Fault::Pause(node, span)),
        3 => (node(), any::<bool>()).prop_map(|(node, vm)| Fault::Kill { node, vm }),
        4 => node().prop_map(Fault::Start),
        6 => (node(), mode()).prop_map(|(node, mode)| Fault::LogFor(node, mode)),
        2 => mode().prop_map(Fault::Log),
        5 => (node(), node()).prop_map(|(one, other)| Fault::Cut(one, other)),
        1 => Just(Fault::JoinAll),
        1 => (0..60_u64).prop_map(Fault::LoseAnswers),
        1 => (0..60_u64).prop_map(Fault::LoseQuestions),
        1 => Just(Fault::Truncate),
        1 => (0..60 * SECOND).prop_map(Fault::Lag),
        1 => node().prop_map(Fault::Drain),
    ]
}

fn history() -> impl Strategy<Value = (u32, u64, Vec<(u64, Fault)>)> {
    (3..=5_u32).prop_flat_map(|nodes| {
        let faults = prop::collection::vec((0..TROUBLE, fault(nodes)), 0..30);
        (Just(nodes), any::<u64>(), faults)
    })
}

/// Ends all faults and restarts every node.
fn mend(cell: &mut Cell, nodes: u32) {
    cell.fault(TROUBLE, Fault::Log(Mode::Up));
    cell.fault(TROUBLE, Fault::LoseAnswers(0));
    cell.fault(TROUBLE, Fault::LoseQuestions(0));
    cell.fault(TROUBLE, Fault::JoinAll);
    cell.fault(TROUBLE, Fault::Lag(0));
    for node in (1..=nodes).map(NodeId) {
        cell.fault(TROUBLE, Fault::Kill { node, vm: false });
        cell.fault(TROUBLE + 1, Fault::Start(node));
    }
}

fn all_in_use(cell: &Cell) -> bool {
    let mut shards = cell.all_shards();
    shards.all(|shard| cell.starters(shard).len() == 1)
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn no_two_nodes_start_in_one_shard((nodes, seed, faults) in history()) {
        let mut cell = Cell::new(nodes, 3, seed);
        for (at, fault) in faults {
            cell.fault(at, fault);
        }
        mend(&mut cell, nodes);
        let mut now = TROUBLE + SECOND;
        cell.run_until(now);
        while !all_in_use(&cell) && now < TROUBLE + RECOVERY {
            now += SECOND / 4;
            cell.run_until(now);
        }
        prop_assert!(cell.overlaps.is_empty(), "{:?}", &cell.overlaps[..1]);
        prop_assert!(all_in_use(&cell), "not all shards are in use again");
    }
}

/// Histories that failed once, shrunk.
#[rstest]
#[case::an_owner_that_had_not_read_its_claim_said_that_it_held_nothing(
    2_689_451_245_043_815_337,
    vec![
        (83_215, Fault::Pause(NodeId(1), 2_205_220)),
        (24_577, Fault::Pause(NodeId(3), 2_501_122)),
    ]
)]
#[case::a_voucher_was_forgotten_when_the_list_dropped_it(
    11_592_301_874_473_344_370,
    vec![
        (2_526_153, Fault::LogFor(NodeId(1), Mode::Denied)),
        (8_979_034, Fault::Kill { node: NodeId(1), vm: true }),
        (1_182_326, Fault::Pause(NodeId(3), 4_138_151)),
        (2_533_734, Fault::LoseQuestions(32)),
        (5_973_125, Fault::LogFor(NodeId(2), Mode::Denied)),
        (2_658_316, Fault::Pause(NodeId(1), 2_088_834)),
        (2_028_674, Fault::Truncate),
    ]
)]
fn a_history_that_failed_once_holds(#[case] seed: u64, #[case] faults: Vec<(u64, Fault)>) {
    let mut cell = Cell::new(3, 3, seed);
    for (at, fault) in faults {
        cell.fault(at, fault);
    }
    cell.run_until(TROUBLE);
    assert_eq!(cell.overlaps, []);
}
