#!/bin/bash
# Malformed, hostile and slow requests to a real entry instance: each error has
# its result code and HTTP status, the instance serves as before afterwards, and
# no thread or descriptor leaks.  Invalid settings are named at the start.
cd "$(dirname "$0")/../.." || exit 2
WORKERS=2
. tests/faults/lib.sh

start_platform || abort_test "no platform"
start_upstreams 1 || abort_test "no upstreams"
write_note "$DIR/note.json" 0 brum=1
apply_note "$DIR/note.json" >/dev/null || abort_test "no note"
start_entry e brum 1 1 --caller-idle-s 1 --upstream-idle-ms 300
entry_ready e || abort_test "not ready"
E=http://${HTTP[e]}
sleep 1.2 # until the shares of slots are in force
PREFIX=$(curl -sf "$E/v1/prefix" | jq -r .prefix)
SERIAL=0
KEY=

new_key() {
  SERIAL=$((SERIAL + 1))
  KEY=$PREFIX.k$SERIAL
}

# answer_is STATUS NAME CURL-ARGUMENT...: whether the answer has this HTTP status
# and result code.
answer_is() {
  local status=$1 name=$2 got
  shift 2
  got=$(curl -s -m 10 -o "$DIR/body" -w '%{http_code}' "$@")
  [ "$got" = "$status" ] \
    && [ "$(jq -r '.name // "none"' "$DIR/body")" = "$name" ] && return
  printf 'got %s %.200s, expected %s %s\n' "$got" "$(<"$DIR/body")" "$status" "$name"
  return 1
}

# submit TEXT STATUS CODE BODY: one check; submits BODY with a new key.
submit() {
  new_key
  printf '%s' "$4" >"$DIR/request"
  expect "$1" answer_is "$2" "$3" "$E/v1/jobs" -H 'Expect:' \
    -H "Idempotency-Key: $KEY" --data-binary "@$DIR/request"
}

# job TASKS [MEMBERS]: prints the body of a job; MEMBERS replace members of it.
job() {
  jq -nc --argjson tasks "$1" --argjson more "${2:-{\}}" \
    '{service:"board-orders",kind:"price-check",team:"prices",
      deadline_ms:5000,tasks:$tasks} + $more'
}

ONE='[{"input":{"run_ms":5,"echo":"a"}}]'
GOOD=$(job "$ONE")

threads() { awk '$1 == "Threads:" { print $2 }' "/proc/${PID[e]}/status"; }
descriptors() { ls "/proc/${PID[e]}/fd" | wc -l; }
# Whether the instance has as many threads and descriptors as at the start.
resources_are_unchanged() {
  [ "$(threads)" -eq "$THREADS" ] && [ "$(descriptors)" -eq "$DESCRIPTORS" ]
}

submit "a good job" 200 OK "$GOOD"
sleep 1.5 # until the connections to the upstream and from the caller are closed
THREADS=$(threads)
DESCRIPTORS=$(descriptors)

# Bodies.
submit "not JSON" 400 BAD_JSON '{"service":'
submit "empty body" 400 BAD_JSON ''
submit "not UTF-8" 400 BAD_JSON "$(printf '{"service":"\xff"}')"
submit "duplicate member" 400 BAD_JSON '{"team":"a","team":"b"}'
submit "deep nesting" 400 BAD_JSON "$(printf '[%.0s' {1..5000})"
submit "not an object" 400 BAD_REQUEST '[]'
submit "no tasks member" 400 BAD_REQUEST "$(job 1)"
submit "task without input" 400 BAD_REQUEST "$(job '[{}]')"
submit "negative memory" 400 BAD_REQUEST "$(job '[{"memory_mb":-1,"input":1}]')"
submit "0 tasks" 400 TOO_MANY_TASKS "$(job '[]')"
submit "391 tasks" 400 TOO_MANY_TASKS "$(job "$(jq -nc '[range(391)|{input:.}]')")"
submit "unknown service" 404 UNKNOWN_SERVICE "$(job "$ONE" '{"service":"x"}')"
submit "unknown kind" 404 UNKNOWN_SERVICE "$(job "$ONE" '{"kind":"x"}')"
submit "unknown team" 404 UNKNOWN_TEAM "$(job "$ONE" '{"team":"x"}')"
for deadline in 0 -1 600001 9223372036854775807; do
  submit "deadline $deadline" 400 DEADLINE_PAST \
    "$(printf '%s' "$GOOD" | sed "s/5000/$deadline/")"
done
submit "deadline beyond 64 bits" 400 BAD_JSON \
  "$(printf '%s' "$GOOD" | sed 's/5000/99999999999999999999/')"
