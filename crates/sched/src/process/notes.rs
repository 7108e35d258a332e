//! One line of the log file for each event of a node.

use slog::{
    Logger,
    error,
    info,
    warn, //
};

use crate::node::Note;

/// Writes the line of an event.
pub(super) fn write(log: &Logger, note: &Note) {
    match note {
        Note::Shard {
            shard,
            epoch,
            phase,
            ..
        } => info!(log, "shard"; "shard" => %shard, "epoch" => %epoch, "phase" => *phase),
        Note::Twice { fault } => error!(log, "task runs twice"; "fault" => %fault),
        Note::Config { version } => info!(log, "configuration in force"; "version" => version),
        Note::ConfigFault { fault } => warn!(log, "configuration"; "fault" => %fault),
        Note::Held { job } => warn!(log, "job held"; "job" => %job),
        Note::Worker { worker, state } => {
            info!(log, "worker"; "worker" => %worker, "state" => *state);
        }
    }
}
