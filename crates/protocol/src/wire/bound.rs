//! How much a message may hold, so that a peer can't make a reader allocate without limit.

use super::Error;

/// The most entries in a list of demands, holds, grants or shards.
pub(super) const ENTRIES: u32 = 16_384;
/// The most arguments of a job.
pub(super) const ARGS: u32 = 1_024;
/// The most bytes of a text field.
pub(super) const TEXT: usize = 64 << 10;
/// The most bytes of a data field; the same as the log's cap on one append.
pub(super) const DATA: usize = 1 << 20;

/// Checks the length of a list.
pub(super) fn list(field: &'static str, len: u32, most: u32) -> Result<(), Error> {
    if len > most {
        return Err(Error::List { field, len, most });
    }
    Ok(())
}

/// Checks the length of a field in bytes.
pub(super) fn bytes(field: &'static str, len: usize, most: usize) -> Result<(), Error> {
    if len > most {
        return Err(Error::Bytes { field, len, most });
    }
    Ok(())
}

/// Returns the length of a list for a builder, saturating; a reader refuses such a length.
pub(super) fn count(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}
