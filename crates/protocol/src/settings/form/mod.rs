//! The step from a JSON document to checked settings, with every mistake and its path.

mod errors;
pub(in crate::settings) mod field;
mod mistake;
pub(in crate::settings) mod section;

pub use self::{
    errors::{
        Error,
        Errors, //
    },
    field::Field,
    mistake::Mistake,
    section::{
        Form,
        Section, //
    },
};
