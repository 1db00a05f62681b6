#!/bin/bash
# Runs the shell lines of docs/protocol.md against an instance, as they are
# written there, and checks their answers.
cd "$(dirname "$0")/../.." || exit 2
. scripts/cluster.sh
. tests/faults/conf-lib.sh
trap cleanup EXIT

start_platform || die "platform"
start_upstreams 1 || die "upstreams"
write_note "$DIR/note.json" 0 brum=1
apply_note "$DIR/note.json" >/dev/null || die "first note"
start_entry brum-1 brum 1 1 --drain-linger-ms 300 --log-level warning
entry_ready brum-1 || die "brum-1 is not ready"

# The lines of the page's indented shell blocks.  A command goes on to the next
# line while a single quote is open.
awk '/^    (E=|P=|curl )/ { on = 1 }
  !/^    / { on = 0 }
  on { print substr($0, 5) }' docs/protocol.md >"$DIR/lines"
run_lines() {
  local line command='' n=0
  while IFS= read -r line; do
    command+=$line$'\n'
    [ $(($(tr -cd "'" <<<"$command" | wc -c) % 2)) -eq 0 ] || continue
    n=$((n + 1))
    eval "$command" >"$DIR/out-$n"
    printf '%s\n' "$?" >"$DIR/status-$n"
    printf '%s' "$command" >"$DIR/command-$n"
    case $command in E=*) E=${HTTP[brum-1]} ;; esac
    command=''
  done <"$DIR/lines"
  COUNT=$n
}
run_lines

# expect_answer TEXT COMMAND: finds the first command of the page that has TEXT
# and checks that it succeeded and that COMMAND accepts its output.
expect_answer() {
  local i found=0
  for i in $(seq 1 "$COUNT"); do
    grep -qF -- "$1" "$DIR/command-$i" || continue
    found=1
    equal "status of: $(head -n 1 "$DIR/command-$i")" 0 "$(<"$DIR/status-$i")"
    check "answer of: $(head -n 1 "$DIR/command-$i") $(head -c 300 \
      "$DIR/out-$i")" eval "$2 <'$DIR/out-$i' >/dev/null"
    break
  done
  check "the page has: $1" [ $found = 1 ]
}

equal "commands of the page" 11 "$COUNT"
check "prefix" [ "$(grep -c '\.' <<<"${P:-}")" = 1 ]
expect_answer 'order-4711" -d' 'jq -e ".name == \"OK\" and (.answers | length) == 2
  and .answers[0].echo == \"a\" and .answers[1].echo == \"b\""'
expect_answer 'layout-preview -H' 'jq -e ".name == \"OK\" and (.answers | length) == 2"'
expect_answer 'jobs/$P.order-4711' 'jq -e ".name == \"OK\""'
expect_answer '-X DELETE' 'jq -e ".outcome == \"complete\""'
expect_answer '/healthz' 'grep -q .'
expect_answer '/readyz' 'grep -q .'
expect_answer '/v1/status' 'jq -e ".revision == 1"'
expect_answer '/metrics' 'grep -q "^papayaloft_task_starts_total 4$"'
expect_answer '/v1/drain' 'cat'
await_stop brum-1
equal "stop asked for by the page's last line" 0 $?
finish
