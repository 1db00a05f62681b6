# Counts the checks of a shell test.  Source it from the root of the tree.

passed=0
failed=0

# expect WHAT COMMAND...: one check, passed if the command succeeds.
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

# is WHAT GOT WANTED: one check, passed if both texts are equal.
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
