# shellcheck shell=bash
# Upstreams that are silent, break off, answer twice, or lose connections.

test_engine_silent ()
{
  local i
  fleet_control llm-north '{"mode":"silent"}'
  for ((i = 0; i < 6; i++)); do
    completion_send "$vm_a" "silent $i" \
      || fail "no answer while an engine is silent"
    [ "$REPLY" != 200 ] \
      || grep -q "answer $(fleet_prompt_digest "silent $i") for" \
        "$fleet_dir/response" \
      || fail "another request's answer"
  done
  fleet_until completions_succeed "$vm_a" 5 \
    || fail "the silent engine still gets work"
  fleet_control llm-north '{"mode":"ok"}'
  fleet_until completions_succeed "$vm_a" 5 \
    || fail "not served after the silence"
}

test_engine_refuses ()
{
  fleet_control llm-north '{"mode":"refuse"}'
  fleet_until completions_succeed "$vm_a" 5 \
    || fail "the refusing engine still gets work"
}

# Answers that come after the deadline reach nobody.
test_engine_late ()
{
  local i
  fleet_control llm-north '{"mode":"slow","delay_ms":6000}'
  fleet_control llm-south '{"mode":"slow","delay_ms":6000}'
  completion_send "$vm_a" late || fail "no answer"
  [ "$REPLY" != 200 ] || fail "answered after the deadline"
  fleet_control llm-north '{"mode":"ok"}'
  fleet_control llm-south '{"mode":"ok"}'
  for ((i = 0; i < 20; i++)); do
    completion_send "$vm_a" "late $i" || fail "no answer"
    [ "$REPLY" != 200 ] \
      || grep -q "answer $(fleet_prompt_digest "late $i") for" \
        "$fleet_dir/response" \
      || fail "another request's answer: $(cat "$fleet_dir/response")"
  done
  fleet_until completions_succeed "$vm_a" 5 || fail "not served afterwards"
}

test_stream_cut ()
{
  fleet_control llm-north '{"mode":"cut"}'
  fleet_control llm-south '{"mode":"cut"}'
  stream_start "$vm_a" 20 || fail "the stream did not begin"
  ! fleet_wait_exit stream \
    || fail "the caller took a cut stream for a whole one"
  ! stream_is_complete || fail "a cut stream was closed as whole"
}

# An engine that sends answers twice: nobody gets another's.
test_answer_twice ()
{
  local i
  fleet_control llm-north '{"mode":"double"}'
  fleet_control llm-south '{"mode":"double"}'
  for ((i = 0; i < 100; i++)); do
    completion_send "$vm_a" "double $i" || fail "no answer"
    [ "$REPLY" != 200 ] \
      || grep -q "answer $(fleet_prompt_digest "double $i") for" \
        "$fleet_dir/response" \
      || fail "another request's answer: $(cat "$fleet_dir/response")"
  done
  fleet_control llm-north '{"mode":"ok"}'
  fleet_control llm-south '{"mode":"ok"}'
  fleet_until completions_succeed "$vm_a" 5 || fail "not served afterwards"
}

# Connections that are open now go silent for good; new ones work.
test_connections_mute ()
{
  local i
  completions_succeed "$vm_a" 5 || fail "not served"
  fleet_control llm-north '{"mode":"mute"}'
  fleet_control llm-south '{"mode":"mute"}'
  for ((i = 0; i < 3; i++)); do
    completion_send "$vm_a" "mute $i" \
      || fail "no answer over a silent connection"
  done
  fleet_until completions_succeed "$vm_a" 5 \
    || fail "silent connections are still used"
}

# A call on the open route: the VM keeps its connection to the service.
open_route_succeeds ()
{
  [ "$(fleet_curl "$1" /public/x -o "$fleet_dir/response" \
    -w '%{http_code}')" = 200 ]
}

# The answer is lost after the order has run: told so, and never run again.
test_order_answer_lost ()
{
  local vm
  open_route_succeeds "$vm_a" || fail "no connection to keep"
  fleet_control shop-north '{"mode":"lose"}'
  fleet_control shop-south '{"mode":"lose"}'
  order_send "$vm_a" lost || fail "no answer"
  [ "$REPLY" != 200 ] || fail "an answer that was lost came"
  response_run_is unknown \
    || fail "not said to be unknown: $(cat "$fleet_dir/response")"
  order_ran_times lost 1 \
    || fail "the order ran $(fleet_execution_count lost) times"
  fleet_control shop-north '{"mode":"ok"}'
  fleet_control shop-south '{"mode":"ok"}'
  for vm in "$vm_b" "$vm_c" "$vm_a"; do
    order_send "$vm" lost || fail "no answer"
    [ "$REPLY" != 200 ] || fail "an answer that was lost was made up"
  done
  order_ran_times lost 1 \
    || fail "the order ran $(fleet_execution_count lost) times"
}

test_order_sent_again ()
{
  local vm number
  order_send "$vm_a" again || fail "no answer"
  [ "$REPLY" = 200 ] || fail "refused: $(cat "$fleet_dir/response")"
  number=$(order_response_number)
  for vm in "$vm_b" "$vm_c" "$vm_d" "$vm_a"; do
    fleet_until order_succeeds "$vm" again || fail "$vm does not answer again"
    [ "$(order_response_number)" = "$number" ] || fail "$vm has another answer"
  done
  order_ran_times again 1 \
    || fail "the order ran $(fleet_execution_count again) times"
}

# Every place where a key is accepted, and no upstream sees it.
test_keys_are_not_forwarded ()
{
  local at="http://${fleet_address[$vm_a]}" secret=demo-key-acme how
  local -a calls=(
    "-H Authorization:Bearer@$secret $at/v1/completions"
    "-H Authorization:bearer@$secret $at/v1/completions"
    "-H X-Api-Key:$secret $at/v1/completions"
    "$at/v1/completions?api_key=$secret"
    "$at/v1/completions?x=1&api%5Fkey=$secret&y=2"
    "-H X-Api-Key:$secret -H Cookie:k=1 $at/orders?api_key=$secret"
    "-H Authorization:Bearer@$secret $at/public/x?API_KEY=$secret -G"
  )
  for how in "${calls[@]}"; do
    local -a arguments=()
    read -r -a arguments <<<"$how"
    curl -s -m "$fleet_timeout_s" -H 'Idempotency-Key: scan' \
      -d '{"prompt":"scan"}' -o "$fleet_dir/response" "${arguments[@]//@/ }" \
      || fail "no answer: $how"
  done
  grep -q '"prompt":"scan"' "$fleet_dir"/llm-*.received \
    || fail "no call reached an engine"
  ! grep -l "$secret" "$fleet_dir"/*.received \
    || fail "a key was received by one of these"
  ! grep -l "$secret" "$fleet_dir"/*-[12].log || fail "a key was logged"
}

test_unknown_key_is_refused ()
{
  local status
  status=$(fleet_curl "$vm_a" /v1/completions -o "$fleet_dir/response" \
    -w '%{http_code}' -H 'Authorization: Bearer nobody' -d '{"prompt":"x"}')
  [ "$status" = 401 ] || fail "status $status"
  response_run_is not-run || fail "not said to be not run"
  ! grep -q '"prompt":"x"' "$fleet_dir"/llm-*.received || fail "it ran"
}
