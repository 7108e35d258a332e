//! Whole nodes on loopback over a platform in memory.

mod history;
mod review;
mod service;
mod support;
mod view;
