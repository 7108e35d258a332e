//! The interface to callers and operators.

pub mod answer;
mod command;
mod head;
mod health;
mod job;
mod request;
mod router;

pub use self::router::router;
