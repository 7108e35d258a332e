//! The names of the headers, in the lower case that HTTP libraries expect.

/// The idempotency key of a request.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Whether a request is idempotent: `true` or `false`.
pub const IDEMPOTENT: &str = "fulmarpier-idempotent";
/// The span from now in which the request is of use.
pub const DEADLINE: &str = "fulmarpier-deadline";
/// The team on whose account the request runs.
pub const TEAM: &str = "fulmarpier-team";
/// The id of the request, in answers and towards targets.
pub const REQUEST: &str = "fulmarpier-request";
/// What is known of the request, in answers.
pub const OUTCOME: &str = "fulmarpier-outcome";
/// The target that answered.
pub const TARGET: &str = "fulmarpier-target";
/// Whether a kept answer was given again.
pub const REPLAYED: &str = "fulmarpier-replayed";
/// The node that calls the log.
pub const NODE: &str = "fulmarpier-node";
/// Whether a target had no free slot.
pub const TARGET_BUSY: &str = "target-busy";
/// The next offset to read from, in answers of the log.
pub const LOG_NEXT: &str = "log-next";
/// The offset behind the last record, in answers of the log.
pub const LOG_END: &str = "log-end";
