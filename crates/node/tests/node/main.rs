//! Whole nodes on loopback over a platform in memory.

mod service;
mod support;
mod view;
