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
        let (at, node) = (self.start.elapsed().as_secs_f64(), &self.node);
        eprintln!("{at:8.3} {node} {}{}", record.msg(), values.0);
        Ok(())
    }
}
