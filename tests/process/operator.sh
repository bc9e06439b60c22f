# shellcheck shell=bash
# Operators' commands while things fail.

# refused VM CUSTOMER: its key doesn't work there.
key_is_refused ()
{
  [ "$(fleet_curl "$1" /v1/completions -o "$fleet_dir/response" \
    -H "Authorization: Bearer demo-key-$2" -w '%{http_code}' \
    -d '{"prompt":"refused?","max_tokens":1}')" = 401 ]
}

# Withdrawn on every VM; other keys go on.
test_key_withdrawn ()
{
  local vm
  fleet_wait_admitted other || fail "requests are not admitted"
  fleet_command key withdraw other-demo >"$fleet_dir/command" 2>&1 \
    || fail "$(cat "$fleet_dir/command")"
  for vm in "${fleet_vms[@]}"; do
    fleet_until key_is_refused "$vm" other || fail "$vm still takes the key"
  done
  completions_succeed "$vm_a" 3 || fail "another customer's key does not work"
}

# The same with the platform away; a VM that starts later knows of it too.
test_key_withdrawn_in_outage ()
{
  local vm
  fleet_wait_admitted other || fail "requests are not admitted"
  fleet_control platform '{"mode":"down"}'
  fleet_command key withdraw other-demo >"$fleet_dir/command" 2>&1
  for vm in "${fleet_vms[@]}"; do
    fleet_until key_is_refused "$vm" other || fail "$vm still takes the key"
  done
  fleet_signal "$vm_d" KILL
  fleet_wait_exit "$vm_d"
  fleet_start_vm "$vm_d" || fail "the VM does not start"
  fleet_until key_is_refused "$vm_d" other \
    || fail "a VM started later takes the key"
  fleet_control platform '{"mode":"ok"}'
  fleet_until completion_succeeds "$vm_d" "after the outage" \
    || fail "not served"
  key_is_refused "$vm_d" other || fail "the withdrawal was undone"
}

# Two operators change different sections at once: both succeed.
test_operators_race ()
{
  local n
  for n in 1 2; do
    printf '[customer race-%d]\nowner = desk\nrate = 5/s\nburst = 5\n' "$n" \
      >"$fleet_dir/race-$n.ini"
    fleet_command config apply "$fleet_dir/race-$n.ini" \
      >"$fleet_dir/race-$n.output" 2>&1 &
    fleet_pid[race-$n]=$!
  done
  for n in 1 2; do
    fleet_wait_exit "race-$n" || fail "$(cat "$fleet_dir/race-$n.output")"
  done
  fleet_command config show >"$fleet_dir/shown" 2>&1 || fail "no document"
  for n in 1 2; do
    grep -q "^\[customer race-$n\]" "$fleet_dir/shown" \
      || fail "race-$n is lost"
  done
}

# A document with a fault is refused whole, with the place of each fault.
test_bad_document_is_refused ()
{
  printf '[customer bad]\nowner = desk\nrate = 5 km\nburst = 5\ncolour = 1\n' \
    >"$fleet_dir/bad.ini"
  ! fleet_command config apply "$fleet_dir/bad.ini" \
    >"$fleet_dir/bad.output" 2>&1 || fail "accepted"
  grep -q rate "$fleet_dir/bad.output" || fail "rate is not named"
  grep -q colour "$fleet_dir/bad.output" || fail "colour is not named"
  fleet_command config show >"$fleet_dir/shown" 2>&1 || fail "no document"
  ! grep -q '^\[customer bad\]' "$fleet_dir/shown" || fail "it is in force"
}

# SIGHUP, more than once: the settings are read again and nothing is cut.
test_settings_read_again ()
{
  stream_start "$vm_a" 200 || fail "the stream did not start"
  local n
  for n in 1 2 3; do
    fleet_signal "$vm_a" HUP
    fleet_until vm_logged_at_least "$vm_a" "settings read again" "$n" \
      || fail "signal $n had no effect"
  done
  fleet_wait_exit stream || fail "the stream was cut"
  stream_is_complete || fail "the stream is not whole"
  completion_succeeds "$vm_a" "after the signals" || fail "not served"
}
