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
    -d '{"order":"one"}' -o "$fleet_dir/first" "http://${fleet_address[$a]}/orders" &
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

# The results from VM, which may say 503 first.
job_results ()
{
  [ "$(fleet_curl "$1" "/v1/batches/$2/results" -H "$key" \
    -o "$fleet_dir/results" -w '%{http_code}')" = 200 ]
}

# 300 results, each item once and done.
job_results_are_whole ()
{
  local file=$fleet_dir/results ids
  fleet_until job_results "$1" "$2" || return 1
  ids=$(grep -o '"custom_id": *"[^"]*"' "$file" | sort -u | wc -l)
  [ "$(grep -c '"state": *"done"' "$file")" = 300 ] \
    && [ "$(wc -l <"$file")" = 300 ] && [ "$ids" = 300 ] && return 0
  echo "$(wc -l <"$file") results, $ids items; not done:"
  grep -v '"state": *"done"' "$file" | head -n 3
  return 1
}

an_engine_is_held ()
{
  fleet_counts llm-north | grep -q '"held":true' \
    || fleet_counts llm-south | grep -q '"held":true'
}

# Set REPLY to a VM that has leased a chunk.
job_holder ()
{
  local vm
  for vm in "${fleet_vms[@]}"; do
    REPLY=$vm
    fleet_curl "$vm" /metrics | grep -q '^rts_batch_leases_total' && return 0
  done
  return 1
}

# A job that stands still with items in flight: its id goes to job, the VM
# that holds its chunk to holder, one that doesn't to other.
job_stand_still ()
{
  fleet_poll_s=0.3 # each look at a job costs platform calls
  fleet_control llm-north '{"hold_after":20}'
  fleet_control llm-south '{"hold_after":20}'
  job_submit "$a" || fail "the job was not accepted"
  job=$REPLY
  fleet_until an_engine_is_held || fail "no engine was kept busy"
  job_holder || fail "nobody has leased the chunk"
  holder=$REPLY
  other=$d
  [ "$holder" != "$d" ] || other=$b
}

job_go_on ()
{
  fleet_control llm-north '{"hold_after":null}'
  fleet_control llm-south '{"hold_after":null}'
}

# The holder is lost with items in flight; the job is sent again.
test_kill_during_job ()
{
  local job holder other
  job_stand_still
  fleet_kill "$holder" KILL
  fleet_gone "$holder"
  job_go_on
  job_submit "$other" || fail "the job sent again was not accepted"
  [ "$REPLY" = "$job" ] || fail "the job sent again is another job"
  fleet_until job_matches "$other" "$job" '"state": *"complete"' \
    || fail "the job does not complete"
  job_results_are_whole "$other" "$job" || fail "results are lost or doubled"
}

# The holder is frozen with items in flight and wakes after others took over.
test_freeze_during_job ()
{
  local job holder other
  job_stand_still
  fleet_kill "$holder" STOP
  job_go_on
  fleet_until job_matches "$other" "$job" '"state": *"complete"' \
    || fail "the job does not complete while its holder is frozen"
  job_results_are_whole "$other" "$job" || fail "results are lost or doubled"
  cp "$fleet_dir/results" "$fleet_dir/results.before"
  fleet_kill "$holder" CONT
  fleet_until complete_own "$holder" "awake" \
    || fail "the VM does not serve again"
  job_results_are_whole "$holder" "$job" || fail "results are lost or doubled"
  cmp -s "$fleet_dir/results" "$fleet_dir/results.before" \
    || fail "results changed after the frozen VM woke"
}

# Items that engines have received so far.
items_sent ()
{
  cat "$fleet_dir"/llm-*.received | grep -c '"prompt":"item '
}

# After the cancel is confirmed nothing starts; results stay readable.
test_cancel_during_job ()
{
  local job holder other sent
  job_stand_still
  fleet_curl "$other" "/v1/batches/$job/cancel" -X POST -H "$key" \
    -o "$fleet_dir/answer" -w '%{http_code}' >"$fleet_dir/status"
  grep -q '^20' "$fleet_dir/status" || fail "$(cat "$fleet_dir/answer")"
  fleet_until engines_idle || fail "items run on after the cancel"
  sent=$(items_sent)
  job_go_on
  fleet_until job_matches "$other" "$job" '"state": *"cancelled"' \
    || fail "the job is not cancelled"
  complete_row "$other" 3 || fail "not served: $(cat "$fleet_dir/answer")"
  fleet_until job_results "$a" "$job" || fail "no results"
  [ "$(wc -l <"$fleet_dir/results")" = 300 ] || fail "results are missing"
  grep -q '"done"' "$fleet_dir/results" || fail "results so far are lost"
  grep -q '"cancelled"' "$fleet_dir/results" || fail "nothing was cancelled"
  [ "$(items_sent)" = "$sent" ] || fail "items started after the cancel"
}
