//! Ids as text and in both kinds of formats.

use fulmarpier_state::id::{
    DataCentreId,
    Epoch,
    JobId,
    Offset,
    ParseError,
    RackId,
    TaskId,
    WorkerId, //
};
use proptest::prelude::*;
use rstest::rstest;

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::with_cases(256)
    })]

    #[test]
    fn text_reads_back_as_the_same_id(number in any::<u64>(), bits in any::<u128>()) {
        let worker = WorkerId(u32::try_from(number >> 32).expect("32 bits"));
        prop_assert_eq!(worker.to_string().parse(), Ok(worker));
        let centre = DataCentreId(u16::try_from(number >> 48).expect("16 bits"));
        prop_assert_eq!(centre.to_string().parse(), Ok(centre));
        prop_assert_eq!(Epoch(number).to_string().parse(), Ok(Epoch(number)));
        let task = TaskId::new(JobId::from_u128(bits), worker.get());
        prop_assert_eq!(task.to_string().parse(), Ok(task));
    }

    #[test]
    fn json_reads_back_as_the_same_id(index in any::<u32>(), bits in any::<u128>()) {
        let task = TaskId::new(JobId::from_u128(bits), index);
        let json = serde_json::to_string(&(task, WorkerId(index))).expect("strings");
        let back: (TaskId, WorkerId) = serde_json::from_str(&json).expect("the same");
        prop_assert_eq!(back, (task, WorkerId(index)));
    }
}

#[rstest]
#[case::other_kind("r17")]
#[case::bare("17")]
#[case::empty("")]
fn the_prefix_tells_the_kind(#[case] text: &str) {
    let error = text.parse::<WorkerId>().expect_err("not a worker");
    assert!(matches!(error, ParseError::Prefix { prefix: "w", .. }));
}

#[rstest]
#[case::nothing("w")]
#[case::letters("wx")]
#[case::negative("w-1")]
#[case::too_large("w4294967296")]
fn the_number_is_in_range(#[case] text: &str) {
    let error = text.parse::<WorkerId>().expect_err("not a worker");
    assert!(matches!(error, ParseError::Number { prefix: "w", .. }));
}

#[rstest]
#[case::no_index("00000000-0000-0000-0000-000000000001")]
#[case::no_job("/3")]
#[case::bad_index("00000000-0000-0000-0000-000000000001/x")]
fn a_task_is_a_job_and_an_index(#[case] text: &str) {
    let error = text.parse::<TaskId>().expect_err("not a task");
    assert!(matches!(error, ParseError::Uuid { .. }));
}

#[test]
fn ids_show_their_kind() {
    let task = TaskId::new(JobId::from_u128(7), 3);
    insta::assert_snapshot!(task, @"00000000-0000-0000-0000-000000000007/3");
    insta::assert_snapshot!(RackId(4), @"r4");
    insta::assert_snapshot!(DataCentreId(2), @"dc2");
    insta::assert_snapshot!(Offset(17).next(), @"o18");
    assert_eq!(Offset(u64::MAX).next(), Offset(u64::MAX));
}
