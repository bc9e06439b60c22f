# shellcheck shell=bash
# Checks shared by the process tests.  Sourced by tools/process-tests; a test
# ends at its first failed check.

vm_a=north-1 vm_b=north-2 vm_c=south-1 vm_d=south-2
auth='Authorization: Bearer demo-key-acme'

# Say what was wrong and end the test, with the VMs' last log lines.
fail ()
{
  echo "$*"
  local vm
  for vm in "${fleet_vms[@]}"; do
    tail -n 3 "$fleet_dir/$vm.log"
  done
  exit 1
}

# A VM that ended without having been told to has broken an invariant.
check_vms_healthy ()
{
  local vm
  for vm in "${fleet_vms[@]}"; do
    [ -z "${fleet_pid[$vm]:-}" ] || kill -0 "${fleet_pid[$vm]}" \
      || fail "$vm has ended by itself"
    ! grep -iE 'invariant|AddressSanitizer|core dump' "$fleet_dir/$vm.log" \
      || fail "$vm broke an invariant"
  done
}

# complete VM PROMPT [CURL-ARGUMENT...]: the status goes to REPLY, the answer
# to $fleet_dir/response.  False when no whole answer came.
completion_send ()
{
  local vm=$1 prompt=$2
  shift 2
  REPLY=$(fleet_curl "$vm" /v1/completions -H "$auth" \
    -d "{\"prompt\":\"$prompt\",\"max_tokens\":4}" \
    -o "$fleet_dir/response" -w '%{http_code}' "$@")
}

# A completion on VM answers PROMPT, and nothing else does.
completion_succeeds ()
{
  completion_send "$1" "$2" || return 1
  [ "$REPLY" = 200 ] \
    && grep -q "answer $(fleet_prompt_digest "$2") for" "$fleet_dir/response"
}

# COUNT completions in a row, one after another, are answered.
completions_succeed ()
{
  local i
  for ((i = 0; i < $2; i++)); do
    completion_succeeds "$1" "row $i of $2" || return 1
  done
}

# order VM IDEMPOTENCY-KEY: as complete.
order_send ()
{
  REPLY=$(fleet_curl "$1" /orders -H "$auth" -H "Idempotency-Key: $2" \
    -d "{\"order\":\"$2\"}" -o "$fleet_dir/response" -w '%{http_code}')
}

order_succeeds ()
{
  order_send "$1" "$2" && [ "$REPLY" = 200 ]
}

order_response_number ()
{
  sed -n 's/.*"answer": *\([0-9]*\).*/\1/p' "$fleet_dir/response"
}

order_ran_times ()
{
  [ "$(fleet_execution_count "$1")" = "$2" ]
}

# The last answer says RUN ("not-run" or "unknown").
response_run_is ()
{
  grep -q "\"run\": *\"$1\"" "$fleet_dir/response"
}

# A stream of TOKENS in the background to $fleet_dir/stream; its process is
# fleet_pid[stream].
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

# logged_times VM TEXT COUNT: VM's log has TEXT so often.
vm_logged_at_least ()
{
  [ "$(grep -c "$2" "$fleet_dir/$1.log")" -ge "$3" ]
}
