#!/usr/bin/env python3
"""Runs clang-tidy over sources and the headers that they include, and caches the results by content.

A result is found again as long as the tool, its settings, the compile command and the contents of the file and of
every header that it includes are the same, whatever folder the checkout is in. A header that none of the checked
sources includes is checked as a file of its own. Findings are printed once each, with paths relative to the root of
the tree, and only those in the files that were asked for. Exit status: 0 clean, 1 findings, 2 a file could not be
checked.
"""

import argparse
import collections
import concurrent.futures
import hashlib
import json
import os
import pathlib
import re
import shlex
import subprocess
import sys
import threading

ROOT = pathlib.Path(__file__).resolve().parents[2]
EXTRA_ARGUMENTS = [
    "-Wno-unknown-warning-option",  # the compile commands carry GCC's
    "-Wno-pragma-once-outside-header",  # a header may be the main file
    # Deep analysis explores Asio's templates for minutes in one file.
    "-Xclang", "-analyzer-config", "-Xclang", "mode=shallow",
]
FINDING = re.compile(r"^(?P<file>[^:\s]+):\d+:\d+: (?:warning|error): .*\[(?P<checks>[^\]\s]+)\]$")


class Unit:
    """One file to check, and the command that compiles it."""

    def __init__(self, path, arguments, directory):
        self.path = path
        self.arguments = arguments
        self.directory = directory


class Finding:
    """One finding: its first line, and the lines of code and notes below it."""

    def __init__(self, match):
        self.file = os.path.normpath(match["file"])
        self.check = match["checks"].split(",")[0]
        self.lines = [self.file + match[0][len(match["file"]):]]


class ContentHashes:
    """Hashes of file contents, each file read once."""

    def __init__(self):
        self._known = {}

    def of(self, path):
        if path not in self._known:
            self._known[path] = hashlib.sha256(pathlib.Path(path).read_bytes()).hexdigest()
        return self._known[path]


def run(command, **options):
    return subprocess.run(command, capture_output=True, text=True, **options)


def compile_commands(build):
    """The first compile command of each file, by path relative to the root, without its output."""
    commands = {}
    for entry in json.loads((build / "compile_commands.json").read_text()):
        path = os.path.relpath(entry["file"], ROOT)
        if path in commands:
            continue
        words = shlex.split(entry["command"])
        output = words.index("-o")
        del words[output:output + 2]
        words = [word for word in words if word != "-c" and word != entry["file"]]
        commands[path] = (words, entry["directory"])
    return commands


def command_near(file, commands):
    """The command of the source beside a header, of another file in its folder, or of one in a folder above.

    Where there is none, the command with the most include folders.
    """
    twin = str(pathlib.PurePath(file).with_suffix(".cpp"))
    if twin in commands:
        return commands[twin]
    folder = os.path.dirname(file)
    while folder:
        for path in sorted(commands):
            if path.startswith(folder + "/"):
                return commands[path]
        folder = os.path.dirname(folder)
    return max(commands.values(), key=lambda command: sum(word.startswith("-I") for word in command[0]))


def source_units(paths, commands):
    """A source that this configuration leaves out is compiled as one near it."""
    for path in paths:
        if not path.endswith(".hpp"):
            arguments, directory = commands.get(path) or command_near(path, commands)
            yield Unit(path, arguments, directory)


def header_units(headers, commands):
    for header in headers:
        arguments, directory = command_near(header, commands)
        yield Unit(header, arguments + ["-x", "c++-header"], directory)


class Linter:
    """Checks units; keeps results in `cache`."""

    def __init__(self, cache, config, build):
        self._cache = cache
        self._config = config
        self._database = build / "tidy"
        self._hashes = ContentHashes()
        version = run(["clang-tidy", "--version"], check=True).stdout
        self._tool = version + config.read_text() + " ".join(EXTRA_ARGUMENTS)

    def dependencies(self, unit):
        """All files that the unit includes; those of the tree relative to its root. None where it can't compile."""
        manifest = self._manifest(unit)
        if manifest.exists():
            kept = json.loads(manifest.read_text())
            if self._hash_of_files(kept["files"]) == kept["hash"]:
                return kept["files"]
        files = self._find_dependencies(unit)
        if files is not None:
            store(manifest, json.dumps({"hash": self._hash_of_files(files), "files": files}))
        return files

    def check(self, unit):
        """The tool's output, and whether it came from the cache; None for the output where the tool failed."""
        files = self.dependencies(unit)
        if files is None:
            return self._run_tool(unit), False
        key = hashlib.sha256((self._tool + self._manifest(unit).name + self._hash_of_files(files)).encode())
        result = self._cache / key.hexdigest()
        if result.exists():
            return result.read_text(), True
        text = self._run_tool(unit)
        if text is not None:
            store(result, text)
        return text, False

    def _manifest(self, unit):
        command = " ".join([unit.path, *unit.arguments]).replace(str(ROOT), "ROOT")
        return self._cache / hashlib.sha256(command.encode()).hexdigest()

    def _find_dependencies(self, unit):
        language = [] if "-x" in unit.arguments else ["-x", "c++"]
        done = run([*unit.arguments, *language, "-w", "-M", str(ROOT / unit.path)], cwd=unit.directory)
        if done.returncode:
            return None
        files = done.stdout.replace("\\\n", " ").split(":", 1)[1].split()
        return sorted({within_root(os.path.normpath(os.path.join(unit.directory, file))) for file in files})

    def _hash_of_files(self, files):
        """Empty where one of them is gone."""
        total = hashlib.sha256()
        for file in files:
            try:
                total.update(f"{file} {self._hashes.of(ROOT / file)}\n".encode())
            except FileNotFoundError:
                return ""
        return total.hexdigest()

    def _run_tool(self, unit):
        extra = [f"--extra-arg={argument}" for argument in EXTRA_ARGUMENTS]
        done = run(["clang-tidy", "--quiet", "-p", str(self._database), f"--config-file={self._config}",
                    f"--header-filter=^{ROOT}/", *extra, str(ROOT / unit.path)])
        if done.returncode not in (0, 1):
            print(done.stdout + done.stderr, file=sys.stderr)
            return None
        return done.stdout.replace(str(ROOT) + os.sep, "")


