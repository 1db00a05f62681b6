# Starts a small deployment for the scripts of the second review: three instances
# of the deploy file's build in two zones, eight workers and a store.  Source it
# from the root of the tree with CASE set to the case's folder.
# shellcheck shell=bash

BIN=target/bin/papayaloft-platformd
FLEET=target/review-2/fleet-2
[ -x "$BIN" ] && [ -x "$FLEET" ] || { echo "not built" >&2; exit 2; }
DIR=$(mktemp -d)
RECORD=$CASE/record.txt
TROUBLE=${TROUBLE:-1}
declare -A PID
: >"$RECORD"

cleanup() {
  local name
  for name in "${!PID[@]}"; do
    kill -CONT "${PID[$name]}" 2>/dev/null
    kill -9 "${PID[$name]}" 2>/dev/null
  done
  wait 2>/dev/null
  rm -rf "$DIR"
}
trap cleanup EXIT
trap 'exit 2' INT TERM HUP

now_ms() { date +%s%3N; }
note() { echo "$(($(now_ms) - T0)) ms: $*" | tee -a "$RECORD"; }
could_not_run() { note "could not run: $*"; exit 2; }

# fleet_control COMMAND [BODY]: a command to the stand-in; prints its counters.
fleet_control() { curl -s -m 3 "http://$NET.1:9100/standin/$1" -d "${2:-}"; }

# front N: where instance N serves its callers.
front() { printf '%s.%s:8161' "$NET" $((10 + $1)); }

write_settings() {
  cat >"$DIR/e$1.json" <<END
{"node_name": "e$1", "role": "entry", "machine_class": "edge", "serves": ["edge", "control_plane"],
 "zone": "$2", "region": "midlands", "ip": "$NET.$((10 + $1))",
 "listen": {"front": "$(front "$1")", "readiness": "$NET.$((10 + $1)):8167", "control": "$NET.$((10 + $1)):8166"},
 "internal_ports": [7720, 7735], "seeds": ["$NET.11:8166", "$NET.12:8166", "$NET.13:8166"],
 "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260, "max_fds": 4100},
 "heartbeat_ms": 1500, "bounds": {"grace_s": 6, "contact_ms": 3000, "cancel_ms": 3000, "stop_timeout_ms": 50,
 "max_hold_ms": 1000, "resend_ms": 1300}, "orders": "request",
 "platform": {"address": "$NET.1:$((9200 + $1))", "form": "kv", "writes_per_s": 400, "reads_per_s": 2000,
 "history_s": 20, "value_bytes": 1048576, "min_ttl_ms": 1000}}
END
}

start_instance() {
  PAPAYALOFT_NODE_FILE=$DIR/e$1.json "$BIN" >>"$DIR/e$1.log" 2>&1 &
  PID[e$1]=$!
  disown
}

ready_status() { curl -s -m 1 -o /dev/null -w '%{http_code}' "http://$NET.$((10 + $1)):8167/readyz"; }

# start_deployment ZONE...: the zones of the instances, e1 first.
start_deployment() {
  local n=0 tries zone
  T0=$(now_ms)
  for tries in 1 2 3 4 5; do
    NET=127.$((RANDOM % 100 + 60)).$((RANDOM % 200 + 1))
    "$FLEET" "$NET.1" 9100 8 brum potteries >"$DIR/events" 2>"$DIR/fleet.log" &
    PID[fleet]=$!
    disown
    sleep 0.3
    kill -0 "${PID[fleet]}" 2>/dev/null && break
  done
  fleet_control report >/dev/null || could_not_run "the stand-in does not start"
  for zone in "$@"; do
    n=$((n + 1))
    write_settings $n "$zone"
    start_instance $n
  done
  fleet_control "put?key=op/config" '{"version": 7, "routes": [{"name": "r-pule", "host": "pule.example",
    "prefix": "/pule/", "service": "board-orders", "priority": 0, "max_attempts": 2, "stretch": 1.6,
    "target_latency_ms": 9000, "timeout_ms": 1500}], "services": [{"name": "board-orders"}],
    "limits": {"max_body_bytes": 262144}}' >/dev/null
  for ((tries = 0; tries < 200; tries++)); do
    local ready=0 i
    for ((i = 1; i <= n; i++)); do [ "$(ready_status $i)" = 200 ] && ready=$((ready + 1)); done
    [ $ready -eq $n ] && break
    sleep 0.05
  done
  [ "$ready" -eq "$n" ] || could_not_run "not all instances are ready"
  sleep 2
}

# submit INSTANCE ID TASKS SPEC MS [MEMBERS [WAIT_MS]]: submits a job of TASKS
# tasks of 14 cores; MEMBERS are added to its step.  Prints body and status.
submit() {
  curl -s -m 30 -w ' %{http_code}' "http://$(front "$1")/pule/$2" -H 'Host: pule.example' \
    -H 'Content-Type: application/json' -H "Request-Deadline: ${7:-20000}" \
    -d "{\"spec\": \"$4\", \"best_effort\": true, \"steps\": [{\"count\": $3, \"cpu\": 14000, \"mem_mb\": 64,
    \"estimated_ms\": $5${6:-}}]}"
}

# cancel INSTANCE ID: prints the status.
cancel() {
  curl -s -m 4 -o /dev/null -w '%{http_code}' -X DELETE "http://$(front "$1")/pule/$2" -H 'Host: pule.example'
}

# wait_for_event PATTERN SECONDS: waits for a line of the workers' events.
wait_for_event() {
  local tries=$(($2 * 50))
  while ! grep -q "$1" "$DIR/events"; do
    tries=$((tries - 1))
    [ $tries -gt 0 ] || return 1
    sleep 0.02
  done
}

# Appends the workers' events to the record, with times since T0.
record_events() {
  echo "events of the workers:" >>"$RECORD"
  awk -v t0="$T0" '{ $1 = ($1 - t0) " ms:"; print }' "$DIR/events" >>"$RECORD"
}

# judge_cancel JOB ACK: rule UNASKED for a job whose cancelling was acknowledged
# at ACK (Unix ms).  Returns 1 if it was broken.
judge_cancel() {
  local verdict broken
  verdict=$(awk -v ack=$(($2 - T0)) -v cancel=$CANCEL_MS -v stop=$STOP_MS -v job="$1" '
    $3 == "start" && index($4, job) { begun[$5] = $1; if ($1 > ack + cancel) late++ }
    $3 == "end" && index($4, job) && $1 > ack + cancel + stop && begun[$5] <= ack + cancel { on++ }
    END {
      printf "starts later than cancel_ms after the acknowledgement: %d\n", late
      printf "runs that went on cancel_ms + stop_timeout_ms after it: %d\n", on
      exit late + on > 0
    }' "$RECORD")
  broken=$?
  echo "$verdict" | tee -a "$RECORD"
  return $broken
}
