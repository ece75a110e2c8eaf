"""Runs clang-tidy on sources. The sources of one folder are joined into one
translation unit, since parsing their headers takes most of the time. A folder
with a finding, or whose joined sources don't compile, is linted again source by
source."""

import concurrent.futures
import json
import os
import subprocess
import sys

BUILD = "build-lint"
JOINED = os.path.join(BUILD, "joined")
MAX_SOURCES = 8  # in a joined source
HEADERS = r"(packages|platform|standins|bench)/.*\.(h|cpp)$"
IGNORED_OUTPUT = ("warnings generated", "warning generated", "Suppressed",
                  "Use -header-filter")


def sources():
    listed = subprocess.run(
        ["git", "ls-files", "-co", "--exclude-standard", "*.cpp"], check=True,
        capture_output=True, text=True).stdout.split()
    return [each for each in listed
            if ".capnp." not in each and "/test/" not in each
            and os.path.exists(each)]


def groups_of(files, known):
    by_folder = {}
    for each in files:
        # Two main() functions can't be joined. A source that no target builds
        # has no compile command, so the linter guesses one.
        is_alone = os.path.basename(each) == "main.cpp" or each not in known
        key = each if is_alone else os.path.dirname(each)
        by_folder.setdefault(key, []).append(each)
    for members in by_folder.values():
        for start in range(0, len(members), MAX_SOURCES):
            yield members[start:start + MAX_SOURCES]


def commands():
    with open(os.path.join(BUILD, "compile_commands.json"),
              encoding="utf-8") as file:
        return {os.path.relpath(each["file"]): each for each in json.load(file)}


def write_joined(groups, known):
    """Writes a source for each group, and their compile commands."""
    os.makedirs(JOINED, exist_ok=True)
    entries, paths = [], []
    for number, members in enumerate(groups):
        if len(members) == 1:
            paths.append(None)
            continue
        path = os.path.abspath(os.path.join(JOINED, f"{number}.cpp"))
        with open(path, "w", encoding="utf-8") as file:
            for each in members:
                file.write(f'#include "{os.path.abspath(each)}"'
                           " // NOLINT(bugprone-suspicious-include)\n")
        first = known[members[0]]
        command = first["command"].replace(first["file"], path)
        entries.append({**first, "file": path, "command": command})
        paths.append(path)
    with open(os.path.join(JOINED, "compile_commands.json"), "w",
              encoding="utf-8") as file:
        json.dump(entries, file)
    return paths


def tidy(folder, path, *options):
    done = subprocess.run(
        ["clang-tidy", "-p", folder, "--quiet", *options, path],
        stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True,
        check=False)
    lines = [each for each in done.stdout.splitlines()
             if not any(ignored in each for ignored in IGNORED_OUTPUT)]
    return done.returncode, "\n".join(lines)


def lint(members, joined):
    if joined:
        code, _ = tidy(JOINED, joined, f"--header-filter={HEADERS}")
        if code == 0:
            return 0, ""
    results = [tidy(BUILD, each) for each in members]
    text = "\n".join(output for code, output in results if output)
    return max(code for code, _ in results), text


def main():
    files = sys.argv[1:] or sources()
    known = commands()
    groups = list(groups_of(files, known))
    joined = write_joined(groups, known)
    jobs = int(os.environ.get("JOBS", os.cpu_count()))
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        results = list(pool.map(lint, groups, joined))
    for _, text in results:
        if text.strip():
            print(text)
    return 1 if any(code != 0 for code, _ in results) else 0


if __name__ == "__main__":
    sys.exit(main())
