#!/bin/bash
# Builds the stand-ins that the scripts of the second review start, into
# target/review-2.  The deploy file's build comes first.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
make -s -j8 BUILD=target target/libpapayaloft.a
inc=$(printf -- '-I%s ' lib/*)
pkgs="glib-2.0 jansson libevent_core libprotobuf-c libxxhash"
for dir in review/standin-2/*/; do
  # shellcheck disable=SC2046,SC2086
  gcc -std=gnu11 -O2 -g -Wall -Wextra -Werror -D_GNU_SOURCE $inc -Itests \
    $(pkg-config --cflags $pkgs) "$dir"*.c target/libpapayaloft.a \
    -o "$out/$(basename "$dir")" $(pkg-config --libs $pkgs) -lhttp_parser -lm
done
