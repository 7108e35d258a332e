//! Open-loop load for a cluster, measured, and checked against the stand-ins' own record.
//!
//! Each call has its time before the run begins. It is sent then whatever became of earlier calls, and
//! its latency counts from then, so a stall shows in every call that was due in it (Gil Tene calls the
//! usual mistake coordinated omission). At the end every answer is compared with what really ran.

mod arrival;
mod balancer;
mod call;
mod caller;
mod check;
mod control;
mod kind;
mod measure;
mod prepare;
mod progress;
mod record;
mod report;
mod run;

pub use self::{
    arrival::{
        Arrival,
        Arrivals, //
    },
    call::{
        Call,
        End,
        Timing, //
    },
    check::Violations,
    kind::Kind,
    measure::{
        Spans,
        Summary, //
    },
    record::{
        Record,
        TaskRun, //
    },
    report::{
        KindReport,
        Report, //
    },
    run::{
        Error,
        run, //
    },
};
