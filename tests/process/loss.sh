# shellcheck shell=bash
# VMs that are killed, frozen or shut down while requests and jobs run.

test_kill_during_stream ()
{
  stream_start "$vm_a" 1000 || fail "the stream did not start"
  fleet_signal "$vm_a" KILL
  fleet_wait_exit "$vm_a"
  ! fleet_wait_exit stream \
    || fail "the stream of a killed VM ended without an error"
  ! stream_is_complete || fail "the stream of a killed VM has an end marker"
  fleet_until engines_are_idle \
    || fail "the engine still runs the request of a killed VM"
  fleet_until completion_succeeds "$vm_b" "after the loss" \
    || fail "$vm_b does not serve after the loss of $vm_a"
}

# A VM is killed after the service has executed an order and before the
# response arrives.  The other VMs must report the outcome as unknown and must
# not send the order again.
test_kill_during_order ()
{
  local vm
  fleet_control shop-north '{"mode":"hang"}'
  fleet_control shop-south '{"mode":"hang"}'
  curl -s -m "$fleet_timeout_s" -H "$auth" -H 'Idempotency-Key: one' \
    -d '{"order":"one"}' -o "$fleet_dir/first" \
    "http://${fleet_address[$vm_a]}/orders" &
  fleet_pid[order]=$!
  fleet_until order_ran_times one 1 \
    || fail "the order did not reach the service"
  fleet_signal "$vm_a" KILL
  fleet_wait_exit "$vm_a"
  ! fleet_wait_exit order || fail "the caller got a response from a killed VM"
  fleet_control shop-north '{"mode":"ok"}'
  fleet_control shop-south '{"mode":"ok"}'
  for vm in "$vm_b" "$vm_c" "$vm_d"; do
    order_send "$vm" one || fail "$vm did not respond to the resent order"
    [ "$REPLY" != 200 ] \
      || fail "$vm responded 200 although no response had arrived"
    response_run_is unknown \
      || fail \
        "the outcome is not reported as unknown: $(cat "$fleet_dir/response")"
  done
  order_ran_times one 1 \
    || fail "the order was executed $(fleet_execution_count one) times"
}

# SIGTERM during a stream: the stream completes, then the VM exits.
test_leave_during_stream ()
{
  stream_start "$vm_a" 300 || fail "the stream did not start"
  fleet_signal "$vm_a" TERM
  fleet_wait_exit stream || fail "the stream was cut"
  stream_is_complete || fail "the stream is not complete"
  fleet_wait_exit "$vm_a" || fail "the VM exited with status $?"
}

# job_submit VM: submit a job of 300 items; set REPLY to its id.
job_submit ()
{
  local i
  for ((i = 1; i <= 300; i++)); do
    printf '{"custom_id":"i%d","body":{"prompt":"item %d","max_tokens":8}}\n' \
      "$i" "$i"
  done >"$fleet_dir/job"
  REPLY=$(fleet_curl "$1" /v1/batches -H "$auth" -H 'Idempotency-Key: job' \
    -H 'Batch-Due: +60' --data-binary "@$fleet_dir/job" \
    | sed -n 's/.*"id": *"\([0-9a-f]*\)".*/\1/p')
  [ -n "$REPLY" ]
}

# job_status_matches VM JOB REGEX: the status of JOB at VM matches REGEX.
job_status_matches ()
{
  fleet_curl "$1" "/v1/batches/$2" -H "$auth" | grep -Eq "$3"
}

# job_fetch_results VM JOB: write the results to $fleet_dir/results.  False on
# any status but 200; a VM may respond 503 at first.
job_fetch_results ()
{
  [ "$(fleet_curl "$1" "/v1/batches/$2/results" -H "$auth" \
    -o "$fleet_dir/results" -w '%{http_code}')" = 200 ]
}

# job_results_are_complete VM JOB: there are 300 results, one for each item,
# and all are done.
job_results_are_complete ()
{
  local file=$fleet_dir/results ids
  fleet_until job_fetch_results "$1" "$2" || return 1
  ids=$(grep -o '"custom_id": *"[^"]*"' "$file" | sort -u | wc -l)
  [ "$(grep -c '"state": *"done"' "$file")" = 300 ] \
    && [ "$(wc -l <"$file")" = 300 ] && [ "$ids" = 300 ] && return 0
  echo "$(wc -l <"$file") results, $ids items; not done:"
  grep -v '"state": *"done"' "$file" | head -n 3
  return 1
}

