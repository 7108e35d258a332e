//! The scheduling decisions of a cell whose workers all have one owner.
//!
//! One node at a time owns the cell; the other nodes make calls on its behalf. The owner's [`engine::Engine`] holds the
//! jobs, their steps and the workers. It takes events and the current time and returns [`effect::Effect`]s; this crate
//! does no I/O and reads no clock.
//!
//! State that must survive a node is stored in two kinds of records, [`record::Accepted`] and [`record::Progress`].
//! Each record has its own key, under which the newest version replaces the older one. Starts are not recorded: a new
//! owner takes over every worker at its epoch and adopts the runs that it finds there.

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
