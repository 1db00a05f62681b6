#!/bin/bash
# P6: a leaving upstream gets no start later than 3 s after the first sign that
# it leaves: the platform's instance list, the header Worker-Leaving of an answer,
# or a release note.
cd "$(dirname "$0")/../.." || exit 2
. scripts/cluster.sh
. tests/faults/conf-lib.sh
trap cleanup EXIT
ARGS=(--log-level notice)
SEED=41
LIMIT_MS=3000

start_platform || die "platform"
start_upstreams 1 && start_upstreams 2 || die "upstreams"
# potteries has one worker, so that every job there can run only on it.
write_note "$DIR/all.json" 0 brum=1 potteries=2
jq -c --arg one "$NET.2.1:9000" '.added.workers |= map(select(
  .domain == "brum" or .address == $one))' "$DIR/all.json" >"$DIR/note.json"
apply_note "$DIR/note.json" >/dev/null || die "first note"
start_entry brum-1 brum 1 1 "${ARGS[@]}"
start_entry brum-2 brum 1 2 "${ARGS[@]}"
start_entry potteries-1 potteries 2 1 "${ARGS[@]}"
start_entry potteries-2 potteries 2 2 "${ARGS[@]}"
for name in "${ENTRIES[@]}"; do
  entry_ready "$name" || die "$name is not ready"
done
BRUM=${HTTP[brum-1]},${HTTP[brum-2]}

# starts_after INDEX WORKER MS: counts the starts on a worker after a time.
starts_after() {
  awk -v a="$NET.$1.$2:9000" -v t="$3" '$2 == a && $3 == "start" &&
    $1 / 1000 > t { n++ } END { print n + 0 }' "$DIR/starts-$1.log"
}

# late_starts WORKER SIGN_MS: counts the starts on a worker of brum later than
# LIMIT_MS after the sign.
late_starts() { starts_after 1 "$1" $(($2 + LIMIT_MS)); }

# put_instance ID ADDRESS STATE: sets a worker in the platform's instance list.
put_instance() {
  local key value
  key=$(printf 'platform/instances/%s' "$1" | base64 -w 0)
  value=$(jq -nc --arg a "$2" --arg s "$3" \
    '{address:$a, domain:"brum", role:"worker", state:$s}' | base64 -w 0)
  curl -sf -m 2 -o /dev/null "http://$PLATFORM/v3/kv/put" \
    -d '{"key":"'"$key"'","value":"'"$value"'"}'
}

# worker_note FILE BASE PART WORKER: writes a note that withdraws or adds a worker
# of brum; PART is withdrawn or added.
worker_note() {
  jq -nc --arg id "$(cat /proc/sys/kernel/random/uuid)" --argjson base "$2" \
    --arg part "$3" --arg a "$NET.1.$4:9000" --argjson s "$SLOTS" \
    '{id:$id, base:$base, comment:($part + " " + $a), ($part): {workers:
      [if $part == "withdrawn" then $a else {address:$a, domain:"brum",
        rack:"rack-0", slots:$s, memory_mb:2600} end]}}' >"$1"
}

start_load load $SEED 22 "$BRUM" --load 0.3 --slots $((WORKERS * SLOTS)) \
  --scale 0.4 --threads 80
sleep 1.5

# List entries that must have no effect: a worker that stays is live, and an
# address that is no worker is leaving.
put_instance w5 "$NET.1.5:9000" live
put_instance unknown "$NET.1.77:9000" leaving
# Each of the three signs for another worker, while all are in use.
for w in 1 2 3; do
  check "worker $w is in use before the sign" \
    [ "$(starts_after 1 $w 0)" -gt 0 ]
done
curl -sf -m 2 -o /dev/null "http://$NET.1.1:9000/standin/fault" \
  -d '{"mode":"leaving"}'
header=$(now_ms)
put_instance w2 "$NET.1.2:9000" leaving
listed=$(now_ms)
worker_note "$DIR/withdraw.json" 1 withdrawn 3
check "withdrawal accepted" apply_note "$DIR/withdraw.json" >/dev/null
withdrawn=$(now_ms)

# Only potteries-1 gets the header from the only worker; potteries-2 has to learn
# of it from potteries-1.
curl -sf -m 2 -o /dev/null "http://$NET.2.1:9000/standin/fault" \
  -d '{"mode":"leaving"}'
equal "job whose answer has the header" OK "$(submit potteries-1 \
  "$(prefix_of potteries-1).sign" sign 20 | jq -r .name)"
sign=$(now_ms)
sleep 3.3
answer=$(submit potteries-2 "$(prefix_of potteries-2).late" late 20)
equal "job at the instance that got no header" NO_WORKER \
  "$(jq -r .name <<<"$answer")"
equal "starts on the only worker of potteries later than 3 s after the sign" \
  0 "$(starts_after 2 1 $((sign + LIMIT_MS)))"

# The list calls worker 2 live again, which it is not: the worker stays unused.
put_instance w2 "$NET.1.2:9000" live
sleep 3
equal "starts after the header" 0 "$(late_starts 1 $header)"
equal "starts after the list" 0 "$(late_starts 2 $listed)"
equal "starts after the note" 0 "$(late_starts 3 $withdrawn)"
check "a worker that the list calls live is used" \
  [ "$(starts_after 1 5 $((listed + LIMIT_MS)))" -gt 0 ]

# A later revision adds worker 2 again, while the list is out of date and still
# calls it leaving.
put_instance w2 "$NET.1.2:9000" leaving
sleep 1.5
worker_note "$DIR/out.json" 2 withdrawn 2
check "withdrawal of worker 2" apply_note "$DIR/out.json" >/dev/null
worker_note "$DIR/added_again.json" 3 added 2
check "worker 2 is added again" apply_note "$DIR/added_again.json" >/dev/null
added_again=$(now_ms)
check "in force" [ "$(wait_in_force 12000 4 brum-1 brum-2)" != timeout ]
sleep 4
equal "starts on worker 2 between list and note" 0 $(($(late_starts 2 $listed) \
  - $(starts_after 1 2 $added_again)))
check "worker 2 is used again" [ "$(starts_after 1 2 $((added_again + 2000)))" -gt 0 ]
equal "starts on worker 1 to the end" 0 "$(late_starts 1 $header)"
equal "starts on worker 3 to the end" 0 "$(late_starts 3 $withdrawn)"
end_load load
check_history
finish
