# shellcheck shell=bash
# Failures of the platform, and invalid input from peers and callers.

# While the platform is down, idempotent requests are served, and an order,
# which needs a record at the platform, is refused without being executed.
test_platform_down ()
{
  fleet_control platform '{"mode":"down"}'
  completions_succeed "$vm_a" 5 \
    || fail "online requests fail without the platform"
  order_send "$vm_a" outage || fail "no response"
  [ "$REPLY" = 503 ] || fail "status $REPLY, expected 503"
  grep -q '"no-record"' "$fleet_dir/response" \
    || fail "refused for another reason: $(cat "$fleet_dir/response")"
  order_ran_times outage 0 || fail "an order without a record was executed"
  fleet_control platform '{"mode":"ok"}'
  fleet_until order_succeeds "$vm_a" outage-after \
    || fail "orders still fail after the outage"
  order_ran_times outage 0 \
    || fail "a refused order was executed after the outage"
  fleet_until order_succeeds "$vm_a" outage \
    || fail "the refused order cannot be sent again"
  order_ran_times outage 1 \
    || fail "the order was executed $(fleet_execution_count outage) times"
}

# As test_platform_down, with a platform that accepts requests and does not
# respond.
test_platform_silent ()
{
  fleet_control platform '{"mode":"hang"}'
  completions_succeed "$vm_a" 5 \
    || fail "online requests fail without the platform"
  order_send "$vm_a" hang || fail "no response while the platform is silent"
  [ "$REPLY" != 200 ] || fail "an order without a record succeeded"
  order_ran_times hang 0 || fail "an order without a record was executed"
  fleet_control platform '{"mode":"ok"}'
  fleet_until order_succeeds "$vm_a" hang2 \
    || fail "orders still fail after the platform responds"
}

# The platform executes requests and loses the responses.
test_platform_loses_responses ()
{
  local n
  fleet_control platform '{"mode":"lose","count":20}'
  for n in 1 2 3 4 5; do
    order_send "$vm_a" "lose-$n" || fail "no response"
    [ "$REPLY" = 200 ] || ! response_run_is not-run \
      || order_ran_times "lose-$n" 0 \
      || fail "reported as not-run, but it was executed"
  done
  fleet_control platform '{"mode":"ok"}'
  for n in 1 2 3 4 5; do
    order_send "$vm_b" "lose-$n" || fail "no response"
    [ "$(fleet_execution_count "lose-$n")" -le 1 ] \
      || fail "lose-$n was executed twice"
  done
  fleet_until order_succeeds "$vm_a" lose-after \
    || fail "orders still fail after the fault"
}

# The open connections to the platform become silent, and new ones work.
test_platform_connections_mute ()
{
  order_succeeds "$vm_a" before || fail "orders fail before the fault"
  fleet_control platform '{"mode":"mute"}'
  order_send "$vm_a" during \
    || fail "no response while the connection is silent"
  [ "$(fleet_execution_count during)" -le 1 ] \
    || fail "the order was executed twice"
  fleet_until order_succeeds "$vm_a" after \
    || fail "silent connections are still used"
}

# A VM that starts while the platform is down gets the configuration from a
# peer.
test_start_during_outage ()
{
  fleet_control platform '{"mode":"down"}'
  fleet_signal "$vm_a" KILL
  fleet_wait_exit "$vm_a"
  fleet_start_vm "$vm_a" || fail "the VM does not start"
  fleet_until open_route_succeeds "$vm_a" \
    || fail "no configuration from a peer"
  fleet_until completion_succeeds "$vm_a" "started" \
    || fail "the VM does not serve: $(cat "$fleet_dir/response")"
}

# A VM that started while the platform is down reports that it is ready once it
# serves.
test_ready_during_outage ()
{
  fleet_control platform '{"mode":"down"}'
  fleet_signal "$vm_a" KILL
  fleet_wait_exit "$vm_a"
  fleet_start_vm "$vm_a" || fail "the VM does not start"
  fleet_until completion_succeeds "$vm_a" "started" \
    || fail "the VM does not serve: $(cat "$fleet_dir/response")"
  fleet_until fleet_vm_is_ready "$vm_a" \
    || fail "the VM serves but does not become ready"
}

# The peer port receives random bytes, an invalid frame length, an incomplete
# frame, and a connection without data.
test_garbage_at_the_peer_port ()
{
  local port i
  port=$(sed -n 's/^peer_listen = .*://p' "$fleet_dir/$vm_a.ini")
  for ((i = 0; i < 5; i++)); do
    head -c 4096 /dev/urandom >"/dev/tcp/127.0.0.1/$port"
    printf '\377\377\377\377' >"/dev/tcp/127.0.0.1/$port"
    printf '\0' >"/dev/tcp/127.0.0.1/$port"
  done 2>/dev/null
  exec 9<>"/dev/tcp/127.0.0.1/$port"
  completions_succeed "$vm_a" 3 || fail "$vm_a does not serve"
  exec 9>&-
}

# The callers' port receives half a request header, a malformed body and an
# oversized header.
test_bad_requests ()
{
  local port=${fleet_address[$vm_a]##*:} status
  exec 9<>"/dev/tcp/127.0.0.1/$port"
  printf 'POST /v1/completions HTTP/1.1\r\nHost:' >&9
  status=$(fleet_curl "$vm_a" /v1/batches -o "$fleet_dir/response" \
    -w '%{http_code}' -H "$auth" -H 'Idempotency-Key: bad' -d '{"broken')
  [ "$status" = 400 ] || fail "malformed JSON Lines: status $status"
  status=$(fleet_curl "$vm_a" /v1/completions -o "$fleet_dir/response" \
    -w '%{http_code}' -H "$auth" -H "X-Long: $(printf '%0100000d' 0)" -d '{}')
  case $status in
  400 | 413 | 431) ;;
  *) fail "oversized header: status $status" ;;
  esac
  completions_succeed "$vm_a" 3 || fail "$vm_a does not serve"
  exec 9>&-
}
