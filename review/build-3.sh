#!/bin/bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3: after the
# build of the deploy file, in the repository.
set -e
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags="-std=gnu11 -O2 -g -Wall -Wextra -D_GNU_SOURCE"
includes="$(printf -- '-I%s ' lib/*) -Itests -Itests/standin/standin-fleet"
packages="glib-2.0 jansson libevent_core libprotobuf-c libxxhash"
packages_flags="$(pkg-config --cflags $packages)"
libs="target/libpapayaloft.a $(pkg-config --libs $packages) -lhttp_parser -lm"
# shellcheck disable=SC2086
build() {
  local name=$1
  shift
  gcc $flags $includes $packages_flags "$@" $libs -o "$out/$name"
}
build store-3 tests/standin/standin-fleet/*.c
build server-3 review/standin-3/server3.c
build call-3 review/standin-3/call3.c
build door-3 review/standin-3/door3.c
