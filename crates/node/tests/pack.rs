//! How items are divided over calls.

use fulmarpier_node::pack::pack;
use proptest::prelude::*;

proptest! {
    /// Guards against calls that the receiver refuses for their size, and items that are lost or change their order.
    #[test]
    fn calls_keep_to_their_size_and_all_items_to_their_order(
        sizes in prop::collection::vec(0usize..300, 0..60),
        call_bytes in 1usize..400,
    ) {
        let calls = pack(sizes.clone(), call_bytes, |size| *size);
        prop_assert_eq!(calls.concat(), sizes);
        for call in &calls {
            let size: usize = call.iter().sum();
            prop_assert!(!call.is_empty() && (size <= call_bytes || call.len() == 1), "{:?}", call);
        }
        // No two neighbours would fit into one call.
        let sums: Vec<usize> = calls.iter().map(|call| call.iter().sum()).collect();
        let firsts = calls.iter().skip(1).map(|call| call[0]);
        let mut fitting = sums.iter().zip(firsts).map(|(sum, first)| sum + first <= call_bytes);
        prop_assert!(!fitting.any(|fits| fits), "{:?}", calls);
    }
}
