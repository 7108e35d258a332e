//! What is malformed is refused with its place.

use capnp::message::Builder;
use fulmarpier_protocol::wire::{
    Error,
    begin,
    peer,
    sched_capnp::{
        job,
        sched, //
    },
    submit,
    sync, //
};
use rstest::rstest;

const DIGEST: [u8; 32] = [7; 32];

/// Reads a job after `spoil` has changed one that is valid.
fn read_job(spoil: impl FnOnce(job::Builder<'_>)) -> Result<submit::Request, Error> {
    let mut message = Builder::new_default();
    let mut params = message.init_root::<sched::submit_params::Builder<'_>>();
    let mut job = params.reborrow().init_job();
    job.set_team("desk");
    job.set_program("build");
    spoil(job);
    submit::Request::try_from(params.into_reader())
}

fn read_begin(key: &str, digest: &[u8]) -> Result<begin::Request, Error> {
    let mut message = Builder::new_default();
    let mut params = message.init_root::<sched::begin_params::Builder<'_>>();
    let mut request = params.reborrow().init_request();
    request.set_key(key);
    request.set_service("desk");
    request.set_team("desk");
    request.set_digest(digest);
    begin::Request::try_from(params.into_reader())
}

#[test]
fn valid_messages_are_read() {
    assert!(read_job(|_| ()).is_ok());
    assert!(read_begin("k1", &DIGEST).is_ok());
}

#[test]
fn malformed_name_is_refused() {
    let read = read_job(|mut job| job.set_team("Desk"));
    insta::assert_snapshot!(read.unwrap_err(), @"job.team: a name holds only a-z, 0-9, `-`, `_` and `.`, found `D` in `Desk`");
}

#[test]
fn unknown_priority_is_refused() {
    let read = read_job(|mut job| job.set_priority(3));
    insta::assert_snapshot!(read.unwrap_err(), @"job.priority has the unknown value 3");
}

#[test]
fn unknown_spread_is_refused() {
    let read = read_job(|mut job| job.set_spread(9));
    insta::assert_snapshot!(read.unwrap_err(), @"job.spread has the unknown value 9");
}

#[test]
fn too_many_arguments_are_refused() {
    let read = read_job(|job| {
        job.init_args(1_025);
    });
    insta::assert_snapshot!(read.unwrap_err(), @"job.args has 1025 entries, at most 1024 are accepted");
}

#[test]
fn text_that_is_not_utf8_is_refused() {
    let read = read_job(|mut job| job.set_program(capnp::text::Reader(b"\xff\xfe")));
    insta::assert_snapshot!(read.unwrap_err(), @"job.program is not UTF-8");
}

#[test]
fn too_many_demands_are_refused() {
    let mut message = Builder::new_default();
    let mut params = message.init_root::<sched::sync_params::Builder<'_>>();
    params.reborrow().init_request().init_demands(16_385);
    let read = sync::Request::try_from(params.into_reader());
    insta::assert_snapshot!(read.unwrap_err(), @"demands has 16385 entries, at most 16384 are accepted");
}

#[test]
fn unknown_reason_is_refused() {
    let mut message = Builder::new_default();
    let mut results = message.init_root::<sched::submit_results::Builder<'_>>();
    let mut refusal = results.reborrow().init_reply().init_refused();
    refusal.set_reason("just-because");
    let read = submit::Reply::try_from(results.into_reader());
    insta::assert_snapshot!(read.unwrap_err(), @"refusal.reason has the unknown value `just-because`");
}

#[rstest]
#[case::empty("", &DIGEST)]
#[case::space("a b", &DIGEST)]
#[case::short_digest("k1", &DIGEST[..31])]
#[case::no_digest("k1", &[])]
fn malformed_key_or_digest_is_refused(#[case] key: &str, #[case] digest: &[u8]) {
    let error = read_begin(key, digest).expect_err("the message is malformed");
    assert!(matches!(error, Error::Key(_) | Error::Digest { .. }));
}

#[test]
fn oversize_data_is_refused() {
    let mut message = Builder::new_default();
    let mut params = message.init_root::<sched::peer_params::Builder<'_>>();
    params.reborrow().init_message((1 << 20) + 1);
    let read = peer::Request::try_from(params.into_reader());
    insta::assert_snapshot!(read.unwrap_err(), @"message has 1048577 bytes, at most 1048576 are accepted");
}
