#!/bin/bash
# Mutation tests: shows that a fault test fails when the mechanism that it guards
# is disabled.  Copies the tree, applies the sed script of one mutant, builds, and
# runs the test that must then fail.  The head of mutants/NAME.sed names the file
# to change and the test.  Not run by scripts/check.
# Usage: mutants.sh [NAME...]; default all.
cd "$(dirname "$0")/../.." || exit 2
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
survived=0
names=("$@")
[ $# -gt 0 ] || for file in tests/faults/mutants/*.sed; do
  names+=("$(basename "$file" .sed)")
done

# header MUTANT FIELD: a field of the head of the mutant's sed script.
header() { sed -n "s/^# $2: //p" "tests/faults/mutants/$1.sed"; }

# Builds mutant $1 in the copy and runs its script there; prints the result.
run_mutant() {
  local name=$1 file script
  file=$(header "$name" file)
  script=$(header "$name" script)
  local sed_script=$PWD/tests/faults/mutants/$name.sed
  cd "$scratch/tree" || return 1
  cp "$file" "$scratch/original"
  sed -i -f "$sed_script" "$file"
  if cmp -s "$file" "$scratch/original"; then
    echo "not applied"
  elif ! make -s -j3 >"$scratch/build.log" 2>&1; then
    echo "not built"
    tail -n 5 "$scratch/build.log" >&2
  else
    bash "tests/faults/$script.sh" >"$scratch/out" 2>&1
    case $? in
      0) echo "SURVIVED" ;;
      3) echo "not run: $(grep -m 1 '^FAILED' "$scratch/out")" ;;
      *) echo "detected: $(grep -c '^FAILED\|^violation' "$scratch/out") failures," \
        "first: $(grep -m 1 '^FAILED\|^violation' "$scratch/out")" ;;
    esac
  fi
  cp "$scratch/original" "$file"
}

mkdir "$scratch/tree"
cp -a Makefile build cmd lib platform schema scripts tests "$scratch/tree"
printf '%-26s %-10s %s\n' mutant script result
for name in "${names[@]}"; do
  result=$(run_mutant "$name")
  [[ $result == detected* ]] || survived=$((survived + 1))
  printf '%-26s %-10s %s\n' "$name" "$(header "$name" script)" "$result"
done
printf '%s of %s mutants not detected\n' "$survived" "${#names[@]}"
[ "$survived" -eq 0 ]
