//! Settings of the programs: JSON files, checked as a whole.
//!
//! A file goes through two phases. First it becomes a [`Document`], which is any JSON without a
//! repeated key; a truncated file fails here with its line and column. Then the document becomes
//! [`Gate`], [`Sched`], [`Node`], [`Standin`] or [`Load`] by `TryFrom`, and all its mistakes are reported at
//! once, each with its path. Keys that are not known are refused.

mod document;
mod error;
pub mod form;
pub mod gate;
pub mod load;
pub mod node;
pub mod sched;
mod source;
pub mod standin;
pub mod value;

pub use self::{
    document::Document,
    error::Error,
    gate::Gate,
    load::Load,
    node::Node,
    sched::Sched,
    source::{
        Kind,
        UnknownKind,
        check,
        load,
        parse, //
    },
    standin::Standin,
};
