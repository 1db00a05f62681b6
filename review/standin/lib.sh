# Functions of the scripts of review/: a small deployment on loopback addresses.
# The script that sources this file has set HERE to its folder.
TOP=$(cd "$HERE/../.." && pwd)
BIN=$TOP/target/review
DIR=$(mktemp -d)
NET=127.57.$((RANDOM % 200 + 20))
STORE=$NET.1:9100
RECORD=$HERE/record.txt
TROUBLE=${TROUBLE:-1}
PIDS=()
: >"$RECORD"

cleanup() {
  local pid
  for pid in "${PIDS[@]}"; do kill -CONT "$pid" 2>/dev/null; kill -9 "$pid" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$DIR"
}
trap cleanup EXIT

# give_up TEXT: the case can't run.
give_up() { echo "can't run: $1" | tee -a "$RECORD"; exit 2; }

# now: microseconds on the steady clock that the stand-ins use.
now() { awk '{printf "%.0f\n", $1 * 1000000}' /proc/uptime; }

# note TEXT: a line in the record.
note() { echo "$(now) note $1" >>"$RECORD"; }

# run COMMAND...: starts a process that cleanup ends; its id is in RUN_PID.
run() { "$@" & RUN_PID=$!; PIDS+=("$RUN_PID"); }

# http METHOD IP:PORT TARGET [HOST [DEADLINE_MS [BODY]]]: sends a request on a
# connection of its own, and prints status and body of the answer.
http() {
  local fd line
  exec {fd}<>"/dev/tcp/${2%:*}/${2#*:}" || return 1
  printf '%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\nRequest-Deadline: %s\r\nContent-Type: application/json\r\nContent-Length: %s\r\n\r\n%s' \
    "$1" "$3" "${4:-$2}" "${5:-1500}" "${#6}" "${6:-}" >&"$fd"
  read -r -t 12 line <&"$fd"
  line=${line#* }
  printf '%s ' "${line%% *}"
  while read -r -t 2 line && [ "$line" != $'\r' ]; do :; done <&"$fd"
  cat <&"$fd"
  exec {fd}>&-
}

# start_store: the store of the project's stand-in, without workers of its own.
start_store() {
  run "$BIN/standin-fleet" "$NET.1" 9100 0 brum 2>"$DIR/store.log"
  wait_for 5 has_store || give_up "the store does not start"
}

has_store() { http GET "$STORE" /standin/report >/dev/null 2>&1; }

# start_instance N ZONE: an instance, started as deploy/system.toml says.
start_instance() {
  cat >"$DIR/i$1.json" <<END
{"node_name": "i$1", "role": "entry", "machine_class": "edge", "serves": ["edge", "control_plane"],
 "zone": "$2", "region": "midlands", "ip": "$NET.1$1",
 "listen": {"front": "$NET.1$1:8161", "readiness": "$NET.1$1:8167", "control": "$NET.1$1:8166"},
 "internal_ports": [7720, 7735], "seeds": ["$NET.11:8166", "$NET.12:8166"],
 "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260, "max_fds": 4100}, "heartbeat_ms": 1500,
 "bounds": {"grace_s": 6, "contact_ms": 3000, "cancel_ms": 3000, "stop_timeout_ms": 50, "resend_ms": 1300},
 "platform": {"address": "$STORE", "form": "kv", "min_ttl_ms": 1000}}
END
  PAPAYALOFT_NODE_FILE=$DIR/i$1.json run "$TOP/target/bin/papayaloft-platformd" >>"$DIR/i$1.log" 2>&1
  declare -g "INSTANCE_$1=$RUN_PID"
}

# start_worker N ZONE [LABEL]: a worker of the service board-orders.
start_worker() {
  run "$BIN/worker" "$STORE" "$NET.2$1:8300" "i-0000000$1" "$2" "$RECORD" ${3:+"$3"}
}

# worker_pid N: the process of worker N.
worker_pid() { awk -v id="i-0000000$1" '$2 == "up" && $3 == id {pid = $4} END {print pid}' "$RECORD"; }

# write_config VERSION [TARGET_MS]: the operator's configuration with the queue
# "pule" and its target latency.
write_config() {
  http POST "$STORE" "/standin/put?key=op/config" "" "" "{\"version\": $1,
    \"routes\": [{\"name\": \"r-pule\", \"host\": \"pule.example\", \"prefix\": \"/pule/\",
      \"service\": \"board-orders\", \"priority\": 0, \"max_attempts\": 2, \"stretch\": 1.6,
      \"target_latency_ms\": ${2:-60}, \"timeout_ms\": 1500}],
    \"services\": [{\"name\": \"board-orders\"}], \"limits\": {\"max_body_bytes\": 262144}}" >/dev/null
}

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

is_ready() { [[ $(http GET "$NET.1$1:8167" /readyz 2>/dev/null) == 200* ]]; }
