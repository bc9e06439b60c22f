# shellcheck shell=bash
# Commands of the operator, also during failures.

# key_is_refused VM CUSTOMER: VM responds 401 to the customer's key.
key_is_refused ()
{
  [ "$(fleet_curl "$1" /v1/completions -o "$fleet_dir/response" \
    -H "Authorization: Bearer demo-key-$2" -w '%{http_code}' \
    -d '{"prompt":"refused?","max_tokens":1}')" = 401 ]
}

# After a key is withdrawn, every VM refuses it and accepts other keys.
test_key_withdrawn ()
{
  local vm
  fleet_wait_admitted other \
    || fail "requests of customer other are not admitted"
  fleet_command key withdraw other-demo >"$fleet_dir/command" 2>&1 \
    || fail "$(cat "$fleet_dir/command")"
  for vm in "${fleet_vms[@]}"; do
    fleet_until key_is_refused "$vm" other || fail "$vm still accepts the key"
  done
  completions_succeed "$vm_a" 3 || fail "another customer's key does not work"
}

# A key is withdrawn while the platform is down.  Every VM refuses the key,
# also one that starts later, and the withdrawal lasts after the outage.
test_key_withdrawn_in_outage ()
{
  local vm
  fleet_wait_admitted other \
    || fail "requests of customer other are not admitted"
  fleet_control platform '{"mode":"down"}'
  fleet_command key withdraw other-demo >"$fleet_dir/command" 2>&1
  for vm in "${fleet_vms[@]}"; do
    fleet_until key_is_refused "$vm" other || fail "$vm still accepts the key"
  done
  fleet_signal "$vm_d" KILL
  fleet_wait_exit "$vm_d"
  fleet_start_vm "$vm_d" || fail "the VM does not start"
  fleet_until key_is_refused "$vm_d" other \
    || fail "a VM that started later accepts the key"
  fleet_control platform '{"mode":"ok"}'
  fleet_until completion_succeeds "$vm_d" "after the outage" \
    || fail "$vm_d does not serve after the outage"
  key_is_refused "$vm_d" other || fail "the withdrawal was undone"
}

# Two operators change different sections at the same time, and both succeed.
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
  fleet_command config show >"$fleet_dir/shown" 2>&1 \
    || fail "config show failed"
  for n in 1 2; do
    grep -q "^\[customer race-$n\]" "$fleet_dir/shown" \
      || fail "section race-$n is missing"
  done
}

# A document with faults is refused as a whole, and the output names each
# fault.
test_bad_document_is_refused ()
{
  printf '[customer bad]\nowner = desk\nrate = 5 km\nburst = 5\ncolour = 1\n' \
    >"$fleet_dir/bad.ini"
  ! fleet_command config apply "$fleet_dir/bad.ini" \
    >"$fleet_dir/bad.output" 2>&1 || fail "a document with faults was accepted"
  grep -q rate "$fleet_dir/bad.output" || fail "the output does not name rate"
  grep -q colour "$fleet_dir/bad.output" \
    || fail "the output does not name colour"
  fleet_command config show >"$fleet_dir/shown" 2>&1 \
    || fail "config show failed"
  ! grep -q '^\[customer bad\]' "$fleet_dir/shown" \
    || fail "the refused section is in force"
}

# On each SIGHUP a VM reads its settings again, and open streams continue.
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
  stream_is_complete || fail "the stream is not complete"
  completion_succeeds "$vm_a" "after the signals" \
    || fail "$vm_a does not serve after the signals"
}
