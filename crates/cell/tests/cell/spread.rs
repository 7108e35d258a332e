//! Over how many partitions jobs are spread: few in a small cell, and in a large one all, until long after it has shrunk.

use fulmarpier_cell::spread::Spread;

/// How often an owner renews its claim in 10 s.
const TEN_SECONDS: usize = 33;

#[test]
fn a_small_cell_keeps_to_the_first_partitions() {
    let mut spread = Spread::default();
    for nodes in [1, 7, 16] {
        spread = spread.renew(nodes);
        assert!(!spread.is_wide() && !spread.may_be_wide());
    }
}

#[test]
fn nodes_narrow_some_time_after_the_cell_has_shrunk_and_the_owner_stops_reading_long_after_that() {
    let mut spread = Spread::default().renew(17);
    assert!(spread.is_wide() && spread.may_be_wide());
    // All nodes are restarted at once, and greet the next owner one by one.
    for _ in 0..2 * TEN_SECONDS {
        spread = spread.renew(1);
    }
    assert!(spread.is_wide());
    while spread.is_wide() {
        spread = spread.renew(16);
    }
    for _ in 0..2 * TEN_SECONDS {
        spread = spread.renew(16);
    }
    assert!(spread.may_be_wide(), "a node may not have heard of it");
    for _ in 0..2 * TEN_SECONDS {
        spread = spread.renew(16);
    }
    assert!(!spread.may_be_wide());
}
