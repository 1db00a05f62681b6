# Instances of papayaloft-platformd on the stand-in of the users' platform, for
# shell tests.  Source it from the root of the tree.

BIN=${BIN:-build/bin}
DIR=$(mktemp -d)
NET=127.41.$((RANDOM % 200 + 1))
STORE=$NET.1:9100
declare -A PID
. tests/checks.sh

cleanup() {
  local name
  for name in "${!PID[@]}"; do
    kill -9 "${PID[$name]}" 2>/dev/null
  done
  wait 2>/dev/null
  rm -rf "$DIR"
}
trap cleanup EXIT

# front N: where instance N serves its callers.
front() { printf '%s.%s:8161' "$NET" $((10 + $1)); }

# write_settings N ZONE: writes the settings file of instance N.
write_settings() {
  cat >"$DIR/i$1.json" <<END
{"node_name": "i$1", "zone": "$2", "ip": "$NET.$((10 + $1))",
 "listen": {"front": "$(front "$1")", "readiness": "$NET.$((10 + $1)):8167"},
 "internal_ports": [7720, 7735], "seeds": ["$NET.11:8166"],
 "bounds": {"grace_s": 6}, "platform": {"address": "$STORE"}, "new": [1]}
END
}

# start_instance N [BIN]: starts instance N, of the build BIN.
start_instance() {
  PAPAYALOFT_NODE_FILE=$DIR/i$1.json "${2:-$BIN}/papayaloft-platformd" \
    >>"$DIR/i$1.log" 2>&1 &
  PID[i$1]=$!
}

# ready_status N: HTTP status of the readiness check of instance N.
ready_status() { curl -s -m 1 -o /dev/null -w '%{http_code}' "http://$NET.$((10 + $1)):8167/readyz"; }

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

is_ready() { [ "$(ready_status "$1")" = 200 ]; }
is_not_ready() { [ "$(ready_status "$1")" = 503 ]; }

# write_config VERSION ROUTES: writes the operator's configuration to the store.
write_config() {
  curl -s -o /dev/null "http://$STORE/standin/put?key=op/config" -d "{\"version\": $1,
    \"routes\": [$2], \"services\": [{\"name\": \"board-orders\"}],
    \"limits\": {\"max_body_bytes\": 262144}}"
}

# route NAME: prints a route.
route() {
  printf '{"name": "r-%s", "host": "%s.example", "prefix": "/%s/", "service": "board-orders",
    "priority": 0, "max_attempts": 2, "stretch": 1.6, "target_latency_ms": 3000, "timeout_ms": 1500}' "$1" "$1" "$1"
}

# submit INSTANCE ROUTE ID TASKS MS [FLAGS [BEST_EFFORT]]: submits a job and
# prints body and HTTP status; FLAGS are added to the spec of its tasks.
submit() {
  curl -s -m 12 -w ' %{http_code}' "http://$(front "$1")/$2/$3" \
    -H "Host: $2.example" -H 'Request-Deadline: 8000' -d "{\"spec\": \"ms=$5 cpu=14000 $6\",
    \"best_effort\": ${7:-true}, \"steps\": [{\"count\": $4, \"cpu\": 14000, \"mem_mb\": 64, \"estimated_ms\": $5}]}"
}

# report FILTER: a part of what the stand-in has counted.
report() { curl -s "http://$STORE/standin/report" | jq -c "$1"; }

# start_fleet WORKERS: starts the stand-in with workers in two failure domains.
start_fleet() {
  "$BIN/standin-fleet" "$NET.1" 9100 "$1" brum potteries 2>"$DIR/fleet.log" &
  PID[fleet]=$!
  wait_for 5 curl -s -o /dev/null "http://$STORE/standin/report" || echo "the stand-in does not start"
}
