#!/bin/bash
# Mutation tests: shows that a test fails when the mechanism that it guards is
# disabled.  Each mutant is a copy of the tree with one small change; it is built
# and the named test must fail in it.  Not run by scripts/check.
# Usage: conf-mutants.sh [NAME...]
cd "$(dirname "$0")/../.." || exit 2
ONLY=" $* "
COPY=$(mktemp -d)
trap 'rm -rf "$COPY"' EXIT
make -s -j3 all || exit 2
survivors=0

# mutant NAME TEST FILE SED [FILE SED]...: edits each FILE with the sed script,
# builds, and runs TEST, a script under tests/ or a test program.
mutant() {
  local name=$1 test=$2 result
  shift 2
  [ "$ONLY" = "  " ] || [[ $ONLY == *" $name "* ]] || return
  rm -rf "$COPY/tree"
  mkdir "$COPY/tree"
  cp -a Makefile schema lib cmd platform tests scripts docs build "$COPY/tree"
  while [ $# -gt 0 ]; do
    sed -i -E "$2" "$COPY/tree/$1"
    cmp -s "$1" "$COPY/tree/$1" && { echo "$name: no change in $1"; exit 2; }
    shift 2
  done
  # WARN is empty because a change may leave a variable or a function unused.
  make -s -j3 -C "$COPY/tree" WARN= all >"$COPY/log" 2>&1 \
    || { echo "$name: does not build"; cat "$COPY/log"; exit 2; }
  case $test in
    *.sh) (cd "$COPY/tree" && bash "tests/$test") >"$COPY/log" 2>&1 ;;
    *) "$COPY/tree/build/bin/$test" >"$COPY/log" 2>&1 ;;
  esac
  if [ $? -ne 0 ]; then
    result="fails: $(grep -m 1 '^failed' "$COPY/log" | cut -c 9-80)"
  else
    result=SURVIVES
    survivors=$((survivors + 1))
  fi
  printf '%-22s %-20s %s\n' "$name" "$test" "$result"
}

printf '%-22s %-20s %s\n' mutant test result
mutant no-hand-over faults/rolling.sh lib/entry/stop.c \
  's/= peer_hand_over .*/= true;/'
mutant no-linger faults/rolling.sh lib/entry/stop.c \
  '/g_usleep .*drain_linger_ms/d'
mutant no-wait-for-requests faults/rolling.sh lib/entry/stop.c \
  's/(http_free \(entry->http, ).*/\10);/'
mutant second-signal-ends faults/rolling.sh cmd/papayaloftd/main.c \
  's/^  unsigned unfinished = entry_stop/  sigset_t set;\n  sigemptyset (\&set);\n  sigaddset (\&set, SIGTERM);\n  pthread_sigmask (SIG_UNBLOCK, \&set, NULL);\n&/'
mutant ready-while-draining faults/rolling.sh lib/entry/entry.c \
  's/return !draining \&\& /return /'
mutant serves-unsettled faults/rolling.sh lib/entry/startup.c \
  's/^  if \(g_atomic_int_get \(&entry->peers_known\)\)/  if (true)/'
mutant open-after-export disp_test lib/disp/submit.c \
  's/return disp->closed$/return false/'
mutant relay-off faults/store.sh lib/peer/notes.c \
  's/^  if \(revision <= note_history_revision \(peer->history\)$/  if (true/'
mutant reads-list-per-job faults/store.sh lib/entry/route.c \
  's/^  bool revocable = strcmp/  if (entry->feed != NULL) plat_feed_set_revision (entry->feed, -1);\n  bool revocable = strcmp/' \
  lib/plat/feed.c 's/^  feed->revision_in_force = MAX .*/  feed->revision_in_force = MAX (feed->revision_in_force, revision); if (revision < 0) { feed->check_head = true; g_cond_broadcast (\&feed->cond); }/'
mutant revision-may-decrease faults/operators.sh lib/note/history.c \
  's/if \(conf->revision > note_history/if (conf->revision != note_history/' \
  lib/plat/feed.c 's/head - known > SNAPSHOT_GAP/true/; s/if \(revision > \*known\)/if (revision > 0)/'
mutant accepted-when-lost faults/operators.sh lib/plat/apply.c \
  's/if \(result == PLAT_TXN_DONE\)/if (result != PLAT_TXN_CONFLICT)/'
mutant base-ignored faults/operators.sh lib/plat/apply.c \
  's/if \(head\.base != \*revision\)/if (false)/'
mutant header-ignored faults/leaving.sh lib/disp/result.c \
  's/if \(result->leaving\)/if (false)/'
mutant list-ignored faults/leaving.sh lib/entry/entry.c \
  's/if \(!list\[i\]\.leaving \|\| !list\[i\]\.worker\)/if (true)/'
mutant leaving-not-sent faults/leaving.sh lib/disp/control.c \
  's/ \&\& peers->leaving != NULL\)/ \&\& false)/'
mutant worker-not-restored faults/leaving.sh lib/slot/table.c \
  's/worker->leaving = note->added_revision <= \*marked_revision;/worker->leaving = true;/'
echo "$survivors mutants survive"
[ $survivors -eq 0 ]
