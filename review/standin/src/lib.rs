//! Stand-ins for the platform's store and workers, and helpers for the scripts of the review.
//!
//! They do what the users' pages say. Where a page is silent they behave like a sound server: nothing that was
//! acknowledged is lost, calls are carried out once and in order, and answers come within milliseconds.

pub mod cell;
pub mod http;
pub mod json;
pub mod record;
pub mod store;
pub mod worker;
