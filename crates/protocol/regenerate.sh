#!/bin/sh
# Regenerates src/wire/sched_capnp.rs from schema/sched.capnp.
#
# Needs the Cap'n Proto compiler `capnp` and, on PATH, the plugin `capnpc-rust`
# (`cargo install capnpc`, in the release line of the `capnp` crate in Cargo.lock).
# The build itself needs neither: the generated file is committed.
set -eu
cd "$(dirname "$0")"
capnp compile --src-prefix=schema -orust:src/wire schema/sched.capnp
sed -i 's/crate::sched_capnp/crate::wire::sched_capnp/g' src/wire/sched_capnp.rs
rustfmt --edition 2024 src/wire/sched_capnp.rs
