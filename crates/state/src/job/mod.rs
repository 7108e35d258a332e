//! What a job is: its owner, kind, size and promises.

mod spec;

pub use self::spec::{
    Kind,
    Payload,
    Priority,
    Spec,
    Spread, //
};
