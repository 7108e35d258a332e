//! The library of fulmarpier: one name for its layers.
//!
//! | layer | what is in it |
//! |---|---|
//! | [`transport`] | sockets, the platform's adapters, calls between processes, HTTP, logs, metrics |
//! | [`protocol`] | messages, HTTP types, settings, the operators' language |
//! | [`coordination`] | claims, journal, recovery, keys, slot credits, configuration; pure |
//! | [`state`] | capacity, queues, quotas, placement, policies; pure |
//!
//! A layer knows only those below it in this table.
//!
//! # Examples
//!
//! ```
//! use fulmarpier::state::unit::Bytes;
//!
//! let size: Bytes = "64GiB".parse().expect("a size with a known unit");
//! assert_eq!(size, Bytes::from_gib(64));
//! ```

pub use fulmarpier_coordination as coordination;
pub use fulmarpier_protocol as protocol;
pub use fulmarpier_state as state;
pub use fulmarpier_transport as transport;
