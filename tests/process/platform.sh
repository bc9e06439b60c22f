# shellcheck shell=bash
# The platform away, slow, silent, or losing answers; and hostile peers.

test_platform_down ()
{
  fleet_control platform '{"mode":"down"}'
  complete_row "$a" 5 || fail "online requests need the platform"
  order "$a" outage || fail "no answer"
  [ "$REPLY" = 503 ] || fail "status $REPLY, expected 503"
  grep -q '"no-record"' "$fleet_dir/answer" \
    || fail "another refusal: $(cat "$fleet_dir/answer")"
  ran outage 0 || fail "an order without a record ran"
  fleet_control platform '{"mode":"ok"}'
  fleet_until order_is_done "$a" outage-after || fail "no orders afterwards"
  ran outage 0 || fail "a refused order ran after the outage"
  fleet_until order_is_done "$a" outage || fail "no orders after the outage"
  ran outage 1 || fail "the order ran $(fleet_runs outage) times"
}

test_platform_silent ()
{
  fleet_control platform '{"mode":"hang"}'
  complete_row "$a" 5 || fail "online requests need the platform"
  order "$a" hang || fail "no answer while the platform is silent"
  [ "$REPLY" != 200 ] || fail "an order without a record was answered"
  ran hang 0 || fail "an order without a record ran"
  fleet_control platform '{"mode":"ok"}'
  fleet_until order_is_done "$a" hang2 || fail "no orders after the silence"
}

# The platform takes its effects and loses the answers.
test_platform_loses_answers ()
{
  local n
  fleet_control platform '{"mode":"lose","count":20}'
  for n in 1 2 3 4 5; do
    order "$a" "lose-$n" || fail "no answer"
    [ "$REPLY" = 200 ] || ! says not-run || ran "lose-$n" 0 \
      || fail "said to be not run, but it ran"
  done
  fleet_control platform '{"mode":"ok"}'
  for n in 1 2 3 4 5; do
    order "$b" "lose-$n" || fail "no answer"
    [ "$(fleet_runs "lose-$n")" -le 1 ] || fail "lose-$n ran twice"
  done
  fleet_until order_is_done "$a" lose-after || fail "no orders afterwards"
}

# The platform's open connections go silent; new ones work.
test_platform_connections_mute ()
{
  order_is_done "$a" before || fail "no orders"
  fleet_control platform '{"mode":"mute"}'
  order "$a" during || fail "no answer over a silent connection"
  [ "$(fleet_runs during)" -le 1 ] || fail "the order ran twice"
  fleet_until order_is_done "$a" after || fail "silent connections stay in use"
}

test_start_during_outage ()
{
  fleet_control platform '{"mode":"down"}'
  fleet_kill "$a" KILL
  fleet_gone "$a"
  fleet_vm "$a" || fail "the VM does not start"
  fleet_until open_call "$a" || fail "no configuration from a peer"
  fleet_until complete_own "$a" "started" \
    || fail "the VM does not serve: $(cat "$fleet_dir/answer")"
}

# A VM that serves says that it is ready, also when it started in an outage.
test_ready_during_outage ()
{
  fleet_control platform '{"mode":"down"}'
  fleet_kill "$a" KILL
  fleet_gone "$a"
  fleet_vm "$a" || fail "the VM does not start"
  fleet_until complete_own "$a" "started" \
    || fail "the VM does not serve: $(cat "$fleet_dir/answer")"
  fleet_until fleet_in_force "$a" || fail "it serves, but is never ready"
}

# Bytes that are no frames, half a frame, and a connection that says nothing.
test_garbage_at_the_peer_port ()
{
  local port i
  port=$(sed -n 's/^peer_listen = .*://p' "$fleet_dir/$a.ini")
  for ((i = 0; i < 5; i++)); do
    head -c 4096 /dev/urandom >"/dev/tcp/127.0.0.1/$port"
    printf '\377\377\377\377' >"/dev/tcp/127.0.0.1/$port"
    printf '\0' >"/dev/tcp/127.0.0.1/$port"
  done 2>/dev/null
  exec 9<>"/dev/tcp/127.0.0.1/$port"
  complete_row "$a" 3 || fail "not served"
  exec 9>&-
}

# Half a request head, a broken body and an oversize head to the callers' port.
test_bad_requests ()
{
  local port=${fleet_address[$a]##*:} status
  exec 9<>"/dev/tcp/127.0.0.1/$port"
  printf 'POST /v1/completions HTTP/1.1\r\nHost:' >&9
  status=$(fleet_curl "$a" /v1/batches -o "$fleet_dir/answer" \
    -w '%{http_code}' -H "$key" -H 'Idempotency-Key: bad' -d '{"broken')
  [ "$status" = 400 ] || fail "broken JSON Lines: status $status"
  status=$(fleet_curl "$a" /v1/completions -o "$fleet_dir/answer" \
    -w '%{http_code}' -H "$key" -H "X-Long: $(printf '%0100000d' 0)" -d '{}')
  case $status in
  400 | 413 | 431) ;;
  *) fail "oversize head: status $status" ;;
  esac
  complete_row "$a" 3 || fail "not served"
  exec 9>&-
}
