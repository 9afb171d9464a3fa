#!/usr/bin/env bash
# Installs the Debian packages listed in packages.txt that are missing.
set -eu
cd "$(dirname "$0")/.."
missing=()
while read -r name; do
	dpkg -s "$name" >/dev/null 2>&1 || missing+=("$name")
done < packages.txt
if [ "${#missing[@]}" -gt 0 ]; then
	apt-get update
	apt-get install -y --no-install-recommends "${missing[@]}"
fi
