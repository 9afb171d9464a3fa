#!/usr/bin/env bash
# Builds the stand-in that the scripts of review/11 and later start, into
# target/review-3. Run after the build of the deploy file: it uses that build's
# libraries, and no package that the deploy file does not list.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
packages="glib-2.0 jansson libmicrohttpd libcurl libzmq ck argtable2 libxxhash
	libprotobuf-c"
# shellcheck disable=SC2046,SC2086
cc -std=gnu11 -O1 -D_GNU_SOURCE -DSAVORYFLOW_VERSION='"review"' -Isrc -Iinclude \
	-Itest $(pkg-config --cflags $packages) -o target/review-3/standin \
	test/standin/*.c target/libsfcore.a target/libsavoryconf.a \
	$(pkg-config --libs $packages) -llog4c -lm -pthread
