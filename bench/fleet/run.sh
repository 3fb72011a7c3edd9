#!/bin/bash
# The fleet's rig with its full counts: many relays under one agent, several seeds, then figures under traffic.
#   bench/fleet/run.sh BUILD_FOLDER
# HERONVANE_FLEET_SEEDS ("1 2 3"), HERONVANE_FLEET_INSTANCES (30), HERONVANE_FLEET_AWAY (5: --max-unavailable),
# HERONVANE_FLEET_RATE (10: messages a second for each relay), HERONVANE_FLEET_AGENT_KILLS (4: in each operation),
# HERONVANE_FLEET_ROUNDS (8: of two tools at once), HERONVANE_FLEET_FIGURES (1; 0: none). Fails where anything is
# lost, runs twice, or runs though refused, where an operation does not end, and where an end comes more than 5 s
# after its relay ran again.
set -euo pipefail
program=$1/tests/fleet_rig/heronvane_fleet_rig
export HERONVANE_FLEET_INSTANCES=${HERONVANE_FLEET_INSTANCES:-30} HERONVANE_FLEET_AWAY=${HERONVANE_FLEET_AWAY:-5}
export HERONVANE_FLEET_RATE=${HERONVANE_FLEET_RATE:-10} HERONVANE_FLEET_ROUNDS=${HERONVANE_FLEET_ROUNDS:-8}
export HERONVANE_FLEET_AGENT_KILLS=${HERONVANE_FLEET_AGENT_KILLS:-4} HERONVANE_FLEET_STRICT=1
export HERONVANE_FLEET_FIGURES=${HERONVANE_FLEET_FIGURES:-1}
bad=0
for seed in ${HERONVANE_FLEET_SEEDS:-1 2 3}; do
  HERONVANE_FLEET_SEED=$seed "$program" --gtest_brief=1 --gtest_filter='FleetRig.*' || bad=1
done
if [[ $HERONVANE_FLEET_FIGURES != 0 ]]; then "$program" --gtest_brief=1 --gtest_filter='Figures.*' || bad=1; fi
exit "$bad"
