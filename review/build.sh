#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. They need nothing but the standard library.
set -euo pipefail
root="$(cd "$(dirname "$0")/.." && pwd)"
cargo build --release --offline --locked \
    --manifest-path "$root/review/standin/Cargo.toml" --target-dir "$root/target/review"
