//! A log that writes the lines of all nodes to the standard error stream, with the time of the world.

use std::fmt;

use slog::{
    Drain,
    KV,
    Key,
    Never,
    OwnedKVList,
    Record,
    Serializer, //
};
use tokio::time::Instant;

/// Returns whether the environment has `WORLD_LOG`, which turns the log on.
pub(super) fn is_wanted() -> bool {
    std::env::var_os("WORLD_LOG").is_some()
}

/// Writes a line.
pub(super) fn write(start: Instant, origin: &str, line: &str) {
    let at = start.elapsed().as_secs_f64();
    eprintln!("{at:8.3} {origin} {line}");
}

/// The log of one node.
pub(super) struct Log {
    pub(super) node: String,
    pub(super) start: Instant,
}

/// The values of a line.
struct Values(String);

impl Serializer for Values {
    fn emit_arguments(&mut self, key: Key, value: &fmt::Arguments<'_>) -> slog::Result {
        self.0 = format!(" {key}={value}{}", self.0);
        Ok(())
    }
}

impl Drain for Log {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> Result<(), Never> {
        let mut values = Values(String::new());
        // Values that can't be formatted are left out.
        let _ = record.kv().serialize(record, &mut values);
        write(
            self.start,
            &self.node,
            &format!("{}{}", record.msg(), values.0),
        );
        Ok(())
    }
}
