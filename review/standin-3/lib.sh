# What the scripts of the cases 11 to 15 share: instances of
# papayaloft-platformd as the deploy file runs them, the project's stand-in of
# the store, workers of their own processes, clients.  Sourced by run.sh in the
# folder of a case; run.sh works from the root of the tree.

TROUBLE=${TROUBLE:-1}
CASE=$(cd "$(dirname "$0")" && pwd)
cd "$CASE/../.." || exit 2
OUT=target/review-3
DAEMON=target/bin/papayaloft-platformd
RECORD=$CASE/record.txt
DIR=$(mktemp -d)
NET=127.$((RANDOM % 200 + 20)).$((RANDOM % 200 + 20))
STORE=$NET.1:9100
declare -A PID
: >"$RECORD"

# Bounds of the pages.
CANCEL_MS=3000
ACK_MS=4000
STOP_MS=50

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

# now: time of the steady clock in ms, as in the records of the workers.
now() { "$OUT/call-3"; }

# note TEXT...: a line of the record.
note() { echo "$(now) $*" >>"$RECORD"; }

# give_up TEXT: the case can't run.
give_up() {
  note "can't run: $*"
  echo "can't run: $*"
  exit 2
}

for program in "$DAEMON" $OUT/store-3 $OUT/server-3 $OUT/call-3 $OUT/door-3; do
  [ -x "$program" ] || give_up "$program is missing"
done

# call METHOD IP:PORT PATH HOST WAIT_MS BODY [HEADER...]: status and body.
call() { "$OUT/call-3" "$@"; }
status() { "$OUT/call-3" "$@" | cut -c 1-3; }

# wait_for SECONDS COMMAND...: polls until the command succeeds.
wait_for() {
  local tries=$(($1 * 20))
  shift
  while ! "$@"; do
    tries=$((tries - 1))
    [ "$tries" -gt 0 ] || return 1
    sleep 0.05
  done
}

start_store() {
  $OUT/store-3 "$NET.1" 9100 0 none 2>>"$DIR/store.log" &
  PID[store]=$!
  wait_for 5 store_answers || give_up "the store does not start"
}
store_answers() { [ "$(status GET "$STORE" /standin/report x 500 '')" = 200 ]; }

# start_door N: a path of its own to the store, for instance N.
start_door() {
  $OUT/door-3 "$NET.1:$((9100 + $1))" "$STORE" 2>>"$DIR/door.log" &
  PID[d$1]=$!
}

front() { echo "$NET.$((10 + $1)):8161"; }

# write_settings N ZONE [STORE]
write_settings() {
  local ip=$NET.$((10 + $1))
  cat >"$DIR/i$1.json" <<END
{"node_name": "edge-$2-$1", "role": "entry", "machine_class": "edge", "serves": ["edge", "control_plane"],
 "ip": "$ip", "zone": "$2", "region": "r", "zones": {"za": "r", "zb": "r", "zc": "r"},
 "listen": {"front": "$ip:8161", "readiness": "$ip:8167", "control": "$ip:8166"},
 "internal_ports": [7720, 7735], "seeds": ["$NET.11:8166", "$NET.12:8166", "$NET.13:8166"],
 "bootstrap": false, "loss_counts": false,
 "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
 "data_dir": null, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1500,
 "contracts": ["base", "drain", "config", "cost", "recover", "sched", "platform"],
 "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
 "bounds": {"contact_ms": 3000, "ack_ms": $ACK_MS, "drain_ms": 2000, "grace_s": 6, "config_apply_ms": 2000,
  "max_hold_ms": 1000, "stop_timeout_ms": $STOP_MS, "cancel_ms": $CANCEL_MS, "resend_ms": 1300},
 "orders": "request",
 "platform": {"address": "${3:-$STORE}", "form": "kv", "writes_per_s": 400, "reads_per_s": 2000,
  "history_s": 20, "value_bytes": 1048576, "min_ttl_ms": 1000}}
END
}

# start_instance N: the command of the deploy file.
start_instance() {
  PAPAYALOFT_NODE_FILE=$DIR/i$1.json $DAEMON >>"$DIR/i$1.log" 2>&1 &
  PID[i$1]=$!
  disown
}
is_ready() { [ "$(status GET "$NET.$((10 + $1)):8167" /readyz x 500 '')" = 200 ]; }
wait_ready() {
  local n
  for n in "$@"; do
    wait_for 10 is_ready "$n" || give_up "instance $n is not ready"
  done
}

# start_server N ZONE KIND CPU: worker i-N; ADDRESS is where it is reached.
start_server() {
  $OUT/server-3 "i-$1" "$NET.1:$((9200 + $1))" "$STORE" "$2" "$3" "r-$1" "$4" "$RECORD" ${ADDRESS:+"$ADDRESS"} 2>>"$DIR/server.log" &
  PID[s$1]=$!
  disown
}

# route NAME: a route of the configuration; write_config VERSION ROUTES.
route() {
  printf '{"name": "r-%s", "host": "%s.example", "prefix": "/%s/", "type": "non_idempotent",
    "service": "board-orders", "priority": 0, "max_attempts": 2, "stretch": 1.6,
    "target_latency_ms": 3000, "timeout_ms": 1500}' "$1" "$1" "$1"
}
write_config() {
  local answer
  answer=$(status POST "$STORE" "/standin/put?key=op/config" x 1000 "{\"version\": $1, \"routes\": [$2],
    \"services\": [{\"name\": \"board-orders\", \"health_path\": \"/healthz\", \"max_conns\": 64,
      \"protocol\": \"h1\", \"tls\": false, \"enforces_capacity\": false, \"standby\": false}],
    \"limits\": {\"max_header_bytes\": 16384, \"max_body_bytes\": 262144, \"header_timeout_ms\": 3000,
      \"idle_timeout_ms\": 15000}}")
  note "operator: configuration $1 acknowledged: $answer"
}

# job TASKS MS [MEMBERS]: the body of a job of tasks of 14 cores.
job() {
  printf '{"spec":"ms=%s cpu=14000","best_effort":true,"steps":[{"count":%s,"cpu":14000,"mem_mb":64,"estimated_ms":%s%s}]}' \
    "$2" "$1" "$2" "${3:-}"
}

# submit N ROUTE ID WAIT_MS BODY: a client hands a job in at instance N, and
# notes the answer.
submit() {
  note "client: POST $3 to instance $1"
  note "client: POST $3 answered: $(call POST "$(front "$1")" "/$2/$3" "$2.example" "$4" "$5" "Request-Deadline: $4")"
}
