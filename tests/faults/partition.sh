#!/bin/bash
# Partitions between entry instances and from workers: both sides go on serving
# new work, and what is said about old keys is true.  Instances reach each other
# through forwarders that tell them apart by source address.
cd "$(dirname "$0")/../.." || exit 2
. tests/faults/lib.sh
SEED=${SEED:-31}
WORKERS=2

# Entries of d1 reach the workers of d1 through the forwarder, too.
edit_note() { sed -i "s/$NET\.1\.\([12]\):9000/$NET.1.5\1:9000/" "$1"; }
setup 1 2
quick=(--log-level notice --heartbeat-ms 100 --far-heartbeat-ms 200
  --suspect-ms 500 --dead-ms 700)
declare -A OWN FRONT # listening and advertised control addresses' IPs

# Entry $1 of domain d$2, number $3, is told to peers as 200 + number.
declare_entry() {
  OWN[$1]=$NET.$2.$((100 + $3))
  FRONT[$1]=$NET.$2.$((200 + $3))
  rules+=(--rule "${FRONT[$1]}:7000=${OWN[$1]}:7000"
    --rule "${FRONT[$1]}:7001=${OWN[$1]}:7001")
}
rules=()
declare_entry a 1 1
declare_entry b 1 2
declare_entry c 2 1
declare_entry d 2 2
for w in 1 2; do
  rules+=(--rule "$NET.1.5$w:9000=$NET.1.$w:9000")
done
CONTROL=$NET.250.2
start forwarder "$BIN/standin-forwarder" --control "$CONTROL:7200" \
  "${rules[@]}"

order() {
  local answer
  exec 9<>"/dev/tcp/$CONTROL/7200" || return 1
  printf '%s\n' "$*" >&9
  read -r answer <&9
  exec 9>&-
  [ "$answer" = ok ]
}
wait_for 5 order pass '*' '*' || give_up "the forwarder does not start"

# one_way MODE FROM TO: what FROM sends to TO; replies have their own way.
one_way() {
  order "$1" "${OWN[$2]}" "${FRONT[$3]}:7000" \
    && order "$1" "${OWN[$2]}" "${FRONT[$3]}:7001"
}
both_ways() { one_way "$1" "$2" "$3" && one_way "$1" "$3" "$2"; }

fronted() {
  local name=$1 domain=$2 i=$3 n=$4 seeds= other
  for other in a b c d; do
    [ "$other" = "$name" ] || seeds=$seeds,${FRONT[$other]}:7000
  done
  HTTP[$name]=${OWN[$name]}:8080
  ENTRIES+=("$name")
  start "$name" "$BIN/papayaloftd" --domain "$domain" \
    --listen "${OWN[$name]}:8080" --peer-listen "${OWN[$name]}:7000" \
    --advertise "${FRONT[$name]}:7000" --peers "${seeds#,}" \
    --platform "http://$PLATFORM" "${quick[@]}"
}
fronted a d1 1 1
fronted b d1 1 2
fronted c d2 2 1
fronted d d2 2 2
all_ready
all_meet
is "peers know the advertised address" \
  "$(status_of b | jq -r --arg a "${FRONT[a]}:7000" \
    '[.peers[] | select(.control == $a)] | length')" 1

# attempt PHASE ENTRY NUMBER: a caller's new job, with a new key when the first
# is refused.  Prints the codes.
attempt() {
  local try got
  for try in 1 2; do
    got=$(post "$2" "$(prefix_of "$2").$1-$3-$try" \
      "$(job "$1-$2-$3.$try.0" 10 check-calendar)" | verdict)
    printf '%s ' "${got#* }"
    [[ $got == not_run* ]] || return
  done
}

# serve PHASE ENTRY...: 16 new jobs at each entry, one every 50 ms, with the
# entry's own prefix.
serve() {
  local phase=$1 name i first all pids=()
  shift
  for i in $(seq 16); do
    for name in "$@"; do
      attempt "$phase" "$name" "$i" >"$DIR/serve-$phase-$name-$i" &
      pids+=("$!")
    done
    sleep 0.05
  done
  wait "${pids[@]}" 2>/dev/null
  for name in "$@"; do
    all=$(grep -l 'OK ' "$DIR/serve-$phase-$name"-* | wc -l)
    first=$(grep -l '^OK ' "$DIR/serve-$phase-$name"-* | wc -l)
    printf 'measured: %s: %s of 16 new jobs complete at %s, %s with one key\n' \
      "$phase" "$all" "$name" "$first"
    [ "$name" = "${no_bound:-}" ] \
      || expect "$phase: $name serves new jobs" test "$all" -ge 15
  done
}
starts_stay() {
  local i
  for i in 1 2 3 4; do
    is "$1, $i: starts" "$(starts_of "$1-$i.1.0")" "$2"
  done
}

