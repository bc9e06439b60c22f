# shellcheck shell=bash
# Answers that are wrong on their connection: second ones, pieces, ends.

# Guards against the answer of one request going to the caller of another, where
# replicas answer twice, the second time late.
test_second_answers_reach_no_caller ()
{
  hosted_start 2 4 --twice 0.3 --late-ms 600 || fail "the fleet did not start"
  hosted_ask 7 60
  await_callers
  check_seen second-answer "no replica answered twice"
  check_most_served
  check_none_mixed
}

# Guards against the same where the bytes have arrived while a VM or a replica
# was frozen, come in pieces, or end in the midst of a second answer.
test_frozen_processes_mix_no_answers ()
{
  hosted_start 2 4 --twice 0.2 --late-ms 600 --pieces 0.2 --close 0.2 \
    || fail "the fleet did not start"
  hosted_ask 7 60
  sleep 1
  fleet_signal vm-0 STOP
  sleep 2
  fleet_signal vm-0 CONT
  fleet_signal replica-0 STOP
  sleep 1
  fleet_signal replica-0 CONT
  await_callers
  check_seen second-answer "no replica answered twice"
  check_most_served
  check_none_mixed
  fleet_until hosted_vm_serves 0 || fail "vm-0 does not serve after its freeze"
}

# Guards against an answer whose head breaks off reaching a caller as a whole one.
test_broken_heads_reach_no_caller ()
{
  hosted_start 2 4 --cut-head 0.1 || fail "the fleet did not start"
  hosted_ask 5 60
  await_callers
  check_most_served
  check_none_mixed
}
