//! The digest of a request: fixed for good, and different for different requests.

use fulmarpier_gate::digest;

#[test]
fn the_digest_never_changes() {
    let digest = digest::of("POST", "/orders", b"two radiators");
    let hex: String = digest.0.iter().map(|byte| format!("{byte:02x}")).collect();
    insta::assert_snapshot!(hex, @"57630ec53f4acd4bd56871715a0f9c1a63d4baaef43995759c59f94c2237a2a2");
}

#[test]
fn parts_do_not_run_into_each_other() {
    let digest = digest::of("POST", "/orders", b"1");
    assert_ne!(digest, digest::of("POST", "/order", b"s1"));
    assert_ne!(digest, digest::of("PUT", "/orders", b"1"));
    assert_ne!(digest, digest::of("POST", "/orders", b"2"));
}
