# Functions that fault tests share: installation, submissions by key, and the
# task starts that the workers have logged.  Source it from the root of the
# tree; it sources cluster.sh and checks.sh.

. scripts/cluster.sh
trap cleanup EXIT
. tests/checks.sh

# check_load: waits for the background process "load", a run of papayaload, and
# checks its history, DIR/history.log, and its report, DIR/report.json.
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

# setup INDEX...: starts the platform and the workers of the failure domains
# with these indexes and applies a first note; the domain with index N is called
# dN.  If the test defines a function edit_note FILE, it edits the note first.
setup() {
  local i pairs=()
  start_platform || abort_test "the platform stand-in does not start"
  for i in "$@"; do
    start_upstreams "$i" || abort_test "the workers of domain $i do not start"
    pairs+=("d$i=$i")
  done
  write_note "$DIR/note.json" 0 "${pairs[@]}"
  ! declare -F edit_note >/dev/null || edit_note "$DIR/note.json"
  apply_note "$DIR/note.json" >/dev/null 2>"$DIR/apply.txt" \
    || abort_test "the note is not accepted: $(cat "$DIR/apply.txt")"
}

# Ends a test whose installation does not start.  The exit status 3 tells
# mutants.sh that this is not a detected fault.
abort_test() {
  echo "FAILED $1"
  printf '%s passed, %s failed\n' "$passed" "$((failed + 1))"
  exit 3
}

# Waits until all entries are ready.
await_ready() {
  local name
  for name in "${ENTRIES[@]}"; do
    entry_ready "$name" || abort_test "$name is not ready"
  done
}

# Whether entry $1 has at least $2 live peers.
has_peers() {
  [ "$(status_of "$1" | jq '[.peers[] | select(.state == "alive")] | length')" \
    -ge "$2" ]
}

# Waits until every entry has all others as live peers and a witness.
await_peers() {
  local name
  for name in "${ENTRIES[@]}"; do
    wait_for 10 has_peers "$name" $((${#ENTRIES[@]} - 1)) \
      || abort_test "$name does not see its peers"
    [ $# -gt 0 ] || wait_for 5 has_witness "$name" \
      || abort_test "$name has no witness"
  done
}

has_witness() { [[ "$(prefix_of "$1")" =~ ^[^.]+\.[^.]+\.[0-9a-f]{16}\. ]]; }

prefix_of() { curl -sf -m 2 "http://${HTTP[$1]}/v1/prefix" | jq -r .prefix; }

# job ECHO RUN_MS [KIND [DEADLINE_MS]]: prints the body of a job of one task.
job() {
  local kind=${3:-confirm-hold}
  printf '{"service":"agenda","kind":"%s","team":"bookings",' "$kind"
  printf '"deadline_ms":%s,"tasks":[{"size_ms":%s,' "${4:-10000}" "$2"
  printf '"input":{"run_ms":%s,"echo":"%s"}}]}' "$2" "$1"
}

# post ENTRY KEY BODY: submits a job and prints the answer.
post() {
  curl -s -m 15 "http://${HTTP[$1]}/v1/jobs" -H "Idempotency-Key: $2" -d "$3"
}

get_job() { curl -s -m 15 "http://${HTTP[$1]}/v1/jobs/$2"; }
cancel_job() { curl -s -m 15 -X DELETE "http://${HTTP[$1]}/v1/jobs/$2"; }

# The result code of the answer on standard input, by name; with its outcome; the
# tasks' answers.
code() { jq -r '.name // "none"' 2>/dev/null || echo none; }
outcome_and_code() { jq -r '"\(.outcome) \(.name)"' 2>/dev/null || echo none; }
answers() { jq -c '.answers' 2>/dev/null || echo none; }

# starts_of ECHO: how often the task with this echo has started on the workers.
starts_of() {
  cat "$DIR"/starts-*.log 2>/dev/null \
    | awk -v e="$1" '$3 == "start" && $6 == e { n++ } END { print n + 0 }'
}

started() { [ "$(starts_of "$1")" -gt 0 ]; }
total_starts() { cat "$DIR"/starts-*.log | awk '$3 == "start"' | wc -l; }

# Checks a history against the starts that the workers have logged; prints the
# counts.
compare_history() { "$BIN/papayaload" check "$1" "$DIR"/starts-*.log; }

now_ms() { date +%s%3N; }
