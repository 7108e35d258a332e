//! A small histogram with buckets of equal ratio.

use std::collections::BTreeMap;

/// Counts of values in buckets whose bounds grow by a quarter of a doubling.
#[derive(Clone, Debug, Default)]
pub(super) struct Sketch {
    counts: BTreeMap<u16, u32>,
    total: u32,
}

impl Sketch {
    /// Counts a value.
    pub(super) fn record(&mut self, value: u64) {
        *self.counts.entry(bucket(value)).or_default() += 1;
        self.total += 1;
    }

    /// Returns how many values were counted.
    pub(super) const fn total(&self) -> u32 {
        self.total
    }

    /// Returns the upper bound of the bucket that holds the quantile, or `None` without values.
    pub(super) fn quantile(&self, percent: u32) -> Option<u64> {
        let rank = (u64::from(self.total) * u64::from(percent)).div_ceil(100);
        let mut seen = 0;
        for (bucket, count) in &self.counts {
            seen += u64::from(*count);
            if seen >= rank {
                return Some(upper(*bucket));
            }
        }
        None
    }
}

/// Returns the bucket of a value: four to each power of two, exact below four.
fn bucket(value: u64) -> u16 {
    let value = value.max(4);
    let log = value.ilog2();
    let part = (value >> (log - 2)) & 3;
    u16::try_from(u64::from(log) * 4 + part).unwrap_or(u16::MAX)
}

/// Returns the largest value of a bucket.
fn upper(bucket: u16) -> u64 {
    let log = u32::from(bucket / 4);
    let part = u64::from(bucket % 4);
    let width = 1_u64 << (log - 2);
    ((4 + part) << (log - 2)) + (width - 1)
}