def within_root(file):
    return os.path.relpath(file, ROOT) if file.startswith(str(ROOT) + os.sep) else file


def store(path, text):
    """Writes the file whole or not at all: other runs may read it."""
    temporary = path.with_name(f"{path.name}.{os.getpid()}.{threading.get_ident()}")
    temporary.write_text(text)
    temporary.replace(path)


def write_database(build, units):
    """One compile command for each unit: clang-tidy would check a file once for each command that it finds."""
    folder = build / "tidy"
    folder.mkdir(parents=True, exist_ok=True)
    entries = [{"directory": unit.directory, "file": str(ROOT / unit.path),
                "arguments": [*unit.arguments, "-c", str(ROOT / unit.path)]} for unit in units]
    (folder / "compile_commands.json").write_text(json.dumps(entries, indent=1))


def plan(paths, commands, linter, pool):
    """The units that cover all paths: the sources, and the headers that none of them includes. Long ones first."""
    units = list(source_units(paths, commands))
    included = set()
    for files in pool.map(linter.dependencies, units):
        included.update(files or [])
    headers = [path for path in paths if path.endswith(".hpp") and path not in included]
    units += header_units(headers, commands)
    return sorted(units, key=lambda unit: -(ROOT / unit.path).stat().st_size)


def parse_findings(text):
    findings = []
    for line in text.splitlines():
        match = FINDING.match(line)
        if match:
            findings.append(Finding(match))
        elif findings:
            findings[-1].lines.append(line)
    return findings


class Report:
    """Findings in the files asked for, each printed when it first appears: a header's come from many sources."""

    def __init__(self, paths):
        self._paths = set(paths)
        self._seen = set()
        self.findings = []

    def add(self, text):
        for finding in parse_findings(text):
            asked = finding.file in self._paths or finding.check == "clang-diagnostic-error"
            if asked and finding.lines[0] not in self._seen:
                self._seen.add(finding.lines[0])
                self.findings.append(finding)
                print("\n".join(finding.lines), flush=True)

    def print_counts(self, key, title):
        print(f"findings by {title}:")
        counts = collections.Counter(map(key, self.findings))
        for name, count in sorted(counts.items(), key=lambda item: (-item[1], item[0])):
            print(f"{count:7} {name}")


def check_all(linter, units, report, pool):
    """Returns the number of units that could not be checked."""
    failed = cached = 0
    for unit, (text, hit) in zip(units, pool.map(linter.check, units)):
        cached += hit
        if text is None:
            failed += 1
            print(f"tidy: {unit.path} could not be checked", file=sys.stderr)
        else:
            report.add(text)
    print(f"tidy: {len(units)} units, {cached} of them cached, {len(report.findings)} findings, {failed} not checked")
    return failed


def parse_options():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", type=pathlib.Path, required=True, help="folder with compile_commands.json")
    parser.add_argument("--cache", type=pathlib.Path, required=True, help="folder of kept results")
    parser.add_argument("--config", type=pathlib.Path, default=ROOT / ".clang-tidy")
    parser.add_argument("--jobs", type=int, default=os.cpu_count(), help="how many files are checked at once")
    parser.add_argument("--counts", action="store_true", help="print findings by folder and by check, too")
    parser.add_argument("paths", nargs="*", help="files, relative to the root")
    return parser.parse_args()


def main():
    options = parse_options()
    options.cache.mkdir(parents=True, exist_ok=True)
    commands = compile_commands(options.build)
    linter = Linter(options.cache, options.config, options.build)
    report = Report(options.paths)
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        units = plan(options.paths, commands, linter, pool)
        write_database(options.build, units)
        failed = check_all(linter, units, report, pool)
    if options.counts:
        report.print_counts(lambda finding: os.path.dirname(finding.file), "folder")
        report.print_counts(lambda finding: finding.check, "check")
    if failed:
        return 2
    return 1 if report.findings else 0


if __name__ == "__main__":
    sys.exit(main())