submit "deadline as text" 400 BAD_REQUEST "$(job "$ONE" '{"deadline_ms":"1"}')"
submit "too much memory" 422 NEVER_RUNNABLE \
  "$(job '[{"memory_mb":2601,"input":1}]')"
submit "as much memory as the largest worker" 200 OK \
  "$(job '[{"memory_mb":2600,"input":{"run_ms":5}}]')"
head -c 1100000 /dev/zero | tr '\0' ' ' >"$DIR/large"
new_key
expect "too large" answer_is 413 BODY_TOO_LARGE "$E/v1/jobs" -H 'Expect:' \
  -H "Idempotency-Key: $KEY" --data-binary "@$DIR/large"
new_key
expect "too large, chunked" answer_is 413 BODY_TOO_LARGE "$E/v1/jobs" -H 'Expect:' \
  -H 'Transfer-Encoding: chunked' -H "Idempotency-Key: $KEY" \
  --data-binary "@$DIR/large"

# Keys.
with_key() { # TEXT STATUS CODE KEY
  expect "$1" answer_is "$2" "$3" "$E/v1/jobs" -H "Idempotency-Key: $4" -d "$GOOD"
}
expect "key missing" answer_is 400 KEY_MISSING "$E/v1/jobs" -d "$GOOD"
with_key "key without fields" 400 KEY_MALFORMED x
with_key "key without suffix" 400 KEY_MALFORMED "$PREFIX."
with_key "key with a bad suffix" 400 KEY_MALFORMED "$PREFIX.a/b"
with_key "suffix of 65 characters" 400 KEY_MALFORMED "$PREFIX.$(printf 'a%.0s' {1..65})"
with_key "key of 10,000 characters" 400 KEY_MALFORMED "$(printf 'a%.0s' {1..10000})"
with_key "future epoch" 400 KEY_NOT_ISSUED "${PREFIX%.*}.$((${PREFIX##*.} + 1000)).x"
with_key "unknown instance" 504 UNKNOWN_OWNER "brum.0123456789abcdef.0.1.x"
new_key
with_key "first body" 200 OK "$KEY"
expect "second body" answer_is 409 KEY_REUSED "$E/v1/jobs" \
  -H "Idempotency-Key: $KEY" -d "$(job "$ONE" '{"deadline_ms":4000}')"
expect "look-up of an unused key" answer_is 404 NOT_RECORDED "$E/v1/jobs/$PREFIX.unused"

# Methods, paths, headers.
expect "method of jobs" answer_is 405 BAD_METHOD -X PUT "$E/v1/jobs"
expect "method of a key" answer_is 405 BAD_METHOD -X POST "$E/v1/jobs/$KEY"
expect "method of prefix" answer_is 405 BAD_METHOD -X POST "$E/v1/prefix"
expect "method of drain" answer_is 405 BAD_METHOD "$E/v1/drain"
expect "unknown path" answer_is 404 NOT_FOUND "$E/v1/nothing"
expect "service path without kind" answer_is 404 NOT_FOUND -X POST "$E/v1/services/x"
expect "headers above 16 KiB" answer_is 431 HEADERS_TOO_LARGE "$E/v1/prefix" \
  -H "X-Fill: $(head -c 16500 /dev/zero | tr '\0' x)"
expect "headers below 16 KiB" answer_is 200 none "$E/v1/prefix" \
  -H "X-Fill: $(head -c 15000 /dev/zero | tr '\0' x)"
far_too_large() {
  local got
  got=$(curl -s -m 5 -o /dev/null -w '%{http_code}' "$E/v1/prefix" \
    -H "X-Fill: $(head -c 100000 /dev/zero | tr '\0' x)")
  [ "$got" = 431 ]
}
expect "headers of 100 KB" far_too_large

# send_raw TEXT: sends bytes and prints the answer until the connection is closed.
send_raw() {
  exec 9<>"/dev/tcp/${HTTP[e]%:*}/${HTTP[e]#*:}" || return 1
  printf "$1" >&9
  timeout 5 cat <&9
  exec 9>&- 9<&-
}
stalled() {
  new_key
  send_raw "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nIdempotency-Key: $KEY\r\nContent-Length: 100\r\n\r\n{" \
    >"$DIR/stalled"
  grep -q '^HTTP/1.1 408 ' "$DIR/stalled" && grep -q CALLER_STALLED "$DIR/stalled"
}
expect "stalled body" stalled
closed_without_headers() { [ -z "$(send_raw 'GET /v1/pre')" ]; }
expect "stalled headers" closed_without_headers
not_http() { ! send_raw '\001\002\003 garbage\r\n\r\n' | grep -q ' 200 '; }
expect "not HTTP" not_http

