# Functions of the fault tests of planned stops, configuration and leaving
# upstreams: checks, notes, submissions and load.  Source it after
# scripts/cluster.sh; do not run it.

PASSED=0
FAILED=0

# check TEXT COMMAND...: one check, passed if the command succeeds; TEXT is
# printed if it fails.
check() {
  local text=$1
  shift
  if "$@"; then
    PASSED=$((PASSED + 1))
  else
    FAILED=$((FAILED + 1))
    printf 'failed: %s\n' "$text"
  fi
}

# equal TEXT EXPECTED FOUND: one check, passed if both texts are equal.
equal() {
  check "$1: expected '$2', found '$3'" [ "$2" = "$3" ]
}

# at_most TEXT LIMIT FOUND: one check of a whole number against its limit.
at_most() {
  check "$1: at most $2 expected, found '$3'" [ "$3" -le "$2" ]
}

finish() {
  printf '%s passed, %s failed\n' "$PASSED" "$FAILED"
  [ "$FAILED" -eq 0 ] && [ "$PASSED" -gt 0 ]
}

# die TEXT: ends a test whose installation does not start.
die() {
  printf 'failed: %s\n' "$1"
  printf '%s passed, %s failed\n' "$PASSED" $((FAILED + 1))
  exit 1
}

now_ms() { echo $((${EPOCHREALTIME/./} / 1000)); }

platform_stats() { curl -sf -m 2 "http://$PLATFORM/standin/stats"; }

revision_of() { status_of "$1" | jq -r .revision; }

# in_force REVISION NAME...: whether that revision is in force at all named
# entries.
in_force() {
  local revision=$1 name
  shift
  for name in "$@"; do
    [ "$(revision_of "$name")" = "$revision" ] || return 1
  done
}

# wait_in_force MS REVISION NAME...: waits until the revision is in force at all
# named entries; prints the time in ms, or "timeout" after MS.
wait_in_force() {
  local begin end
  begin=$(now_ms)
  end=$((begin + $1))
  shift
  until in_force "$@"; do
    [ "$(now_ms)" -lt $end ] || { echo timeout; return 1; }
    sleep 0.02
  done
  echo $(($(now_ms) - begin))
}

# team_note FILE BASE NAME WEIGHT [added|changed]: writes a note that adds or
# changes one team.
team_note() {
  jq -nc --arg id "$(cat /proc/sys/kernel/random/uuid)" --argjson base "$2" \
    --arg name "$3" --argjson weight "$4" --arg part "${5:-added}" \
    '{id:$id, base:$base, comment:("team " + $name),
      ($part):{teams:[{name:$name, weight:$weight, max_slots:0}]}}' >"$1"
}

prefix_of() { curl -sf -m 2 "http://${HTTP[$1]}/v1/prefix" | jq -r .prefix; }

# submit ENTRY KEY ECHO RUN_MS: posts a job of one task, prints the answer.
submit() {
  curl -s -m 25 "http://${HTTP[$1]}/v1/jobs" -H "Idempotency-Key: $2" -d '{
    "service":"board-orders","kind":"layout-preview","team":"counter",
    "deadline_ms":20000,
    "tasks":[{"size_ms":'"$4"',"input":{"run_ms":'"$4"',"echo":"'"$3"'"}}]}'
}

# start_load NAME SEED SECONDS ENTRIES ARG...: runs papayaload in the background
# under the given name, with history and report in DIR.  Each load has its own
# range of job numbers, because the history check identifies jobs by number.
LOADS=0
start_load() {
  local name=$1 seed=$2 seconds=$3 entries=$4
  shift 4
  LOADS=$((LOADS + 1))
  start "$name" "$BIN/papayaload" run --entry "$entries" --mix all \
    --seed "$seed" --first $((LOADS * 100000)) --seconds "$seconds" --history "$DIR/$name.history" \
    --out "$DIR/$name.json" "$@"
}

# end_load NAME: waits for the load; checks that all jobs are complete and no
# answer is wrong.
end_load() {
  wait "${PID[$1]}"
  local status=$?
  unset "PID[$1]"
  equal "$1: exit status of the load" 0 $status
  local total
  total=$(jq -c '.total | [.complete, .not_run, .failed, .unknown, .no_answer,
    .wrong]' "$DIR/$1.json")
  equal "$1: complete, not run, failed, unknown, silent, wrong" \
    "[$(jq .total.jobs "$DIR/$1.json"),0,0,0,0,0]" "$total"
}

# check_history: runs papayaload check on all histories so far.
check_history() {
  local out
  out=$("$BIN/papayaload" check "$DIR"/*.history "$DIR"/starts-*.log)
  check "papayaload check: $out" [ $? -eq 0 ]
}

# signal_stop NAME: asks an entry to stop without waiting for it.
signal_stop() { kill -TERM "${PID[$1]}"; }

# await_stop NAME: waits until the entry ends; returns its exit status.
await_stop() {
  wait "${PID[$1]}"
  local status=$?
  unset "PID[$1]"
  return $status
}
