//! One shard's scheduler: events and the time go in, effects come out.
//!
//! [`Engine`] holds the shard's jobs, queue, capacity and reservations. It does no I/O. Its owner
//! journals a job, calls [`Engine::submit`], and carries out the effects of [`Engine::decide`] and
//! of the events. A task goes from waiting to starting, running and ended; its capacity is reserved
//! when its start is decided and released only on evidence that it holds no more.

mod audit;
mod backfill;
mod begin;
mod cancel;
mod core;
mod counters;
mod decide;
mod effect;
mod elsewhere;
mod events;
mod gang;
mod hold;
mod host;
mod image;
mod job;
mod lost;
mod preempt;
mod probe;
mod recovery;
mod release;
mod requeue;
mod reserve;
mod service;
mod settle;
mod single;
mod submit;
mod task;
mod timer;
mod view;
mod withdraw;
mod worker;

pub use self::{
    audit::Violation,
    core::Engine,
    counters::Counters,
    effect::{
        Act,
        Cause,
        Effect,
        End,
        Outcome, //
    },
    hold::HoldId,
    image::Image,
    job::Counts,
    recovery::Twice,
    submit::Submitted,
    task::Phase,
    view::{
        Digest,
        JobView,
        State,
        TaskView,
        Waiting, //
    },
};
