# shellcheck shell=bash
# Planned shutdown of a VM.

grace_s=8 # from SIGTERM to the end of the process

# Guards against requests without a whole answer on connections that callers use
# until the VM is gone.
test_sigterm_loses_no_request ()
{
  hosted_start 2 4 || fail "the fleet did not start"
  hosted_ask 6 0 --kept 8
  sleep 2
  fleet_signal vm-0 TERM
  fleet_timeout_s=$grace_s fleet_until process_has_ended vm-0 \
    || fail "vm-0 still runs $grace_s s after SIGTERM"
  fleet_wait_exit vm-0 || fail "vm-0 exited with status $?"
  await_callers
  check_most_served
  check_none_mixed
  [ "$(hosted_judge_field lost)" = 0 ] \
    || fail "$(hosted_judge_field lost) requests got no whole answer"
}