# A caller that disconnects while its job runs.
disconnects() {
  local body n
  body=$(job '[{"input":{"run_ms":700,"echo":"vanished"}}]')
  new_key
  curl -s -m 0.3 -o /dev/null "$E/v1/jobs" -H "Idempotency-Key: $KEY" -d "$body"
  [ $? -eq 28 ] || return 1
  wait_for 3 answer_is 200 OK "$E/v1/jobs/$KEY"
  answer_is 200 OK "$E/v1/jobs" -H "Idempotency-Key: $KEY" -d "$body" || return 1
  [ "$(jq -r '.answers[0].echo' "$DIR/body")" = vanished ] || return 1
  n=$(grep -c ' start .* vanished$' "$DIR/starts-1.log")
  [ "$n" -eq 1 ]
}
expect "the job of a caller that has disconnected completes once" disconnects

# A caller that reads its answer slowly.
slow_reader() {
  new_key
  jq -c '.tasks=[range(100)|{input:{run_ms:5,echo:("y"*8000+tostring)}}]' \
    <<<"$GOOD" >"$DIR/request"
  answer_is 200 OK "$E/v1/jobs" -H "Idempotency-Key: $KEY" \
    -H 'Expect:' --data-binary "@$DIR/request" || return 1
  # The transfer takes longer than --caller-idle-s.
  answer_is 200 OK --limit-rate 300K "$E/v1/jobs/$KEY" || return 1
  [ "$(jq '[.answers|to_entries[]|select(.value.echo=="y"*8000+(.key|tostring))]|length' \
    "$DIR/body")" -eq 100 ]
}
expect "a slow reader gets the whole answer" slow_reader

# setting_refused EXPECTED-TEXT ARGUMENT...: whether the daemon refuses to start with
# these arguments and prints this text.
setting_refused() {
  local text=$1 status
  shift
  timeout 5 env "$@" >"$DIR/setting" 2>&1
  status=$?
  # argp's own errors end the process with 64 (EX_USAGE).
  [ $status -eq 2 ] || [ $status -eq 64 ] || status="wrong: $status"
  [ "${status#wrong}" = "$status" ] && grep -qF -- "$text" "$DIR/setting" && return
  printf 'exit %s: %.300s\n' "$status" "$(<"$DIR/setting")"
  return 1
}
D=$BIN/papayaloftd
expect "number below its range" setting_refused \
  "--queue-tasks: value '0' is not a whole number from 1 to 1000000" "$D" --queue-tasks 0
expect "not a number" setting_refused \
  "--keep-s: value '1x' is not a whole number from 10 to 86400" "$D" --keep-s 1x
expect "number beyond 64 bits" setting_refused \
  "--seed: value '99999999999999999999' is not a whole number from 0 to 2147483647" \
  "$D" --seed 99999999999999999999
expect "environment" setting_refused \
  "PAPAYALOFT_HTTP_THREADS: value '65' is not a whole number from 1 to 64" \
  PAPAYALOFT_HTTP_THREADS=65 "$D"
expect "text too long" setting_refused "must have 1 to 32 characters" \
  "$D" --domain "$(printf 'a%.0s' {1..33})"
expect "domain's characters" setting_refused "--domain: value 'A b' may hold only" "$D" --domain 'A b'
expect "policy" setting_refused "--policy: value 'x' must be one of: slowdown, fifo, p2c" "$D" --policy x
expect "address" setting_refused "--listen: value '1.2.3.4' is not an address" "$D" --listen 1.2.3.4
expect "port" setting_refused "--peer-listen: value '1.2.3.4:70000'" "$D" --peer-listen 1.2.3.4:70000
expect "peers" setting_refused "--peers: value 'b'" "$D" --peers 1.2.3.4:5,b
expect "order" setting_refused "--heartbeat-ms: value 5000 must be less than --suspect-ms (1500)" \
  "$D" --heartbeat-ms 5000
expect "unknown flag" setting_refused "unrecognized option '--no-such-flag'" "$D" --no-such-flag 1

submit "a good job afterwards" 200 OK "$GOOD"
expect "still ready" http_ok "${HTTP[e]}/readyz"
expect "threads and descriptors are those of the start, $THREADS and $DESCRIPTORS" \
  wait_for 6 resources_are_unchanged
expect "graceful stop" stop_entry e
if grep -hE -A 40 'ERROR: (Address|Leak)Sanitizer|runtime error:' "$DIR/e.log"; then
  expect "no sanitizer report" false
fi
printf '%s passed, %s failed\n' "$passed" "$failed"
[ $failed -eq 0 ]
