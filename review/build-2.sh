#!/usr/bin/env bash
# Checks that the stand-ins and cases of the second review can be imported. They need
# nothing but the standard library; the nodes need what the deploy file builds.
set -e
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/target/deps:$PWD" PYTHONDONTWRITEBYTECODE=1
python3 -c "import review.standins_two.machines"
for folder in review/[6-9] review/10; do
  [ -f "$folder/case.py" ] || continue
  python3 -c "import importlib; importlib.import_module('review.$(basename "$folder").case')"
done
python3 -c "import damaskproxy.sidecar.compose"