# At least one engine holds the items that it runs (job_hold).
engine_is_held ()
{
  fleet_counts llm-north | grep -q '"held":true' \
    || fleet_counts llm-south | grep -q '"held":true'
}

# Set REPLY to a VM that has leased a chunk of the job.
job_find_lease_holder ()
{
  local vm
  for vm in "${fleet_vms[@]}"; do
    REPLY=$vm
    fleet_curl "$vm" /metrics | grep -q '^rts_batch_leases_total' && return 0
  done
  return 1
}

# Submit a job and wait until an engine holds its items in flight: each engine
# makes no more progress after 20 completions.  Sets the caller's variables:
# job to the job's id, lease_holder to the VM that has leased the job's chunk,
# other_vm to a VM that has not.
job_hold ()
{
  fleet_retry_interval_s=0.3 # each read of a job costs platform calls
  fleet_control llm-north '{"hold_after":20}'
  fleet_control llm-south '{"hold_after":20}'
  job_submit "$vm_a" || fail "the job was not accepted"
  job=$REPLY
  fleet_until engine_is_held || fail "no engine holds items"
  job_find_lease_holder || fail "no VM has leased the chunk"
  lease_holder=$REPLY
  other_vm=$vm_d
  [ "$lease_holder" != "$vm_d" ] || other_vm=$vm_b
}

# Let the engines continue.
job_release ()
{
  fleet_control llm-north '{"hold_after":null}'
  fleet_control llm-south '{"hold_after":null}'
}

# The lease holder is killed with items in flight, and the job is sent again.
test_kill_during_job ()
{
  local job lease_holder other_vm
  job_hold
  fleet_signal "$lease_holder" KILL
  fleet_wait_exit "$lease_holder"
  job_release
  job_submit "$other_vm" || fail "the job sent again was not accepted"
  [ "$REPLY" = "$job" ] || fail "the job sent again is another job"
  fleet_until job_status_matches "$other_vm" "$job" '"state": *"complete"' \
    || fail "the job does not complete"
  job_results_are_complete "$other_vm" "$job" \
    || fail "results are missing or duplicated"
}

# The lease holder is frozen with items in flight and resumes after other VMs
# have completed the job.
test_freeze_during_job ()
{
  local job lease_holder other_vm
  job_hold
  fleet_signal "$lease_holder" STOP
  job_release
  fleet_until job_status_matches "$other_vm" "$job" '"state": *"complete"' \
    || fail "the job does not complete while the lease holder is frozen"
  job_results_are_complete "$other_vm" "$job" \
    || fail "results are missing or duplicated"
  cp "$fleet_dir/results" "$fleet_dir/results.before"
  fleet_signal "$lease_holder" CONT
  fleet_until completion_succeeds "$lease_holder" "awake" \
    || fail "$lease_holder does not serve after it resumed"
  job_results_are_complete "$lease_holder" "$job" \
    || fail "results are missing or duplicated"
  cmp -s "$fleet_dir/results" "$fleet_dir/results.before" \
    || fail "results changed after the frozen VM resumed"
}

# Print the number of items that the engines have received.
items_sent ()
{
  cat "$fleet_dir"/llm-*.received | grep -c '"prompt":"item '
}

# Once a cancellation is confirmed, no further item starts, and the results
# stay readable.
test_cancel_during_job ()
{
  local job lease_holder other_vm sent
  job_hold
  fleet_curl "$other_vm" "/v1/batches/$job/cancel" -X POST -H "$auth" \
    -o "$fleet_dir/response" -w '%{http_code}' >"$fleet_dir/status"
  grep -q '^20' "$fleet_dir/status" || fail "$(cat "$fleet_dir/response")"
  fleet_until engines_are_idle || fail "items still run after the cancellation"
  sent=$(items_sent)
  job_release
  fleet_until job_status_matches "$other_vm" "$job" '"state": *"cancelled"' \
    || fail "the job is not cancelled"
  completions_succeed "$other_vm" 3 \
    || fail "$other_vm does not serve: $(cat "$fleet_dir/response")"
  fleet_until job_fetch_results "$vm_a" "$job" || fail "results cannot be read"
  [ "$(wc -l <"$fleet_dir/results")" = 300 ] || fail "results are missing"
  grep -q '"done"' "$fleet_dir/results" \
    || fail "results from before the cancellation are missing"
  grep -q '"cancelled"' "$fleet_dir/results" || fail "no item is cancelled"
  [ "$(items_sent)" = "$sent" ] || fail "items started after the cancellation"
}
