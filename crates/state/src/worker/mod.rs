//! Workers as placement sees them.

mod condition;
mod spec;

pub use self::{
    condition::Condition,
    spec::Spec, //
};
