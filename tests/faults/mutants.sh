#!/bin/bash
# Mutation tests: shows that a fault test fails when the mechanism that it guards
# is disabled.  Copies the tree, applies the sed script of one mutant, builds, and
# runs the test that must then fail.  The head of mutants/NAME.sed names the file
# to change and the test: a script of tests/faults/ or a test program.
# scripts/check runs some of them.
# Usage: mutants.sh [NAME...]; default all.
cd "$(dirname "$0")/../.." || exit 2
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
survived=0
# Lines by which scripts and test programs name a failure.
FAILURE='^FAILED|^violation|^ +[0-9]+\. '
names=("$@")
[ $# -gt 0 ] || for file in tests/faults/mutants/*.sed; do
  names+=("$(basename "$file" .sed)")
done

# header MUTANT FIELD: a field of the head of the mutant's sed script.
header() { sed -n "s/^# $2: //p" "tests/faults/mutants/$1.sed"; }

# run_test MUTANT: runs the script or the program that must fail.
run_test() {
  local script test
  script=$(header "$1" script)
  test=$(header "$1" test)
  if [ -n "$script" ]; then
    bash "tests/faults/$script.sh"
  else
    "build/bin/$test" || return 1 # 3 would mean that it was not run
  fi
}

# Builds mutant $1 in the copy and runs its test there; prints the result.
run_mutant() {
  local name=$1 file
  file=$(header "$name" file)
  local sed_script=$PWD/tests/faults/mutants/$name.sed
  cd "$scratch/tree" || return 1
  cp "$file" "$scratch/original"
  sed -i -f "$sed_script" "$file"
  if cmp -s "$file" "$scratch/original"; then
    echo "not applied"
  elif ! make -s -j3 WARN= >"$scratch/build.log" 2>&1; then
    echo "not built"
    tail -n 5 "$scratch/build.log" >&2
  else
    (cd "$scratch/tree" && run_test "$name") >"$scratch/out" 2>&1
    case $? in
      0) echo "SURVIVED" ;;
      3) echo "not run: $(grep -m 1 '^FAILED' "$scratch/out")" ;;
      *) echo "detected: $(grep -cE "$FAILURE" "$scratch/out") failures," \
        "first: $(grep -m 1 -E "$FAILURE" "$scratch/out")" ;;
    esac
  fi
  cp "$scratch/original" "$file"
}

mkdir "$scratch/tree"
cp -a Makefile build cmd lib platform schema scripts tests "$scratch/tree"
printf '%-26s %-15s %s\n' mutant test result
for name in "${names[@]}"; do
  result=$(run_mutant "$name")
  [[ $result == detected* ]] || survived=$((survived + 1))
  printf '%-26s %-15s %s\n' "$name" \
    "$(header "$name" script)$(header "$name" test)" "$result"
done
printf '%s of %s mutants not detected\n' "$survived" "${#names[@]}"
[ "$survived" -eq 0 ]
