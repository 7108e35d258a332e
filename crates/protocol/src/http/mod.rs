//! What callers and operators send and get over HTTP.

pub mod header;
pub mod invalid;
pub mod job;
pub mod request;
pub mod table;
