#!/bin/sh
# Prepares the cases 6 to 10. Their stand-ins are Python programs that need the standard library
# only, so there is nothing to compile; this checks that they can be read.
cd "$(dirname "$0")" || exit 1
for folder in 6 7 8 9 10; do
    for file in "$folder"/*.py; do
        [ -e "$file" ] || continue
        python3 -c "import ast, sys; ast.parse(open(sys.argv[1], encoding='utf-8').read())" "$file" || exit 1
    done
done
