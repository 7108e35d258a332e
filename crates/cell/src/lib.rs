//! The decisions of a cell whose workers all have one owner.
//!
//! One node at a time owns the cell; the others are its hands. The owner's [`engine::Engine`] holds
//! the jobs, their steps and the workers. Events and the time go in, [`effect::Effect`]s come out;
//! nothing here does I/O or reads a clock.
//!
//! What must outlast a node is in two kinds of records, [`record::Accepted`] and
//! [`record::Progress`], each kept under a key of its own where the newest replaces the older.
//! Starts are not recorded: a new owner takes every worker at its epoch and adopts what runs.

pub mod advice;
pub mod bounds;
pub mod config;
pub mod effect;
pub mod engine;
pub mod evacuation;
pub mod event;
pub mod id;
pub mod job;
pub mod record;
pub mod spread;
pub mod worker;
pub mod workspace;
