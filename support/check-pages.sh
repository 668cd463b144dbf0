#!/usr/bin/env bash
# Fails if a page names something that is not in the tree: an identifier, a test or a file in backquotes,
# or, in OPERATIONS.md, a log message in double quotes ending in a full stop.
set -euo pipefail
cd "$(dirname "$0")/.."

# Without the files that contain names only to check or replace them.
sources=(include src platform test support deploy .ci CMakeLists.txt
    ':!support/check-pages.sh' ':!support/safeguards.txt')
files=$(git ls-files)
missing=0

report()
{
    echo "$1: $2 is not in the tree"
    missing=1
}

# Succeeds if the sources contain the name as a whole word, or the tree has such a file (with or
# without its extension), directory or program.
is_known()
{
    local name=${1#build/}
    git grep -qwF -e "$name" -- "${sources[@]}" && return
    grep -qE "(^|/)$(sed 's/[.]/\\./g' <<<"${name%/}")(\$|/|\.[a-z]+\$)" <<<"$files"
}

# Succeeds if the name, or else each of its parts, is known. Only qualified names (A::b), key paths
# (a.b), log texts (field:value) and names with placeholders have parts. A placeholder is a word in
# capitals after a dot or a slash, as in services.NAME or sites/REGION.yaml.
check_name()
{
    local name=$1 plain part
    is_known "$name" && return
    if [[ $name =~ ^[a-z]+:[^:] ]]; then
        git grep -qF -e "${name%%:*}:" -- src platform
        return
    fi
    plain=$(sed -E 's#[./][A-Z][A-Z_]+(\.(yaml|toml|json))?($|[./])#\3#g' <<<"$name")
    if [[ $plain == "$name" && $name != *::* ]]; then
        [[ $name =~ ^[A-Za-z]*(\.[A-Za-z]+)+$ && ! $name =~ \.(cc|h|sh|md|txt|toml|yaml|json)$ ]] || return
    fi
    for part in $(sed 's#::# #g; s#[./]# #g' <<<"$plain"); do
        is_known "$part" || return
    done
}

for page in PROOFS OPERATIONS GLOSSARY DESIGN PLATFORM POLICY; do
    while IFS= read -r name; do
        check_name "$name" || report "docs/$page.md" "\`$name\`"
    done < <(grep -oE '`[A-Za-z_.][A-Za-z0-9_./:-]*(\(\))?`' "docs/$page.md" | tr -d '`()' | sort -u)
done

# Messages may be wrapped over two lines of the page.
while IFS= read -r message; do
    git grep -qF -e "\"$message\"" -- src platform \
        || report docs/OPERATIONS.md "the log message \"$message\""
done < <(tr '\n' ' ' <docs/OPERATIONS.md | grep -oE '"[A-Z][^"]*\."' | tr -d '"' | sort -u)

exit $missing
