//! Tests of whole nodes that use an in-memory platform. They talk to each other over loopback or, in a
//! [`world::World`], in virtual time.

mod cut_history;
mod data_centre_cut;
mod evacuation;
mod gauges;
mod history;
mod invalid_records;
mod overload;
mod ownership;
mod platform;
mod read_progress;
mod record;
mod service;
mod size;
mod store_limits;
mod store_outage;
mod support;
mod suspension;
mod worker_list;
mod workspace;
mod world;
mod writer;
