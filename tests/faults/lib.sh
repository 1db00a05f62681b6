# Shared by the fault tests: checks, submissions by key, and what the workers
# saw start.  Source it from the root of the tree; it sources cluster.sh.

. scripts/cluster.sh
trap cleanup EXIT
. tests/checks.sh

# check_load: waits for the background process "load" and checks its history,
# DIR/history.log, and its report, DIR/report.json.
check_load() {
  wait "${PID[load]}"
  unset "PID[load]"
  compare_history "$DIR/history.log"
  expect "the history agrees with the workers" test $? -eq 0
  jq -c '.total | {jobs, complete, not_run, failed, unknown, no_answer, wrong}' \
    "$DIR/report.json" | sed 's/^/measured: load: /'
  is "no wrong answer" "$(jq .total.wrong "$DIR/report.json")" 0
  is "no job without an answer" "$(jq .total.no_answer "$DIR/report.json")" 0
}

# setup INDEX...: platform, workers and a configuration of failure domains; the
# domain with index N is called dN.  A function edit_note FILE may change the note.
setup() {
  local i pairs=()
  start_platform || give_up "the platform stand-in does not start"
  for i in "$@"; do
    start_upstreams "$i" || give_up "the workers of domain $i do not start"
    pairs+=("d$i=$i")
  done
  write_note "$DIR/note.json" 0 "${pairs[@]}"
  ! declare -F edit_note >/dev/null || edit_note "$DIR/note.json"
  apply_note "$DIR/note.json" >/dev/null 2>"$DIR/apply.txt" \
    || give_up "the note is not accepted: $(cat "$DIR/apply.txt")"
}

# Ends a test whose installation does not come up.  Its own exit status keeps
# mutants.sh from taking that for a detected fault.
give_up() {
  echo "FAILED $1"
  printf '%s passed, %s failed\n' "$passed" "$((failed + 1))"
  exit 3
}

all_ready() {
  local name
  for name in "${ENTRIES[@]}"; do
    entry_ready "$name" || give_up "$name is not ready"
  done
}

# Whether entry $1 counts $2 peers as alive.
sees() {
  [ "$(status_of "$1" | jq '[.peers[] | select(.state == "alive")] | length')" \
    -ge "$2" ]
}

# Waits until all entries see one another and have a witness.
all_meet() {
  local name
  for name in "${ENTRIES[@]}"; do
    wait_for 10 sees "$name" $((${#ENTRIES[@]} - 1)) \
      || give_up "$name does not see its peers"
    [ $# -gt 0 ] || wait_for 5 has_witness "$name" \
      || give_up "$name has no witness"
  done
}

has_witness() { [[ "$(prefix_of "$1")" =~ ^[^.]+\.[^.]+\.[0-9a-f]{16}\. ]]; }

prefix_of() { curl -sf -m 2 "http://${HTTP[$1]}/v1/prefix" | jq -r .prefix; }

# job ECHO RUN_MS [KIND [DEADLINE_MS]]: a body with one task.
job() {
  local kind=${3:-confirm-hold}
  printf '{"service":"agenda","kind":"%s","team":"bookings",' "$kind"
  printf '"deadline_ms":%s,"tasks":[{"size_ms":%s,' "${4:-10000}" "$2"
  printf '"input":{"run_ms":%s,"echo":"%s"}}]}' "$2" "$1"
}

# post ENTRY KEY BODY: prints the answer.
post() {
  curl -s -m 15 "http://${HTTP[$1]}/v1/jobs" -H "Idempotency-Key: $2" -d "$3"
}

ask() { curl -s -m 15 "http://${HTTP[$1]}/v1/jobs/$2"; }
cancel_job() { curl -s -m 15 -X DELETE "http://${HTTP[$1]}/v1/jobs/$2"; }

# The name of the result code of the answer on standard input.
code() { jq -r '.name // "none"' 2>/dev/null || echo none; }
verdict() { jq -r '"\(.outcome) \(.name)"' 2>/dev/null || echo none; }
answers() { jq -c '.answers' 2>/dev/null || echo none; }

# The number of starts that the workers saw of the task with ECHO.
starts_of() {
  cat "$DIR"/starts-*.log 2>/dev/null \
    | awk -v e="$1" '$3 == "start" && $6 == e { n++ } END { print n + 0 }'
}

started() { [ "$(starts_of "$1")" -gt 0 ]; }
total_starts() { cat "$DIR"/starts-*.log | awk '$3 == "start"' | wc -l; }

# Compares a history with what the workers saw start; prints the counts.
compare_history() { "$BIN/papayaload" check "$1" "$DIR"/starts-*.log; }

now_ms() { date +%s%3N; }
