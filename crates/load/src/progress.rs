//! The line that a run prints each second.

use std::time::Duration;

use crate::{
    call::{
        Call,
        End, //
    },
    measure::Spans,
};

/// What happened since the last line.
#[derive(Debug)]
pub(crate) struct Progress {
    rate: f64,
    seconds: u64,
    done: u64,
    refused: u64,
    broken: u64,
    latency: Spans,
}

impl Progress {
    /// Starts with nothing; `rate` is what is offered a second.
    pub(crate) fn new(rate: f64) -> Self {
        Self {
            rate,
            seconds: 0,
            done: 0,
            refused: 0,
            broken: 0,
            latency: Spans::default(),
        }
    }

    /// Takes in one call.
    pub(crate) fn note(&mut self, call: &Call) {
        self.done += 1;
        match call.end {
            End::Broken | End::Foreign | End::Vanished | End::Unsent => self.broken += 1,
            _ if call.reason.is_some() => self.refused += 1,
            _ => {}
        }
        self.latency.record(call.latency);
    }

    /// Returns the line for the last second and starts the next one.
    pub(crate) fn line(&mut self) -> String {
        let latency = std::mem::take(&mut self.latency).summary();
        let millis = |micros| Duration::from_micros(micros).as_secs_f64() * 1_000.0;
        let line = format!(
            "{:>4} s  offered {:.0}/s  done {}/s  refused {}  broken {}  p50 {:.2} ms  p99 {:.2} ms",
            self.seconds,
            self.rate,
            self.done,
            self.refused,
            self.broken,
            millis(latency.p50_micros),
            millis(latency.p99_micros)
        );
        self.seconds += 1;
        self.done = 0;
        self.refused = 0;
        self.broken = 0;
        line
    }
}
