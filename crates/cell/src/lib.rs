//! The scheduling decisions of a cell whose workers all have one owner.
//!
//! One node at a time owns the cell; the other nodes make calls on its behalf. The owner's [`engine::Engine`] holds the
//! jobs, their steps and the workers. It takes events and the current time and returns [`effect::Effect`]s; this crate
//! does no I/O and reads no clock.
//!
//! State that must survive a node is stored in records: [`record::Accepted`] and [`record::Cancelled`] for what callers
//! submit and cancel, [`record::Progress`] for each job and [`record::WorkerRuns`] for each worker. Each record has its
//! own key, under which the newest version replaces the older one. A run is recorded before the order to start it
//! leaves. A new owner takes over every worker at its epoch and adopts the runs that it finds there.

pub mod advice;
pub mod bounds;
pub mod config;
pub mod effect;
pub mod engine;
pub mod evacuation;
pub mod event;
pub mod id;
pub mod job;
pub mod occurrence;
pub mod ownership;
pub mod pace;
pub mod rate;
pub mod record;
pub mod share;
pub mod speed;
pub mod spread;
pub mod worker;
pub mod workspace;
