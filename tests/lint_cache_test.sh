#!/usr/bin/env bash
# The linter passes over a unit only while all that its clean result depends on
# is as it was. Argument: scripts/lint-unit.
set -euo pipefail
lint_unit=$1
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
export XDG_CACHE_HOME=$work/cache LINTED=$work/linted
linter=$(command -v clang-tidy)

# A linter in front of the true one that counts the units.
mkdir "$work/bin"
cat >"$work/bin/clang-tidy" <<END
#!/bin/sh
case "\$*" in *.cc*) echo "\$*" >>"\$LINTED" ;; esac
exec "$linter" "\$@"
END
chmod +x "$work/bin/clang-tidy"
export PATH=$work/bin:$PATH

# Makes a checkout with two units, of which the first reads the header.
checkout() {
  mkdir -p "$1/scripts" "$1/src" "$1/build"
  cp "$lint_unit" "$1/scripts/lint-unit"
  git init -q "$1"
  cat >"$1/.clang-tidy" <<END
Checks: 'modernize-use-nullptr'
WarningsAsErrors: '*'
HeaderFilterRegex: 'src/.*\.h\$'
END
  echo 'inline int Two() { return 2; }' >"$1/src/two.h"
  printf '#include "src/two.h"\nint Four() { return Two() + Two(); }\n' >"$1/src/four.cc"
  echo 'int* Nowhere() { return nullptr; }' >"$1/src/nowhere.cc"
  commands "$1" -DKNOWN
}

# Writes the compile commands with a flag.
commands() {
  local unit entries=()
  for unit in four nowhere; do
    entries+=("{\"directory\": \"$1/build\",
      \"command\": \"c++ -I$1 $2 -o $unit.o -c $1/src/$unit.cc\",
      \"file\": \"$1/src/$unit.cc\"}")
  done
  printf '[%s,%s]' "${entries[@]}" >"$1/build/compile_commands.json"
}

# Lints both units of a checkout and compares the verdict and the units linted.
expect() {
  local root=$1 verdict=$2 linted=$3 what=$4 unit got=clean units
  : >"$LINTED"
  for unit in four nowhere; do
    "$root/scripts/lint-unit" "src/$unit.cc" >>"$work/findings" || got=finding
  done
  units=$(grep -o '[a-z]*\.cc$' "$LINTED" | paste -sd ' ') || true
  if [ "$got: $units" != "$verdict: $linted" ]; then
    echo "$what: expected $verdict with '$linted' linted, got $got with '$units'" >&2
    cat "$work/findings" >&2
    exit 1
  fi
}

one=$work/one
checkout "$one"
expect "$one" clean "four.cc nowhere.cc" "the first run"
expect "$one" clean "" "a second run without changes"

checkout "$work/two"
expect "$work/two" clean "" "another checkout of the same files"

echo '// A comment may silence the linter.' >>"$one/src/two.h"
expect "$one" clean "four.cc" "a changed header"
expect "$one" clean "" "the run after the changed header"

sed -i 's/nullptr/nullptr,bugprone-macro-parentheses/' "$one/.clang-tidy"
expect "$one" clean "four.cc nowhere.cc" "a changed rule"
expect "$one" clean "" "the run after the changed rule"

commands "$one" -DOTHER
expect "$one" clean "four.cc nowhere.cc" "a changed compile command"

mkdir "$one/nearer" && mv "$one/src/two.h" "$one/nearer/two.h"
mkdir "$one/nearer/src" && mv "$one/nearer/two.h" "$one/nearer/src/two.h"
commands "$one" "-I$one/nearer"
expect "$one" clean "four.cc nowhere.cc" "a header in another place"
cp "$one/nearer/src/two.h" "$one/src/two.h"
expect "$one" clean "four.cc" "a header that hides another"

echo 'inline int* None() { return 0; }' >>"$one/src/two.h"
expect "$one" finding "four.cc" "a finding in a header"
expect "$one" finding "four.cc" "the same finding on the second run"
sed -i 's/return 0/return nullptr/' "$one/src/two.h"
expect "$one" clean "four.cc" "the mended header"

echo 'int* None() { return 0; }  // NOLINT' >>"$one/src/nowhere.cc"
expect "$one" clean "nowhere.cc" "a silenced finding"
sed -i 's/ *\/\/ NOLINT//' "$one/src/nowhere.cc"
expect "$one" finding "nowhere.cc" "the finding without its comment"

echo 'int Broken( {' >"$one/src/four.cc"
expect "$one" finding "four.cc nowhere.cc" "a unit that does not compile"
expect "$one" finding "four.cc nowhere.cc" "the same unit on the second run"
echo "A changed header, rule or command brings its units back; findings stay."
