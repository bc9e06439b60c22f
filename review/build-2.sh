#!/usr/bin/env bash
# Builds the drivers of the cases 6 to 10: the store, links, replicas and
# clients of common-2/stand.h with the steps of each case.  They need gcc and
# libjansson-dev, as the deploy file's build does.
set -eu
cd "$(dirname "$0")"
for source in */case.c; do
  dir=${source%/case.c}
  case $dir in
    6 | 7 | 8 | 9 | 10) ;;
    *) continue ;;
  esac
  gcc -std=gnu11 -O1 -Wall -Wextra -Wno-unused-function -Wno-format-truncation \
    -o "$dir/case" "$dir/case.c" -ljansson -lpthread
done
