# Counted checks of the shell tests.  Source it from the root of the tree.

passed=0
failed=0

# expect WHAT COMMAND...: counts one check.
expect() {
  local what=$1
  shift
  if "$@"; then
    passed=$((passed + 1))
  else
    failed=$((failed + 1))
    printf 'FAILED %s: %s\n' "$what" "$*"
  fi
}

# is WHAT GOT WANTED: counts a comparison of two words.
is() {
  if [ "$2" = "$3" ]; then
    passed=$((passed + 1))
  else
    failed=$((failed + 1))
    printf 'FAILED %s: got "%s", expected "%s"\n' "$1" "$2" "$3"
  fi
}

# finish: prints the counts and exits with 0 if no check has failed.
finish() {
  printf '%s passed, %s failed\n' "$passed" "$failed"
  [ "$failed" -eq 0 ]
  exit
}
