#!/usr/bin/env bash
# Builds the programs of review/11 to review/15 into build/review-3/.  They
# need the packages of deploy/system.toml and nothing else.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review-3
for case in review/1[1-5]/case.c; do
  n=$(basename "$(dirname "$case")")
  gcc -O2 -g -std=gnu11 -D_GNU_SOURCE -Wall -Wextra -Ireview/common-3 \
    -o "build/review-3/$n" "$case" review/common-3/world.c \
    $(pkg-config --cflags --libs jansson) -lpthread
done
