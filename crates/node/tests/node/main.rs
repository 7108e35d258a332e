//! Tests of whole nodes that talk to each other over loopback and use an in-memory platform.

mod evacuation;
mod gauges;
mod history;
mod invalid_records;
mod ownership;
mod platform;
mod read_progress;
mod record;
mod service;
mod size;
mod store_limits;
mod support;
mod suspension;
mod worker_list;
mod workspace;
mod writer;
