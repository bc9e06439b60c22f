#!/usr/bin/env bash
# Builds the drivers of the cases: the store, replicas and clients of
# common/stand.h with the steps of each case.  They need gcc and libjansson-dev,
# as the deploy file's build does.
set -eu
cd "$(dirname "$0")"
for dir in [1-5]; do
  gcc -std=gnu11 -O1 -Wall -Wextra -Wno-unused-function -o "$dir/case" \
    "$dir/case.c" -ljansson -lpthread
done
