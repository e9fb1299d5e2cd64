#!/usr/bin/env bash
# Fails if one of the platform's names is used outside platform/. The names are
# collected there: headers, the settings variable, and compound field names.
set -euo pipefail
cd "$(dirname "$0")/.."
names=$( {
  grep -hoE '"[A-Z][A-Za-z]+(-[A-Z][A-Za-z]+)+"' platform/names.hpp
  grep -hoE '"HIBISCUSNOTCH_[A-Z]+"' platform/names.hpp
  grep -hoE '"[a-z]+([A-Z][a-zA-Z]*)+"' platform/*.cpp
} | tr -d '"' | sort -u | grep -vE '^(Last-Event-Id|Retry-After|Content-[A-Za-z]+|Transfer-Encoding|Keep-Alive|Proxy-[A-Za-z]+)$')
[ "$(printf '%s\n' "$names" | wc -l)" -ge 30 ] ||
  { echo "check_platform_names: expected at least 30 names in platform/"; exit 1; }
found=0
while read -r name; do
  # A field name is searched for as a whole string literal, a header name also in
  # comments and within other literals.
  pattern="\"$name\""
  case "$name" in *-* | HIBISCUSNOTCH_*) pattern="(^|[^-A-Za-z])$name([^-A-Za-z]|$)" ;; esac
  if git grep -nE -e "$pattern" -- 'src/*.cpp' 'src/*.hpp' 'include/*.hpp' \
    'examples/*.cpp'; then
    echo "check_platform_names: '$name' may only be used in platform/"
    found=1
  fi
done <<<"$names"
exit $found
