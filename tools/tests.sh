# shellcheck shell=bash
# Runs test functions, each in a process of its own, and prints "ok NAME" or
# "FAIL NAME" with the output for each, and "N passed, N failed" as the last
# line.  Sourced by tools/process-tests and tools/hosted-tests.

# tests_run JOBS COMMAND NAME...: run COMMAND NAME for each name, JOBS at a
# time; false if one has failed.
tests_run ()
{
  local jobs=$1 command=$2 name results_dir running=0 passed=0 failed=0
  shift 2
  results_dir=$(mktemp -d "${TMPDIR:-/tmp}/rattanspindle.XXXXXX")
  for name in "$@"; do
    if [ "$running" -ge "$jobs" ]; then
      wait -n
      running=$((running - 1))
    fi
    {
      ("$command" "$name") >"$results_dir/$name" 2>&1
      echo $? >"$results_dir/$name.status"
    } &
    running=$((running + 1))
  done
  wait
  for name in "$@"; do
    if [ "$(cat "$results_dir/$name.status")" = 0 ]; then
      passed=$((passed + 1))
      echo "ok $name"
    else
      failed=$((failed + 1))
      echo "FAIL $name"
      sed 's/^/    /' "$results_dir/$name"
    fi
  done
  rm -rf "$results_dir"
  echo "$passed passed, $failed failed"
  [ "$failed" -eq 0 ]
}
