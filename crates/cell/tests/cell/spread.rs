//! The number of partitions that jobs are spread over: few in a small cell, all in a large one and for some time after
//! it has shrunk.

use fulmarpier_cell::spread::Spread;

/// Number of times that an owner renews its claim in 10 s.
const RENEWALS_IN_10_S: usize = 33;

#[test]
fn a_small_cell_uses_only_the_first_partitions() {
    let mut spread = Spread::default();
    for nodes in [1, 7, 16] {
        spread = spread.renew(nodes);
        assert!(!spread.uses_all_partitions() && !spread.may_use_all_partitions());
    }
}

/// Guards against jobs that are lost to a new owner: a node may still write to all partitions for some time after the
/// cell has shrunk, so the owner has to read all of them for longer.
#[test]
fn a_shrunk_cell_stops_writing_to_all_partitions_long_before_its_owner_stops_reading_them() {
    let mut spread = Spread::default().renew(17);
    assert!(spread.uses_all_partitions() && spread.may_use_all_partitions());
    // All nodes restart at once and connect to the next owner one by one.
    for _ in 0..2 * RENEWALS_IN_10_S {
        spread = spread.renew(1);
    }
    assert!(spread.uses_all_partitions());
    while spread.uses_all_partitions() {
        spread = spread.renew(16);
    }
    for _ in 0..2 * RENEWALS_IN_10_S {
        spread = spread.renew(16);
    }
    assert!(
        spread.may_use_all_partitions(),
        "a node may not know of the change yet"
    );
    for _ in 0..2 * RENEWALS_IN_10_S {
        spread = spread.renew(16);
    }
    assert!(!spread.may_use_all_partitions());
}
