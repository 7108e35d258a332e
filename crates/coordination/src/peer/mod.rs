//! What scheds ask each other.
//!
//! One call carries all of it: an encoded [`Message`] goes out and an encoded [`Reply`] comes back.

pub mod hold;
mod message;
pub mod ownership;
pub mod part;

pub use self::message::{
    Answer,
    DecodeError,
    Message,
    Question,
    Reply, //
};
