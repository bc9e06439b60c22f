# shellcheck shell=bash
# Checks that the tests of whole processes on the users' platform share.
# tools/hosted-tests sources this file.  A test ends at its first failed check.

# fail MESSAGE: print MESSAGE, what callers saw and the last log lines of each
# VM; end the test.
fail ()
{
  echo "$*"
  local file
  for file in ask.log judge.log; do
    [ ! -f "$fleet_dir/$file" ] || tail -n 8 "$fleet_dir/$file"
  done
  for file in "${fleet_vms[@]}"; do
    tail -n 3 "$fleet_dir/$file.log"
  done
  exit 1
}

# Wait until the callers have ended, and join the records.
await_callers ()
{
  fleet_wait_exit ask || true
  [ -n "$(hosted_ask_field sent)" ] || fail "the callers gave no totals"
  hosted_judge || fail "the records could not be joined"
}

check_none_mixed ()
{
  [ "$(hosted_ask_field mixed)" = 0 ] \
    || fail "$(hosted_ask_field mixed) answers are not their request's own"
}

# Most requests have been served; otherwise the other checks show nothing.
check_most_served ()
{
  [ $((2 * $(hosted_ask_field own))) -gt "$(hosted_ask_field sent)" ] \
    || fail "less than half of the requests were served"
}

# check_seen TEXT MESSAGE: a replica has logged TEXT.
check_seen ()
{
  grep -qs "$1" "$fleet_dir"/replica-*.requests || fail "$2"
}

# process_has_ended NAME: the process has ended; it may not be reaped yet.
process_has_ended ()
{
  local stat
  stat=$(cat "/proc/${fleet_pid[$1]}/stat" 2>/dev/null) || return 0
  [[ $stat == *') Z '* ]]
}

# Fail if a VM has ended that the test did not end.
check_vms_run ()
{
  local vm
  for vm in "${fleet_vms[@]}"; do
    [ -z "${fleet_pid[$vm]:-}" ] || ! process_has_ended "$vm" \
      || fail "$vm has ended although the test did not end it"
  done
}
