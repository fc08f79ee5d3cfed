#!/usr/bin/env python3
"""Runs clang-tidy over all sources, or over the files named.

A file is skipped if it passed before with the same text in it and in all files
that it includes, the same flags, checks and version of clang-tidy: its verdict
can't differ. Only passes are kept, under the user's cache folder.
"""

import concurrent.futures
import functools
import hashlib
import json
import os
import pathlib
import shlex
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
# clang 14 has coroutines but does not say so in the way that Asio asks.
COROUTINES = [
    "-D__cpp_impl_coroutine=201902L",
    "-DBOOST_ASIO_HAS_CO_AWAIT",
    "-DBOOST_ASIO_HAS_STD_COROUTINE",
]


def run(arguments, **options):
    return subprocess.run(arguments, capture_output=True, check=False, **options)


def sources():
    listed = run(
        ["git", "ls-files", "-co", "--exclude-standard", "*.cpp"], cwd=ROOT, text=True
    )
    return [name for name in listed.stdout.split() if (ROOT / name).exists()]


def compile_commands(build):
    """Compiler and flags of each source file, by its absolute path."""
    commands = json.loads((build / "compile_commands.json").read_text())
    found = {}
    for entry in commands:
        kept = []
        words = iter(shlex.split(entry["command"]))
        compiler = next(words)
        for word in words:
            if word == "-o":
                next(words)
            elif word not in ("-c", entry["file"]):
                kept.append(word)
        found[entry["file"]] = compiler, kept
    return found


@functools.cache
def content_hash(path):
    return hashlib.sha256(pathlib.Path(path).read_bytes()).digest()


def included_files(path, compiler, flags, build):
    """The file and all that it includes, or None if that can't be had."""
    rule = run([compiler, *flags, "-M", str(path)], cwd=build, text=True)
    if rule.returncode != 0:
        return None
    names = rule.stdout.replace("\\\n", " ").split()[1:]
    return sorted({os.path.realpath(build / name) for name in names})


def fingerprint(path, compiler, flags, common, build):
    """Hash of all that the verdict depends on, or None if it can't be had."""
    names = included_files(path, compiler, flags, build)
    if names is None:
        return None
    root = str(ROOT)
    digest = hashlib.sha256(common)
    digest.update(" ".join(flags).replace(root, ".").encode())
    # Ordered by the names below the root, which are the same in every clone.
    for shown, name in sorted((name.replace(root, "."), name) for name in names):
        digest.update(shown.encode())
        digest.update(content_hash(name))
    return digest.hexdigest()


def lint(name, build, commands, common, cache):
    path = ROOT / name
    known = None
    if str(path) in commands:
        known = fingerprint(path, *commands[str(path)], common, build)
    if known and (cache / known).exists():
        return True, "", True
    extra = [f"--extra-arg={flag}" for flag in COROUTINES]
    done = run(
        ["clang-tidy", "--quiet", "-p", str(build), *extra, str(path)],
        cwd=ROOT,
        text=True,
    )
    # The count of suppressed warnings in system headers says nothing.
    errors = [line for line in done.stderr.splitlines() if "warnings generated" not in line]
    passed = done.returncode == 0
    if passed and known and not done.stdout.strip():
        (cache / known).touch()
    return passed, "\n".join([done.stdout, *errors]).strip(), False


def main():
    build = ROOT / "build"
    names = sys.argv[1:] or sources()
    cache = pathlib.Path(os.environ.get("XDG_CACHE_HOME", pathlib.Path.home() / ".cache"))
    cache = cache / "bramleyarch-lint"
    cache.mkdir(parents=True, exist_ok=True)
    version = run(["clang-tidy", "--version"]).stdout
    common = version + (ROOT / ".clang-tidy").read_bytes()
    commands = compile_commands(build)
    failed = skipped = 0
    with concurrent.futures.ThreadPoolExecutor(os.cpu_count()) as pool:
        jobs = [pool.submit(lint, name, build, commands, common, cache) for name in names]
        for job in concurrent.futures.as_completed(jobs):
            passed, output, was_known = job.result()
            failed += not passed
            skipped += was_known
            if output:
                print(output, flush=True)
    print(f"lint: {len(names)} files, {skipped} known, {failed} failed", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
