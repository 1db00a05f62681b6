#!/bin/bash
# P8: operators apply notes at the same time, the platform's answers are lost, old
# or repeated, and a failure domain cannot reach the platform.  Guards against two
# notes at one revision, a wrong answer to an operator, and a revision that goes
# down.
cd "$(dirname "$0")/../.." || exit 2
. scripts/cluster.sh
. tests/faults/conf-lib.sh
trap cleanup EXIT
ARGS=(--log-level notice)
ROUNDS=12

start_platform || die "platform"
start_upstreams 1 || die "upstreams"
write_note "$DIR/note.json" 0 brum=1
apply_note "$DIR/note.json" >/dev/null || die "first note"
start_entry brum-1 brum 1 1 "${ARGS[@]}"
start_entry brum-2 brum 1 2 "${ARGS[@]}"
# The domain potteries gets an address of the platform at which nothing listens.
REAL=$PLATFORM
PLATFORM=$NET.251.1:7100
start_entry potteries-1 potteries 2 1 "${ARGS[@]}"
start_entry potteries-2 potteries 2 2 "${ARGS[@]}"
PLATFORM=$REAL
for name in "${ENTRIES[@]}"; do
  entry_ready "$name" || die "$name is not ready"
done
REVISION=1

# Samples the revision in force of all instances until it is killed.
sample() {
  local name
  while :; do
    for name in "${ENTRIES[@]}"; do
      echo "$name $(revision_of "$name")"
    done
    sleep 0.02
  done
}
sample >"$DIR/samples" &
PID[sampler]=$!

# try_apply NAME FILE: applies a note; output and exit status go to
# DIR/NAME.output and DIR/NAME.status.
try_apply() {
  apply_note "$2" >"$DIR/$1.output" 2>&1
  echo $? >"$DIR/$1.status"
}

# The latest revision in the store.
store_revision() {
  "$BIN/papayaloft" --platform "http://$PLATFORM" show | jq .revision
}

# is_stored REVISION FILE: whether the store has this note at that revision.
is_stored() {
  "$BIN/papayaloft" --platform "http://$PLATFORM" show "$1" 2>/dev/null \
    | cmp -s - <(cat "$2" && echo)
}

# race TEXT: applies two notes with the same base at once.
race() {
  local next=$((REVISION + 1)) a b winner=left loser=right
  team_note "$DIR/left.json" $REVISION "left-$next" 1
  team_note "$DIR/right.json" $REVISION "right-$next" 1
  try_apply left "$DIR/left.json" &
  a=$!
  try_apply right "$DIR/right.json" &
  b=$!
  wait $a $b
  [ "$(<"$DIR/left.status")" = 0 ] || { winner=right; loser=left; }
  equal "$1: output of the winner" "accepted revision $next" \
    "$(<"$DIR/$winner.output")"
  equal "$1: exit status of the loser" 1 "$(<"$DIR/$loser.status")"
  check "$1: the loser gets the winner's revision: $(<"$DIR/$loser.output")" \
    grep -q "NOTE_CONFLICT: .*revision $next won" "$DIR/$loser.output"
  check "$1: the winner's note is stored" is_stored $next "$DIR/$winner.json"
  REVISION=$next
}

for _ in $(seq $ROUNDS); do race "race"; done
platform_fault '{"mode":"lose_answer"}'
for _ in 1 2 3; do race "race with lost answers"; done
platform_fault '{"mode":"none"}'
team_note "$DIR/single.json" $REVISION single 1
platform_fault '{"mode":"lose_answer","count":1}'
try_apply single "$DIR/single.json"
REVISION=$((REVISION + 1))
equal "one lost answer" "accepted revision $REVISION" "$(<"$DIR/single.output")"
check "one lost answer: stored" is_stored $REVISION "$DIR/single.json"
platform_fault '{"mode":"none"}'
check "in force everywhere after the races" \
  [ "$(wait_in_force 12000 $REVISION "${ENTRIES[@]}")" != timeout ]

# Old and repeated answers while notes are applied: the reported result is true.
for mode in stale rewind stale; do
  platform_fault '{"mode":"'$mode'"}'
  team_note "$DIR/$mode.json" $REVISION "$mode-$REVISION" 1
  try_apply $mode "$DIR/$mode.json"
  sleep 1.2
  platform_fault '{"mode":"none"}'
  if [ "$(<"$DIR/$mode.status")" = 0 ]; then
    REVISION=$((REVISION + 1))
    check "$mode: accepted and stored" is_stored $REVISION "$DIR/$mode.json"
  else
    check "$mode: not accepted and not stored" \
      eval '! is_stored $((REVISION + 1)) "$DIR/$mode.json"'
  fi
  equal "$mode: revision of the store" $REVISION "$(store_revision)"
done
check "in force everywhere after old answers" \
  [ "$(wait_in_force 12000 $REVISION "${ENTRIES[@]}")" != timeout ]

# Time from acceptance until a note is in force everywhere, also in the domain
# without the platform.
times=()
for i in 1 2 3 4; do
  team_note "$DIR/timed.json" $REVISION "timed-$i" 1
  try_apply timed "$DIR/timed.json"
  REVISION=$((REVISION + 1))
  equal "timed note" 0 "$(<"$DIR/timed.status")"
  took=$(wait_in_force 12000 $REVISION "${ENTRIES[@]}")
  check "in force within 12 s, also without the platform" \
    [ "$took" != timeout ]
  times+=("$took")
done
echo "accepted to in force everywhere (ms): ${times[*]}"

equal "history without a gap" "$(seq $REVISION | tail -n 50 | tr '\n' ' ')" \
  "$("$BIN/papayaloft" --platform "http://$PLATFORM" history \
    | cut -d ' ' -f 1 | tr '\n' ' ')"
# Each round adds one team; a merge of two notes would add two.
equal "teams of the configuration" $((5 + REVISION - 1)) \
  "$("$BIN/papayaloft" --platform "http://$PLATFORM" show \
    | jq '.teams | length')"
kill "${PID[sampler]}"
wait "${PID[sampler]}" 2>/dev/null
unset "PID[sampler]"
reverted=$(awk 'NF == 2 { if ($2 < seen[$1]) n++; seen[$1] = $2 }
  END { print n + 0 }' "$DIR/samples")
equal "revisions that went down in $(wc -l <"$DIR/samples") samples" 0 \
  "$reverted"
for name in "${ENTRIES[@]}"; do
  equal "$name: revisions put in force after a higher one" 0 "$(awk '
    /CONF_APPLIED/ { sub(/.*revision=/, ""); if ($1 <= last) n++; last = $1 }
    END { print n + 0 }' "$DIR/$name.log")"
done
check "samples were taken" [ "$(wc -l <"$DIR/samples")" -gt 100 ]
finish
