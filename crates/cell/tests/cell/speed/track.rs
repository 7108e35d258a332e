//! The remaining time of runs.

use std::time::Duration;

use fulmarpier_cell::speed::{
    Progress,
    Reading,
    Track, //
};
use fulmarpier_state::clock::Timestamp;
use rstest::rstest;

/// Guards against remaining times that are made up, from readings as pairs of the worker's clock in milliseconds and the
/// percentage. The last one arrives a second ago, and each took a second on its way.
#[rstest]
#[case::unknown(&[], None)]
#[case::one_reading(&[(1_000, 10.0)], None)]
#[case::even(&[(1_000, 10.0), (2_000, 30.0)], Some(2_500))]
#[case::nearly_done(&[(1_000, 10.0), (2_000, 90.0)], Some(0))]
#[case::stands_still(&[(1_000, 10.0), (2_000, 10.0)], None)]
#[case::went_back(&[(1_000, 10.0), (2_000, 5.0)], None)]
#[case::clock_stood_still(&[(1_000, 10.0), (1_000, 30.0)], None)]
#[case::clock_went_back(&[(2_000, 10.0), (1_000, 30.0)], None)]
#[case::became_slow(&[(1_000, 0.0), (2_000, 40.0), (3_000, 44.0), (4_000, 48.0)], Some(12_000))]
fn the_remaining_time_follows_from_progress(
    #[case] readings: &[(u64, f64)],
    #[case] expected_ms: Option<u64>,
) {
    let mut track = Track::default();
    let mut now = Timestamp::from_millis(1_000_000);
    for (clock, percent) in readings {
        let reading = Reading {
            clock: *clock,
            progress: Progress::try_from(*percent).unwrap(),
            at: now,
        };
        track.read(reading, None);
        now = now + Duration::from_secs(1);
    }
    let remaining = track.remaining(now);
    assert_eq!(remaining, expected_ms.map(Duration::from_millis));
}
