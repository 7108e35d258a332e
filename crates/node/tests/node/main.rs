//! Whole nodes on loopback over a platform in memory.

mod evacuation;
mod foreign;
mod history;
mod platform;
mod record;
mod service;
mod size;
mod support;
mod suspension;
mod view;
mod workspace;
