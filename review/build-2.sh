#!/bin/sh
# Builds the project's stand-ins for the scripts of the second review, beside
# the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
libs="glib-2.0 jansson libmicrohttpd libcurl libzmq ck argtable2 libxxhash"
libs="$libs libprotobuf-c"
# shellcheck disable=SC2046
cc -std=c11 -O2 -D_GNU_SOURCE -DSAVORYFLOW_VERSION='"review"' -Isrc -Iinclude \
    -Itest $(pkg-config --cflags $libs) -o "$out/standin" test/standin/*.c \
    target/libsfcore.a target/libsavoryconf.a $(pkg-config --libs $libs) \
    -llog4c -lm -lpthread
