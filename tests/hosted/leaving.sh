# shellcheck shell=bash
# Replicas that leave.  A request that its caller sent later than 2000 ms after
# a VM had passed on an answer with the replica's word must not reach that
# replica from that VM.

# check_none_after_word: also that the VMs have passed on such answers.
check_none_after_word ()
{
  grep -q '"leaving":true' "$fleet_dir/asked" \
    || fail "no answer of a leaving replica was passed on"
  [ "$(hosted_judge_field after-word)" = 0 ] \
    || fail "$(hosted_judge_field after-word) requests reached a replica" \
      "that had said to their VM that it leaves"
}

# Guards against requests to replicas that have said that they leave, while the
# store is silent.
test_release_while_store_is_frozen ()
{
  hosted_start 2 5 || fail "the fleet did not start"
  hosted_ask 8 60
  sleep 1
  fleet_signal store STOP
  fleet_signal replica-0 USR1
  sleep 1
  fleet_signal replica-1 USR1
  sleep 1
  fleet_signal replica-2 USR1
  await_callers
  check_most_served
  check_none_mixed
  check_none_after_word
}

# Guards against the same from a VM that is cut off from the store, while the
# others know from the store that the replicas leave.
test_release_while_one_vm_is_cut_off ()
{
  hosted_links=1
  hosted_start 2 5 || fail "the fleet did not start"
  hosted_ask 8 60
  sleep 1
  fleet_signal link-0 STOP
  fleet_signal replica-0 USR1
  sleep 1
  fleet_signal replica-1 USR1
  await_callers
  check_seen leaving-accepted "the store accepted no word of a replica"
  check_most_served
  check_none_mixed
  check_none_after_word
}

# Guards against requests to replicas whose leaving the store has accepted.
test_release_with_the_store_alive ()
{
  hosted_start 2 5 || fail "the fleet did not start"
  hosted_ask 7 60
  sleep 1
  fleet_signal replica-0 USR1
  sleep 1
  fleet_signal replica-1 USR1
  await_callers
  check_seen leaving-accepted "the store accepted no word of a replica"
  check_most_served
  check_none_mixed
  check_none_after_word
  [ "$(hosted_judge_field after-list)" = 0 ] \
    || fail "$(hosted_judge_field after-list) requests reached a replica" \
      "that the store lists as draining"
}
