# shellcheck shell=bash
# VMs that are killed, frozen or asked to leave.

test_kill_during_stream ()
{
  stream_start "$a" 1000 || fail "the stream did not begin"
  fleet_kill "$a" KILL
  fleet_gone "$a"
  ! fleet_gone stream || fail "the caller took a broken stream for a whole one"
  ! stream_is_whole || fail "a broken stream was closed as whole"
  fleet_until engines_idle || fail "the engine went on for nobody"
  fleet_until complete_own "$b" "after the loss" || fail "others do not serve"
}

# Killed after the order has run and before its answer: never again.
test_kill_during_order ()
{
  local vm
  fleet_control shop-north '{"mode":"hang"}'
  fleet_control shop-south '{"mode":"hang"}'
  curl -s -m "$fleet_wait_s" -H "$key" -H 'Idempotency-Key: one' \
    -d '{}' -o "$fleet_dir/first" "http://${fleet_address[$a]}/orders" &
  fleet_pid[order]=$!
  fleet_until ran one 1 || fail "the order did not reach the service"
  fleet_kill "$a" KILL
  fleet_gone "$a"
  ! fleet_gone order || fail "the caller got an answer from a VM killed"
  fleet_control shop-north '{"mode":"ok"}'
  fleet_control shop-south '{"mode":"ok"}'
  for vm in "$b" "$c" "$d"; do
    order "$vm" one || fail "$vm did not answer the order sent again"
    [ "$REPLY" != 200 ] || fail "an answer that never came was made up"
    says unknown || fail "not said to be unknown: $(cat "$fleet_dir/answer")"
  done
  ran one 1 || fail "the order ran $(fleet_runs one) times"
}

test_leave_during_stream ()
{
  stream_start "$a" 300 || fail "the stream did not begin"
  fleet_kill "$a" TERM
  fleet_gone stream || fail "the stream was cut"
  stream_is_whole || fail "the stream is not whole"
  fleet_gone "$a" || fail "the VM ended with status $?"
}

job_submit ()
{
  local i
  for ((i = 1; i <= 300; i++)); do
    printf '{"custom_id":"i%d","body":{"prompt":"item %d","max_tokens":8}}\n' \
      "$i" "$i"
  done >"$fleet_dir/job"
  REPLY=$(fleet_curl "$1" /v1/batches -H "$key" -H 'Idempotency-Key: job' \
    -H 'Batch-Due: +60' --data-binary "@$fleet_dir/job" \
    | sed -n 's/.*"id": *"\([0-9a-f]*\)".*/\1/p')
  [ -n "$REPLY" ]
}

job_matches ()
{
  fleet_curl "$1" "/v1/batches/$2" -H "$key" | grep -Eq "$3"
}

job_results_are_whole ()
{
  fleet_curl "$1" "/v1/batches/$2/results" -H "$key" >"$fleet_dir/results"
  [ "$(grep -c '"done"' "$fleet_dir/results")" = 300 ] \
    && [ "$(grep -o '"custom_id": *"[^"]*"' "$fleet_dir/results" | sort -u \
      | wc -l)" = 300 ]
}

# The VM that accepted the job is lost with items in flight.
test_kill_during_job ()
{
  local job
  job_submit "$a" || fail "the job was not accepted"
  job=$REPLY
  fleet_until job_matches "$b" "$job" '"done": *[1-9]' \
    || fail "the job did not begin"
  fleet_kill "$a" KILL
  fleet_gone "$a"
  job_submit "$c" || fail "the job sent again was not accepted"
  [ "$REPLY" = "$job" ] || fail "the job sent again is another job"
  fleet_until job_matches "$b" "$job" '"state": *"complete"' \
    || fail "the job does not complete"
  job_results_are_whole "$b" "$job" || fail "results are lost or doubled"
}

# A VM is frozen with items in flight and wakes after others took over.
test_freeze_during_job ()
{
  local job
  job_submit "$a" || fail "the job was not accepted"
  job=$REPLY
  fleet_until job_matches "$b" "$job" '"done": *[1-9]' \
    || fail "the job did not begin"
  fleet_kill "$a" STOP
  fleet_until job_matches "$b" "$job" '"state": *"complete"' \
    || fail "the job does not complete while a VM is frozen"
  job_results_are_whole "$b" "$job" || fail "results are lost or doubled"
  cp "$fleet_dir/results" "$fleet_dir/results.before"
  fleet_kill "$a" CONT
  fleet_until complete_own "$a" "awake" || fail "the VM does not serve again"
  job_results_are_whole "$a" "$job" || fail "results are lost or doubled"
  cmp -s "$fleet_dir/results" "$fleet_dir/results.before" \
    || fail "results changed after the frozen VM woke"
}
