#!/bin/bash
# Shows that the fault tests need each mechanism: copies the tree, applies one
# small change, builds it and runs the script that must then fail.  Not part of
# scripts/check.  Arguments: names of mutants; default all.
cd "$(dirname "$0")/../.." || exit 2
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
survived=0
names=("$@")
[ $# -gt 0 ] || for file in tests/faults/mutants/*.sed; do
  names+=("$(basename "$file" .sed)")
done

head_of() { sed -n "s/^# $2: //p" "tests/faults/mutants/$1.sed"; }

# Builds mutant $1 in the copy and runs its script there; prints the result.
try() {
  local name=$1 file script
  file=$(head_of "$name" file)
  script=$(head_of "$name" script)
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
cp -a Makefile build cmd lib schema scripts tests "$scratch/tree"
printf '%-26s %-10s %s\n' mutant script result
for name in "${names[@]}"; do
  result=$(try "$name")
  [[ $result == detected* ]] || survived=$((survived + 1))
  printf '%-26s %-10s %s\n' "$name" "$(head_of "$name" script)" "$result"
done
printf '%s of %s mutants not detected\n' "$survived" "${#names[@]}"
[ "$survived" -eq 0 ]