# Forwards and permits through the forwarders.
prefix=$(prefix_of a)
for i in 1 2 3 4; do
  is "through forwarders, $i" \
    "$(post d "$prefix.old-$i" "$(job "old-$i.1.0" 10)" | code)" OK
done
expect "a permit was granted" test "$(metric b permits_granted_total)" -gt 0
serve whole a b c d

"$BIN/papayaload" run --entry "$(entry_list)" --mix all --seed "$SEED" \
  --rate 10 --scale 0.05 --seconds 23 --threads 100 --tries 5 \
  --deadline-ms 3000 --history "$DIR/history.log" --out "$DIR/report.json" \
  >"$DIR/load.txt" 2>&1 &
PID[load]=$!

# Both ways between the two instances of a domain; their old keys.
both_ways cut a b
serve cut-ab a b
for i in 1 2 3 4; do
  is "cut a-b: answered key $i of a at b" \
    "$(post b "$prefix.old-$i" "$(job "old-$i.1.0" 10)" | verdict)" \
    "unknown UNKNOWN_OWNER"
  is "cut a-b: answered key $i of a at d" \
    "$(post d "$prefix.old-$i" "$(job "old-$i.1.0" 10)" | code)" OK
  is "cut a-b: new key $i of a at b" \
    "$(post b "$prefix.cut-$i" "$(job "cut-$i.1.0" 10)" | verdict)" \
    "not_run REVOKED"
  is "cut a-b: the same key $i at a" \
    "$(post a "$prefix.cut-$i" "$(job "cut-$i.1.0" 10)" | verdict)" \
    "not_run NO_PERMIT"
done
order pass '*' '*'
expect "a and b meet again" wait_for 5 sees a 3
expect "b and a meet again" wait_for 5 sees b 3
for i in 1 2 3 4; do
  is "healed: revoked key $i of a at a" \
    "$(post a "$prefix.cut-$i" "$(job "cut-$i.1.0" 10)" | verdict)" \
    "not_run NO_PERMIT"
done
starts_stay cut 0
starts_stay old 1

# One way: a hears b but cannot reach it, and the other way round.
expect "a has a witness again" wait_for 5 has_witness a
expect "b has a witness again" wait_for 5 has_witness b
prefix=$(prefix_of a)
one_way cut a b
serve deaf-b a b
for i in 1 2 3 4; do
  post b "$prefix.deaf-$i" "$(job "deaf-$i.1.0" 10)" >"$DIR/deaf-$i"
  expect "a does not reach b: key $i is not run or unknown" \
    jq -e '.outcome == "not_run" or .outcome == "unknown"' "$DIR/deaf-$i" \
    >"$DIR/null"
  [ "$(jq -r .outcome "$DIR/deaf-$i")" != not_run ] \
    || is "a does not reach b: not run, $i" "$(starts_of "deaf-$i.1.0")" 0
done
order pass '*' '*'
expect "a has a witness again" wait_for 5 has_witness a
expect "b has a witness again" wait_for 5 has_witness b
one_way stall b a
serve stall-a a b
order pass '*' '*'
expect "a and b meet after the stall" wait_for 5 sees a 3
expect "b and a meet after the stall" wait_for 5 sees b 3

# A domain cut from the other.
prefix=$(prefix_of a)
for i in a b; do
  for j in c d; do both_ways cut $i $j; done
done
serve domains a b c d
for i in 1 2 3 4; do
  got=$(post c "$prefix.far-$i" "$(job "far-$i.1.0" 10)" | verdict)
  is "cut domains: key $i of a at c" "$got" "unknown UNKNOWN_OWNER"
done
order pass '*' '*'

# Entry a cut from one worker, then stalled at the other; b reaches both.  What
# a can complete depends on where its tasks go; what it says must be true.
order cut "${OWN[a]}" "$NET.1.51:9000"
no_bound=a
serve one-worker a b
order stall "${OWN[a]}" "$NET.1.52:9000"
serve no-worker a b
order pass '*' '*'

check_load
finish
