# Shell functions that start and stop a small installation on loopback addresses
# for the demo, the fault tests and the benchmarks. Source it; do not run it.
#
# Each run locks a second octet of 127.0.0.0/8 for itself, so that two runs at
# once never use the same addresses.
# Variables: DIR (logs and state), NET (address prefix), BIN (programs), WORKERS
# (workers per failure domain), SLOTS (slots per worker).

BIN=${BIN:-build/bin}
WORKERS=${WORKERS:-6}
SLOTS=${SLOTS:-8}
for ((octet = $$; ; octet++)); do
  NET=127.$((64 + octet % 128))
  exec {NET_LOCK}>>"/tmp/papayaloft-net-$UID-${NET#127.}"
  flock -n "$NET_LOCK" && break
  exec {NET_LOCK}>&-
done
DIR=$(mktemp -d)
PLATFORM=$NET.250.1:7100
declare -A PID   # name -> process id
declare -A HTTP  # entry name -> address for callers
declare -A PEER  # entry name -> control address
ENTRIES=()       # entry names in the order of their start

# start NAME PROGRAM ARG...: runs a program in the background; its standard
# error goes to DIR/NAME.log.
start() {
  local name=$1
  shift
  "$@" 2>>"$DIR/$name.log" >>"$DIR/$name.out" &
  PID[$name]=$!
}

# Kills every process that this script started, by its id, and removes DIR unless
# KEEP is set.
cleanup() {
  kill_all 2>/dev/null # bash reports killed processes, after the summary line
  [ -n "${KEEP:-}" ] || rm -rf "$DIR"
}

kill_all() {
  local name
  for name in "${!PID[@]}"; do
    kill -CONT "${PID[$name]}"
    kill -KILL "${PID[$name]}"
  done
  wait
}

# wait_for SECONDS COMMAND...: polls until COMMAND succeeds.
wait_for() {
  local limit=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ $SECONDS -lt $limit ] || return 1
    sleep 0.05
  done
}

http_ok() { curl -sf -m 1 -o /dev/null "http://$1"; }

start_platform() {
  start platform "$BIN/standin-platform" --listen "$PLATFORM" \
    --log "$DIR/platform.calls"
  wait_for 5 http_ok "$PLATFORM/standin/stats"
}

# platform_fault JSON: sets the fault of the platform stand-in.
platform_fault() {
  curl -sf -m 2 -o /dev/null "http://$PLATFORM/standin/fault" -d "$1"
}

# start_upstreams INDEX: starts the workers of the failure domain with that index.
start_upstreams() {
  local i=$1
  start "upstream-$i" "$BIN/standin-upstream" --base "$NET.$i.1" \
    --count "$WORKERS" --port 9000 --slots "$SLOTS" --connections 60 \
    --log "$DIR/starts-$i.log" --seed "$i"
  wait_for 5 http_ok "$NET.$i.1:9000/standin/stats"
}

# start_entry NAME DOMAIN INDEX NUMBER ARG...: starts an entry instance; NUMBER
# distinguishes the instances of a failure domain. Its seeds are all other entries
# that have been started so far.
start_entry() {
  local name=$1 domain=$2 i=$3 n=$4
  shift 4
  local ip=$NET.$i.$((100 + n))
  local seeds=$ip:7000 other
  for other in "${ENTRIES[@]}"; do
    [ "$other" = "$name" ] || seeds=$seeds,${PEER[$other]}
  done
  HTTP[$name]=$ip:8080
  PEER[$name]=$ip:7000
  start "$name" "$BIN/papayaloftd" --domain "$domain" --listen "$ip:8080" \
    --peer-listen "$ip:7000" --peers "${seeds#"$ip:7000"}" \
    --platform "http://$PLATFORM" "$@"
  [[ " ${ENTRIES[*]} " == *" $name "* ]] || ENTRIES+=("$name")
}

entry_ready() { wait_for 10 http_ok "${HTTP[$1]}/readyz"; }

# The addresses of all entries for callers, comma separated.
entry_list() {
  local name list=
  for name in "${ENTRIES[@]}"; do
    list=$list,${HTTP[$name]}
  done
  printf '%s' "${list#,}"
}

# write_note FILE BASE DOMAIN=INDEX...: writes a note with two services, five teams
# and the workers of the named failure domains.
write_note() {
  local file=$1 base=$2 workers='[]' pair i w
  shift 2
  for pair in "$@"; do
    i=${pair#*=}
    for w in $(seq 1 "$WORKERS"); do
      workers=$(jq -c --arg a "$NET.$i.$w:9000" --arg d "${pair%=*}" \
        --arg r "rack-$((w / 6))" --argjson s "$SLOTS" \
        '. + [{address:$a,domain:$d,rack:$r,slots:$s,memory_mb:2600}]' \
        <<<"$workers")
    done
  done
  jq -n --argjson base "$base" --argjson workers "$workers" \
    --arg id "$(cat /proc/sys/kernel/random/uuid)" '
    def kind($n; $r; $f): {name:$n,repeatable:$r,fan_out:$f,max_tasks:390,
                           deadline_ms:30000};
    {id:$id, base:$base, comment:"first configuration",
     added:{services:[
       {name:"board-orders",kinds:[kind("layout-preview";true;"boards"),
         kind("lettering-plan";true;"lines"),kind("price-check";false;"items")]},
       {name:"agenda",kinds:[kind("confirm-hold";false;"holds"),
         kind("release-slot";false;"slots"),
         kind("check-calendar";true;"engineers")]}],
      teams:[{name:"counter",weight:4,max_slots:0},
             {name:"studio",weight:2,max_slots:0},
             {name:"prices",weight:1,max_slots:0},
             {name:"bookings",weight:4,max_slots:0},
             {name:"calendar",weight:1,max_slots:0}],
      workers:$workers}}' >"$file"
}

# apply_note FILE: applies a note to the platform.
apply_note() {
  "$BIN/papayaloft" --platform "http://$PLATFORM" apply "$1"
}

# stop_entry NAME: stops an entry gracefully; returns its exit status.
stop_entry() {
  kill -TERM "${PID[$1]}" 2>/dev/null
  wait "${PID[$1]}"
  local status=$?
  unset "PID[$1]"
  return $status
}

# kill_entry NAME: kills an entry or another process that start has started.
kill_entry() {
  kill -KILL "${PID[$1]}" 2>/dev/null
  wait "${PID[$1]}" 2>/dev/null
  unset "PID[$1]"
}

# metric NAME METRIC: one metric of one entry; METRIC is without the prefix.
metric() {
  curl -sf -m 2 "http://${HTTP[$1]}/metrics" \
    | awk -v m="papayaloft_$2" '$1 == m { print $2 }'
}

# status_of NAME: /v1/status of one entry.
status_of() { curl -sf -m 2 "http://${HTTP[$1]}/v1/status"; }
