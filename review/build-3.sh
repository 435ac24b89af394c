#!/usr/bin/env bash
# Builds the stand-ins of review/11 to review/15. They are Python files beside the cases and the
# stand-ins in platform/soak, so nothing is compiled; this checks that all of them can be loaded.
set -euo pipefail
cd "$(dirname "$0")/.."
cache="$(mktemp -d)"
trap 'rm -rf "$cache"' EXIT
PYTHONPYCACHEPREFIX="$cache" /usr/bin/python3 -m py_compile \
    platform/soak/store.py platform/soak/endpoints.py platform/soak/proxy.py \
    platform/soak/operators.py review/1[1-5]/*.py
/usr/bin/python3 -c 'import aiohttp'
