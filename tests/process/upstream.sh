# shellcheck shell=bash
# Upstreams that do not respond, respond late or twice, refuse requests, or
# break off; orders that are sent again; and where a caller's key may appear.

# An engine accepts requests and does not respond; the other engine serves.
test_engine_silent ()
{
  local i
  fleet_control llm-north '{"mode":"silent"}'
  for ((i = 0; i < 6; i++)); do
    completion_send "$vm_a" "silent $i" \
      || fail "no response while an engine is silent"
    [ "$REPLY" != 200 ] \
      || grep -q "answer $(fleet_prompt_digest "silent $i") for" \
        "$fleet_dir/response" \
      || fail "the response belongs to another request"
  done
  fleet_until completions_succeed "$vm_a" 5 \
    || fail "the silent engine still receives requests"
  fleet_control llm-north '{"mode":"ok"}'
  fleet_until completions_succeed "$vm_a" 5 \
    || fail "$vm_a does not serve after the engine responds again"
}

test_engine_refuses ()
{
  fleet_control llm-north '{"mode":"refuse"}'
  fleet_until completions_succeed "$vm_a" 5 \
    || fail "the refusing engine still receives requests"
}

# A response that arrives after the deadline is not delivered to any caller.
test_engine_late ()
{
  local i
  fleet_control llm-north '{"mode":"slow","delay_ms":6000}'
  fleet_control llm-south '{"mode":"slow","delay_ms":6000}'
  completion_send "$vm_a" late || fail "no response"
  [ "$REPLY" != 200 ] || fail "a response was delivered after the deadline"
  fleet_control llm-north '{"mode":"ok"}'
  fleet_control llm-south '{"mode":"ok"}'
  for ((i = 0; i < 20; i++)); do
    completion_send "$vm_a" "late $i" || fail "no response"
    [ "$REPLY" != 200 ] \
      || grep -q "answer $(fleet_prompt_digest "late $i") for" \
        "$fleet_dir/response" \
      || fail \
        "the response belongs to another request: $(cat "$fleet_dir/response")"
  done
  fleet_until completions_succeed "$vm_a" 5 \
    || fail "$vm_a does not serve after the fault"
}

# The engines break a stream off: the caller must see an error, not an end.
test_stream_cut ()
{
  fleet_control llm-north '{"mode":"cut"}'
  fleet_control llm-south '{"mode":"cut"}'
  stream_start "$vm_a" 20 || fail "the stream did not start"
  ! fleet_wait_exit stream \
    || fail "the cut stream ended without an error"
  ! stream_is_complete || fail "the cut stream has an end marker"
}

# The engines send each response twice: no caller receives the response to
# another request.
test_response_twice ()
{
  local i
  fleet_control llm-north '{"mode":"double"}'
  fleet_control llm-south '{"mode":"double"}'
  for ((i = 0; i < 100; i++)); do
    completion_send "$vm_a" "double $i" || fail "no response"
    [ "$REPLY" != 200 ] \
      || grep -q "answer $(fleet_prompt_digest "double $i") for" \
        "$fleet_dir/response" \
      || fail \
        "the response belongs to another request: $(cat "$fleet_dir/response")"
  done
  fleet_control llm-north '{"mode":"ok"}'
  fleet_control llm-south '{"mode":"ok"}'
  fleet_until completions_succeed "$vm_a" 5 \
    || fail "$vm_a does not serve after the fault"
}

# The open connections to the engines become silent for good, and new ones
# work.
test_connections_mute ()
{
  local i
  completions_succeed "$vm_a" 5 || fail "$vm_a does not serve"
  fleet_control llm-north '{"mode":"mute"}'
  fleet_control llm-south '{"mode":"mute"}'
  for ((i = 0; i < 3; i++)); do
    completion_send "$vm_a" "mute $i" \
      || fail "no response while connections are silent"
  done
  fleet_until completions_succeed "$vm_a" 5 \
    || fail "silent connections are still used"
}

# open_route_succeeds VM: a call without a key succeeds.  VM keeps its
# connection to the service open afterwards.
open_route_succeeds ()
{
  [ "$(fleet_curl "$1" /public/x -o "$fleet_dir/response" \
    -w '%{http_code}')" = 200 ]
}

# A service executes an order and its response is lost: the caller is told that
# the outcome is unknown, and the order is not sent to a service again.
test_order_response_lost ()
{
  local vm
  open_route_succeeds "$vm_a" || fail "the open route does not serve"
  fleet_control shop-north '{"mode":"lose"}'
  fleet_control shop-south '{"mode":"lose"}'
  order_send "$vm_a" lost || fail "no response"
  [ "$REPLY" != 200 ] \
    || fail "$vm_a responded 200 although the response was lost"
  response_run_is unknown \
    || fail \
      "the outcome is not reported as unknown: $(cat "$fleet_dir/response")"
  order_ran_times lost 1 \
    || fail "the order was executed $(fleet_execution_count lost) times"
  fleet_control shop-north '{"mode":"ok"}'
  fleet_control shop-south '{"mode":"ok"}'
  for vm in "$vm_b" "$vm_c" "$vm_a"; do
    order_send "$vm" lost || fail "no response"
    [ "$REPLY" != 200 ] \
      || fail "$vm responded 200 although the response was lost"
  done
  order_ran_times lost 1 \
    || fail "the order was executed $(fleet_execution_count lost) times"
}

# An order that is sent again to any VM has the same response and is executed
# once.
test_order_sent_again ()
{
  local vm number
  order_send "$vm_a" again || fail "no response"
  [ "$REPLY" = 200 ] || fail "refused: $(cat "$fleet_dir/response")"
  number=$(order_response_number)
  for vm in "$vm_b" "$vm_c" "$vm_d" "$vm_a"; do
    fleet_until order_succeeds "$vm" again \
      || fail "$vm does not repeat the response"
    [ "$(order_response_number)" = "$number" ] \
      || fail "$vm has another response"
  done
  order_ran_times again 1 \
    || fail "the order was executed $(fleet_execution_count again) times"
}

# A key is accepted in several places of a request.  None of them is forwarded
# to an upstream or written to a log.
test_keys_are_not_forwarded ()
{
  local at="http://${fleet_address[$vm_a]}" secret=demo-key-acme how
  # In the calls, @ stands for a space within an argument.
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
      || fail "no response: $how"
  done
  grep -q '"prompt":"scan"' "$fleet_dir"/llm-*.received \
    || fail "no request reached an engine"
  ! grep -l "$secret" "$fleet_dir"/*.received \
    || fail "the upstreams of these files received a key"
  ! grep -l "$secret" "$fleet_dir"/*-[12].log || fail "a key was logged"
}

test_unknown_key_is_refused ()
{
  local status
  status=$(fleet_curl "$vm_a" /v1/completions -o "$fleet_dir/response" \
    -w '%{http_code}' -H 'Authorization: Bearer nobody' -d '{"prompt":"x"}')
  [ "$status" = 401 ] || fail "status $status"
  response_run_is not-run || fail "not reported as not-run"
  ! grep -q '"prompt":"x"' "$fleet_dir"/llm-*.received \
    || fail "the refused request reached an engine"
}
