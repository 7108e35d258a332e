//! Whole nodes on loopback over a platform in memory.

mod history;
mod record;
mod service;
mod support;
mod view;
