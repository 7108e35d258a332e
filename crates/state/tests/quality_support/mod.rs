//! Seeded inputs, a virtual clock and two baselines, to measure the quality of decisions.

#![expect(dead_code, reason = "each test file uses the parts that it needs")]

pub(crate) mod baseline;
pub(crate) mod driver;
pub(crate) mod input;
pub(crate) mod report;
