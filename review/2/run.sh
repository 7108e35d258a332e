#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
set -u
case="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$case/../.." && pwd)"
program="$root/target/review/release/backfill"
[ -x "$program" ] && [ -x "$root/target/release/fulmarpier-platform" ] || { echo "not built"; exit 2; }
REVIEW_ROOT="$root" REVIEW_CASE="$case" "$program" &
pid=$!
# The program ends the processes that it started; if the script is ended early, this does.
trap 'pkill -KILL -P "$pid"; kill -KILL "$pid"; exit 2' INT TERM HUP
wait "$pid"
