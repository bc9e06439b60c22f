# shellcheck shell=bash
# The platform away, slow, silent, or losing answers; and hostile peers.

test_platform_down ()
{
  fleet_control platform '{"mode":"down"}'
  completions_succeed "$vm_a" 5 || fail "online requests need the platform"
  order_send "$vm_a" outage || fail "no answer"
  [ "$REPLY" = 503 ] || fail "status $REPLY, expected 503"
  grep -q '"no-record"' "$fleet_dir/response" \
    || fail "another refusal: $(cat "$fleet_dir/response")"
  order_ran_times outage 0 || fail "an order without a record ran"
  fleet_control platform '{"mode":"ok"}'
  fleet_until order_succeeds "$vm_a" outage-after \
    || fail "no orders afterwards"
  order_ran_times outage 0 || fail "a refused order ran after the outage"
  fleet_until order_succeeds "$vm_a" outage \
    || fail "no orders after the outage"
  order_ran_times outage 1 \
    || fail "the order ran $(fleet_execution_count outage) times"
}

test_platform_silent ()
{
  fleet_control platform '{"mode":"hang"}'
  completions_succeed "$vm_a" 5 || fail "online requests need the platform"
  order_send "$vm_a" hang || fail "no answer while the platform is silent"
  [ "$REPLY" != 200 ] || fail "an order without a record was answered"
  order_ran_times hang 0 || fail "an order without a record ran"
  fleet_control platform '{"mode":"ok"}'
  fleet_until order_succeeds "$vm_a" hang2 \
    || fail "no orders after the silence"
}

# The platform takes its effects and loses the answers.
test_platform_loses_answers ()
{
  local n
  fleet_control platform '{"mode":"lose","count":20}'
  for n in 1 2 3 4 5; do
    order_send "$vm_a" "lose-$n" || fail "no answer"
    [ "$REPLY" = 200 ] || ! response_run_is not-run \
      || order_ran_times "lose-$n" 0 \
      || fail "said to be not run, but it ran"
  done
  fleet_control platform '{"mode":"ok"}'
  for n in 1 2 3 4 5; do
    order_send "$vm_b" "lose-$n" || fail "no answer"
    [ "$(fleet_execution_count "lose-$n")" -le 1 ] || fail "lose-$n ran twice"
  done
  fleet_until order_succeeds "$vm_a" lose-after || fail "no orders afterwards"
}

# The platform's open connections go silent; new ones work.
test_platform_connections_mute ()
{
  order_succeeds "$vm_a" before || fail "no orders"
  fleet_control platform '{"mode":"mute"}'
  order_send "$vm_a" during || fail "no answer over a silent connection"
  [ "$(fleet_execution_count during)" -le 1 ] || fail "the order ran twice"
  fleet_until order_succeeds "$vm_a" after \
    || fail "silent connections stay in use"
}

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

# A VM that serves says that it is ready, also when it started in an outage.
test_ready_during_outage ()
{
  fleet_control platform '{"mode":"down"}'
  fleet_signal "$vm_a" KILL
  fleet_wait_exit "$vm_a"
  fleet_start_vm "$vm_a" || fail "the VM does not start"
  fleet_until completion_succeeds "$vm_a" "started" \
    || fail "the VM does not serve: $(cat "$fleet_dir/response")"
  fleet_until fleet_vm_is_ready "$vm_a" || fail "it serves, but is never ready"
}

# Bytes that are no frames, half a frame, and a connection that says nothing.
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
  completions_succeed "$vm_a" 3 || fail "not served"
  exec 9>&-
}

# Half a request head, a broken body and an oversize head to the callers' port.
test_bad_requests ()
{
  local port=${fleet_address[$vm_a]##*:} status
  exec 9<>"/dev/tcp/127.0.0.1/$port"
  printf 'POST /v1/completions HTTP/1.1\r\nHost:' >&9
  status=$(fleet_curl "$vm_a" /v1/batches -o "$fleet_dir/response" \
    -w '%{http_code}' -H "$auth" -H 'Idempotency-Key: bad' -d '{"broken')
  [ "$status" = 400 ] || fail "broken JSON Lines: status $status"
  status=$(fleet_curl "$vm_a" /v1/completions -o "$fleet_dir/response" \
    -w '%{http_code}' -H "$auth" -H "X-Long: $(printf '%0100000d' 0)" -d '{}')
  case $status in
  400 | 413 | 431) ;;
  *) fail "oversize head: status $status" ;;
  esac
  completions_succeed "$vm_a" 3 || fail "not served"
  exec 9>&-
}
