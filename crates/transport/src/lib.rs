//! Sockets and everything else that touches the outside: the outermost layer.
//!
//! The platform's adapters, the calls between the system's own processes, the HTTP server, logs,
//! metrics, signals and the clocks live here. Decisions do not: they belong to the layers below.

pub mod bound;
pub mod clock;
pub mod crowd;
pub mod http;
pub mod log;
pub mod metrics;
pub mod platform;
pub mod rpc;
pub mod signal;
pub mod silence;
pub mod suspension;
