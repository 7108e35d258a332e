//! Histograms of what was measured.

use std::{
    fmt,
    time::Duration, //
};

use hdrhistogram::Histogram;
use serde::Serialize;

/// The digits that every value keeps.
const DIGITS: u8 = 3;
/// The longest span that is told apart from longer ones, in microseconds: an hour.
const LONGEST: u64 = 3_600_000_000;

/// A histogram of spans of time, in microseconds.
#[derive(Clone, Debug)]
pub struct Spans(Histogram<u64>);

/// The quantiles of a histogram, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Summary {
    /// How many values there were.
    pub count: u64,
    /// Half of the values are at most this.
    pub p50_micros: u64,
    /// 99 of 100 values are at most this.
    pub p99_micros: u64,
    /// 999 of 1,000 values are at most this.
    pub p999_micros: u64,
    /// The largest value.
    pub max_micros: u64,
}

impl Spans {
    /// Takes in one value.
    pub fn record(&mut self, span: Duration) {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        self.0.saturating_record(micros);
    }

    /// Returns the quantiles.
    pub fn summary(&self) -> Summary {
        if self.0.is_empty() {
            return Summary::default();
        }
        Summary {
            count: self.0.len(),
            p50_micros: self.0.value_at_quantile(0.5),
            p99_micros: self.0.value_at_quantile(0.99),
            p999_micros: self.0.value_at_quantile(0.999),
            max_micros: self.0.max(),
        }
    }
}

impl Default for Spans {
    fn default() -> Self {
        let histogram = Histogram::new_with_max(LONGEST, DIGITS);
        let histogram = histogram.expect("the bounds are in range");
        Self(histogram)
    }
}

impl fmt::Display for Summary {
    /// Writes the quantiles in milliseconds.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.count == 0 {
            return write!(f, "{:>9} {:>9} {:>9} {:>9}", "-", "-", "-", "-");
        }
        let columns = [
            self.p50_micros,
            self.p99_micros,
            self.p999_micros,
            self.max_micros,
        ];
        for (place, micros) in columns.into_iter().enumerate() {
            let space = if place > 0 { " " } else { "" };
            write!(f, "{space}{:>5}.{:03}", micros / 1_000, micros % 1_000)?;
        }
        Ok(())
    }
}
