#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review, from the libraries that the deploy file's
# build leaves in target/. They need no package beyond the deploy file's.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
rm -f "$out"/*
[ -f target/libazureyoke_platform.a ] || { echo "run the build of deploy/system.toml first" >&2; exit 2; }
flags=(-std=c++20 -O1 -Wall -Wextra -I. $(pkg-config --cflags libevent))
libs=(-Ltarget -lazureyoke_platform -lazureyoke_app -lazureyoke_protocol -lazureyoke_schema
    -lazureyoke_coordination -lazureyoke_transport -lazureyoke_state -lhttp_parser -lgflags
    $(pkg-config --libs libevent libcrypto libxxhash liblog4cxx capnp-rpc kj-async))
common=(review/tools/deployment.cpp platform/standin/store_standin.cpp standin/process.cpp)
objects=()
for source in "${common[@]}"; do
    object="$out/$(basename "$source" .cpp).o"
    g++ "${flags[@]}" -c "$source" -o "$object" &
    objects+=("$object")
done
programs=()
for source in review/tools/*.cpp; do
    name=$(basename "$source" .cpp)
    [ "$name" = deployment ] && continue
    programs+=("$name")
    g++ "${flags[@]}" -c "$source" -o "$out/$name.main.o" &
done
wait
for name in "${programs[@]}"; do
    g++ "$out/$name.main.o" "${objects[@]}" "${libs[@]}" -o "$out/$name"
done
