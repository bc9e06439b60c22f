# shellcheck shell=bash
# Requests and checks that the process tests share.  tools/process-tests
# sources this file.  A test ends at its first failed check.

# The four VMs of a test's fleet, two in each data centre.
vm_a=north-1 vm_b=north-2 vm_c=south-1 vm_d=south-2
auth='Authorization: Bearer demo-key-acme'

# fail MESSAGE: print MESSAGE and the last log lines of each VM; end the test.
fail ()
{
  echo "$*"
  local vm
  for vm in "${fleet_vms[@]}"; do
    tail -n 3 "$fleet_dir/$vm.log"
  done
  exit 1
}

# Fail if a VM has ended that the test did not end, or has logged a broken
# invariant or a sanitizer report.
check_vms_healthy ()
{
  local vm
  for vm in "${fleet_vms[@]}"; do
    [ -z "${fleet_pid[$vm]:-}" ] || kill -0 "${fleet_pid[$vm]}" \
      || fail "$vm has ended although the test did not end it"
    ! grep -iE 'invariant|AddressSanitizer|core dump' "$fleet_dir/$vm.log" \
      || fail "$vm broke an invariant"
  done
}

# completion_send VM PROMPT [CURL-ARGUMENT...]: request a completion.  Sets
# REPLY to the status and writes the response to $fleet_dir/response.  False if
# no complete response arrived.
completion_send ()
{
  local vm=$1 prompt=$2
  shift 2
  REPLY=$(fleet_curl "$vm" /v1/completions -H "$auth" \
    -d "{\"prompt\":\"$prompt\",\"max_tokens\":4}" \
    -o "$fleet_dir/response" -w '%{http_code}' "$@")
}

# completion_succeeds VM PROMPT: the status is 200 and the response belongs to
# PROMPT.
completion_succeeds ()
{
  completion_send "$1" "$2" || return 1
  [ "$REPLY" = 200 ] \
    && grep -q "answer $(fleet_prompt_digest "$2") for" "$fleet_dir/response"
}

# completions_succeed VM COUNT: COUNT completions, one after another, succeed.
completions_succeed ()
{
  local i
  for ((i = 0; i < $2; i++)); do
    completion_succeeds "$1" "row $i of $2" || return 1
  done
}

# order_send VM IDEMPOTENCY-KEY: send an order; results as of completion_send.
order_send ()
{
  REPLY=$(fleet_curl "$1" /orders -H "$auth" -H "Idempotency-Key: $2" \
    -d "{\"order\":\"$2\"}" -o "$fleet_dir/response" -w '%{http_code}')
}

order_succeeds ()
{
  order_send "$1" "$2" && [ "$REPLY" = 200 ]
}

# Print the number in the response to an order.  A service numbers its
# responses, so a second execution would give another number.
order_response_number ()
{
  sed -n 's/.*"answer": *\([0-9]*\).*/\1/p' "$fleet_dir/response"
}

# order_ran_times IDEMPOTENCY-KEY COUNT: the services have executed the order
# COUNT times.
order_ran_times ()
{
  [ "$(fleet_execution_count "$1")" = "$2" ]
}

# response_run_is VALUE: the field "run" of the last response has VALUE
# ("not-run" or "unknown").
response_run_is ()
{
  grep -q "\"run\": *\"$1\"" "$fleet_dir/response"
}

# stream_start VM TOKENS: start a streamed completion in the background and
# wait for its first bytes in $fleet_dir/stream.  fleet_pid[stream] is the
# process id of its curl.
stream_start ()
{
  curl -sN -m "$fleet_timeout_s" -H "$auth" -o "$fleet_dir/stream" \
    -d "{\"prompt\":\"a stream\",\"max_tokens\":$2,\"stream\":true}" \
    "http://${fleet_address[$1]}/v1/completions" &
  fleet_pid[stream]=$!
  fleet_until test -s "$fleet_dir/stream"
}

stream_is_complete ()
{
  grep -q '^data: \[DONE\]' "$fleet_dir/stream"
}

engines_are_idle ()
{
  local name
  for name in llm-north llm-south; do
    fleet_counts "$name" | grep -q '"running":0,"waiting":0' || return 1
  done
}

# vm_logged_at_least VM TEXT COUNT: VM's log has at least COUNT lines with
# TEXT.
vm_logged_at_least ()
{
  [ "$(grep -c "$2" "$fleet_dir/$1.log")" -ge "$3" ]
}
