#!/bin/sh
# Runs the case. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
PYTHONDONTWRITEBYTECODE=1 exec python3 scenario.py
