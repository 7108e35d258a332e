//! Idempotency keys.

use fulmarpier_coordination::request::Key;
use fulmarpier_state::clock::Timestamp;

/// A UUIDv7 made at `at`, told apart from others of that time by `number`.
pub(crate) fn timed(number: u64, at: Timestamp) -> Key {
    let millis = u128::from(at.as_millis()) << 80;
    let bits = millis | 0x7 << 76 | 0x2 << 62 | u128::from(number);
    let uuid = uuid::Uuid::from_u128(bits);
    uuid.to_string().parse().expect("a key")
}

/// A key without a time of its own.
pub(crate) fn opaque(number: u64) -> Key {
    format!("order-{number}").parse().expect("a key")
}
