//! How records stand in the bodies of calls and answers.

use bytes::{
    Buf,
    BufMut,
    Bytes,
    BytesMut, //
};
use fulmarpier_coordination::platform::log::Record;

use super::store::Error;

/// The bytes in front of a record in an append: its length.
const APPEND_HEAD: usize = 4;

/// Reads the records of an append.
pub(super) fn decode(mut body: Bytes) -> Result<Vec<Bytes>, Error> {
    let mut records = Vec::new();
    while body.remaining() >= APPEND_HEAD {
        let len = body.get_u32() as usize;
        if body.remaining() < len {
            return Err(Error::Malformed);
        }
        records.push(body.split_to(len));
    }
    if body.has_remaining() || records.is_empty() {
        return Err(Error::Malformed);
    }
    Ok(records)
}

/// Writes the records of a page.
pub(super) fn encode(records: &[Record]) -> Bytes {
    let mut body = BytesMut::new();
    for record in records {
        body.put_u64(record.offset.0);
        // The store takes no record near this size.
        body.put_u32(u32::try_from(record.data.len()).unwrap_or(u32::MAX));
        body.put_slice(&record.data);
    }
    body.freeze()
}
