#!/bin/bash
# Builds the stand-ins that the scripts of review/ start, into target/review/.
cd "$(dirname "$0")/.." || exit 2
make -j8 BUILD=target target/bin/standin-fleet target/libpapayaloft.a || exit 2
mkdir -p target/review
cp --remove-destination target/bin/standin-fleet target/review/ || exit 2
flags="-std=gnu11 -O2 -g -Wall -Wextra -D_GNU_SOURCE -Itests $(printf -- '-I%s ' lib/*/)"
for name in worker callers; do
  # shellcheck disable=SC2046,SC2086
  gcc $flags $(pkg-config --cflags glib-2.0 jansson libprotobuf-c) \
    review/standin/$name.c target/libpapayaloft.a -o target/review/$name \
    $(pkg-config --libs glib-2.0 jansson libevent_core libprotobuf-c libxxhash) \
    -lhttp_parser -lpthread -lm || exit 2
done
