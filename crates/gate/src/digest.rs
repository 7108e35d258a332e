//! The digest by which a reused idempotency key is found out.

use fulmarpier_coordination::request::Digest;
use sha2::{
    Digest as _,
    Sha256, //
};

/// Returns the SHA-256 digest over the method, path and body of a request.
///
/// Each part goes in with its length, so that no two requests give the same input. All gates and all
/// versions must agree on the digest, so it is a fixed function and not a hasher of the library.
pub fn of(method: &str, path: &str, body: &[u8]) -> Digest {
    let mut hash = Sha256::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        let len = u64::try_from(part.len()).unwrap_or(u64::MAX);
        hash.update(len.to_le_bytes());
        hash.update(part);
    }
    Digest(hash.finalize().into())
}
