#!/bin/bash
# Each program names itself and its version, the same for all: --version was an
# unrecognized option of papayaloft, and the programs' versions differed.
cd "$(dirname "$0")/../.." || exit 2
BIN=${BIN:-build/bin}
. tests/checks.sh

version=$("$BIN/papayaloft" version | cut -d ' ' -f 2)
expect "a version" [ -n "$version" ]
for program in papayaloft papayaloftd papayaload papayaloft-platformd; do
  is "$program --version" "$("$BIN/$program" --version 2>&1)" "$program $version"
  is "status of $program --version" "$("$BIN/$program" --version >"/dev/null" 2>&1; echo $?)" 0
done
finish
