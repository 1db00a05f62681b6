#!/bin/bash
# Checks the dispatcher's decisions against fixed bounds, with real processes.
# Each bound is a ratio or a count inside one run, so that the result does not
# depend on how busy the machine is. Guards against slots that are not lent,
# wasted messages, overused workers, jobs lost at half load, and a placement
# policy that is no better than order of arrival. Ends with "N passed, N failed".
cd "$(dirname "$0")/../.." || exit 2
set -u
OUT=build/bench-regress
SEED=11
SCALE=1
mkdir -p "$OUT"
. scripts/cluster.sh
. scripts/bench-lib.sh
trap cleanup EXIT
passed=0
failed=0

# expect NAME FILTER FILE...: one check, passed if the jq FILTER gives true for
# the array of the reports.
expect() {
  local name=$1 filter=$2
  shift 2
  if [ "$(jq -s "$filter" "$@" 2>/dev/null)" = true ]; then
    passed=$((passed + 1))
    echo "ok      $name"
  else
    failed=$((failed + 1))
    echo "FAILED  $name: $filter"
    jq -c 'del(.total.quantiles) | [.total, .messages, .max_running]' "$@"
  fi
}

half=$OUT/half.json
slowdown=$OUT/slowdown.json
fifo=$OUT/fifo.json
bench_workers midlands || exit 1
bench_entries slowdown || exit 1
SECONDS_RUN=5
bench_run half midlands 0.5
SECONDS_RUN=4
bench_run slowdown midlands 1.2
bench_stop_entries
bench_entries fifo || exit 1
bench_run fifo midlands 1.2

expect "all jobs complete at half load" \
  '.[0].total | .jobs > 0 and .complete == .jobs and .wrong == 0' "$half"
expect "the load is spread over all failure domains" \
  'all(.domains == 4)' "$half" "$slowdown" "$fifo"
expect "wasted messages per start at half load" \
  '.[0].messages | .starts > 0 and .wasted_per_start < 0.01' "$half"
expect "wasted messages per start at overload" \
  '.[0].messages | .starts > 0 and .wasted_per_start < 0.01' "$slowdown"
expect "no worker has more tasks than slots" \
  'all(.max_running <= 8 and .max_running > 0)' "$half" "$slowdown" "$fifo"
expect "no worker has more than 60 connections" \
  'all(.max_connections <= 60)' "$half" "$slowdown" "$fifo"
expect "overload is refused, not lost" \
  '.[0].total | .failed + .unknown + .no_answer + .wrong == 0' "$slowdown"
expect "every team is served at overload" \
  '.[0].teams | all(.complete > 0)' "$slowdown"
expect "slowdown is not worse than fifo" \
  '.[0].total.mean <= .[1].total.mean' "$slowdown" "$fifo"
printf '%s passed, %s failed\n' "$passed" "$failed"
[ "$failed" -eq 0 ]
