#!/usr/bin/env python3
"""Prints how the C++ code of a tree reads, as a Markdown table.

The tree is read as text, without a compiler: functions are the bodies that stand at namespace or class level, a
lambda belongs to the function around it, and a function's lines run from its signature to its closing brace.
A public item is a type, alias, constant or function that a header declares at namespace level; it has a doc comment
where a comment stands on the line above it or behind it. clang-tidy's findings by folder come from
tools/lint/tidy.py --counts.
"""

import argparse
import collections
import pathlib
import re
import subprocess

PRODUCT = ("src", "include", "adapter", "wire", "relay", "tools", "standins", "lab", "fleet", "cli")
TESTS = ("tests",)
MAX_FUNCTION_LINES = 40
MAX_FILE_LINES = 400

COMMENT_OR_LITERAL = re.compile(
    r'//[^\n]*|/\*.*?\*/|R"(?P<mark>\w*)\(.*?\)(?P=mark)"|"(?:\\.|[^"\\\n])*"|(?<![0-9a-fA-F])\'(?:\\.|[^\'\\\n])+\'',
    re.DOTALL)
TYPE_HEAD = re.compile(r"\b(class|struct|union|enum)\b[^()=]*$")
NAMESPACE_HEAD = re.compile(r"\b(namespace\b[\w:\s]*|extern\s*)$")
FUNCTION_HEAD = re.compile(r"\)\s*(const|noexcept|override|final|mutable|&|->[^{};]*|\s)*$|\boperator\b")
NOT_FUNCTIONS = re.compile(r"(^|[\s;}])(if|for|while|switch|catch)\s*\(")
ASSIGNMENT = re.compile(r"(?<![=!<>])(?:[-+*/|&^%]|<<|>>)?=(?!=)|\+\+|--")
DECLARATION = re.compile(r"^\s*(?:const |static |constexpr |inline )*[\w:]+(?:<[^;=]*>)?[ *&]+[\w]+\s*(?:=|,)")


class Function:
    def __init__(self, file, line, lines):
        self.file = file
        self.line = line
        self.lines = lines


def blank(text):
    """The text with comments and literals as spaces; lines keep their numbers."""
    return COMMENT_OR_LITERAL.sub(lambda match: re.sub(r"[^\n]", " ", match[0]), text)


def without_directives(text):
    return re.sub(r"^[ \t]*#(?:[^\n]*\\\n)*[^\n]*", lambda match: re.sub(r"[^\n]", " ", match[0]), text,
                  flags=re.MULTILINE)


class Scope:
    """What stands between a brace and its partner."""

    def __init__(self, kind, head_at, opened_at):
        self.kind = kind  # namespace, type, function or other
        self.head_at = head_at
        self.opened_at = opened_at


def kind_of(head, outer):
    if outer in ("function", "other"):
        return "other"
    if NAMESPACE_HEAD.search(head):
        return "namespace"
    if TYPE_HEAD.search(head) and not head.rstrip().endswith(")"):
        return "type"
    if "(" in head and not NOT_FUNCTIONS.search(head) and not re.search(r"=\s*$", head):
        return "function"
    return "other"


def scopes(code):
    """Yields (scope, closed_at, enclosing kinds) of each pair of braces, and (None, start, end) of statements."""
    stack = []
    begin = 0
    parentheses = 0
    for at, char in enumerate(code):
        if char in "([":
            parentheses += 1
        elif char in ")]":
            parentheses -= 1
        elif parentheses > 0 and char in "{};":
            continue
        elif char == "{":
            head = code[begin:at]
            kind = kind_of(head, stack[-1].kind if stack else "namespace")
            # A brace after a member's name in a constructor's list is an initializer, not the body.
            if kind == "function" and re.search(r"\)\s*:[^{]*[\w>]\s*$", head) and is_initializer(code, at):
                kind = "other"
                stack.append(Scope(kind, begin, at))
                continue
            stack.append(Scope(kind, begin, at))
            begin = at + 1
        elif char == "}" and stack:
            scope = stack.pop()
            yield scope, at, [outer.kind for outer in stack]
            if scope.kind != "other" or scope.head_at != begin:
                begin = at + 1
        elif char == ";":
            yield None, (begin, at), [outer.kind for outer in stack]
            begin = at + 1


def is_initializer(code, at):
    """Whether the brace's partner is followed by another member or by the body."""
    depth = 0
    for end in range(at, len(code)):
        depth += (code[end] == "{") - (code[end] == "}")
        if depth == 0:
            return code[end + 1:].lstrip()[:1] in (",", "{")
    return False


def line_of(code, at):
    return code.count("\n", 0, at) + 1


def first_code(code, begin, end):
    """Where the first character of code stands, past access specifiers."""
    match = re.compile(r"(?:\s|public:|private:|protected:)*").match(code, begin, end)
    return match.end() if match else begin


def functions_of(file, code):
    for scope, closed_at, _ in scopes(code):
        if scope is not None and scope.kind == "function":
            first = line_of(code, first_code(code, scope.head_at, scope.opened_at))
            yield Function(file, first, line_of(code, closed_at) - first + 1)


def depth_zero_parts(statement):
    """The parts between the commas that stand outside all brackets."""
    parts, depth, begin = [], 0, 0
    for at, char in enumerate(statement):
        if char in "([{":
            depth += 1
        elif char in ")]}":
            depth = max(0, depth - 1)
        elif char == "," and depth == 0:
            parts.append(statement[begin:at])
            begin = at + 1
    return parts + [statement[begin:]]


def outside_brackets(part):
    kept, depth = [], 0
    for char in part:
        if char in "([{":
            depth += 1
        elif char in ")]}":
            depth = max(0, depth - 1)
        elif depth == 0:
            kept.append(char)
    return "".join(kept)


def joined_steps(code):
    """Lines with a statement of two or more assignments joined by commas."""
    count = 0
    for line in code.splitlines():
        for statement in line.split(";"):
            if DECLARATION.match(statement):
                continue
            parts = [part for part in depth_zero_parts(statement) if ASSIGNMENT.search(outside_brackets(part))]
            if len(parts) > 1:
                count += 1
                break
    return count


def is_documented(lines, first, last):
    """Whether a comment stands above the item's first line (1-based) or behind one of its lines."""
    above = first - 2
    while above >= 0 and re.match(r"\s*(template\s*<|\[\[)", lines[above]):
        above -= 1
    if above >= 0 and re.match(r"\s*(//|\*|/\*|.*\*/\s*$)", lines[above]):
        return True
    return any("//" in line for line in lines[first - 1:last])


def public_items(text, code):
    """Yields (line, documented) of each item at namespace level of a header."""
    lines = text.splitlines()
    ended_by_brace = set()
    for scope, at, outer in scopes(code):
        if any(kind != "namespace" for kind in outer):
            continue
        if scope is None:
            begin, end = at
            begin = first_code(code, begin, end)
            statement = code[begin:end].strip()
            if not statement or begin in ended_by_brace or statement.startswith(("using namespace", "friend")):
                continue
            if re.match(r"(class|struct|enum class|enum)\s+[\w:]+$", statement):
                continue  # a forward declaration
        elif scope.kind in ("type", "function"):
            begin = first_code(code, scope.head_at, scope.opened_at)
            end = scope.opened_at
        else:
            continue
        first, last = line_of(code, begin), line_of(code, end)
        yield first, is_documented(lines, first, last)


def cpp_files(root, folders):
    listed = subprocess.run(["git", "-C", str(root), "ls-files", "--", *folders], capture_output=True, text=True)
    if listed.returncode == 0 and listed.stdout:
        names = listed.stdout.splitlines()
    else:
        names = [str(path.relative_to(root)) for folder in folders for path in (root / folder).rglob("*")]
    return sorted(name for name in names if name.endswith((".cpp", ".hpp")) and (root / name).is_file())


class Figures:
    """What is counted of the product code."""

    def __init__(self, root):
        self.functions, self.file_lines = [], {}
        self.joined = self.items = self.undocumented = 0
        self.items_by_folder = collections.Counter()
        for file in cpp_files(root, PRODUCT):
            text = (root / file).read_text()
            code = without_directives(blank(text))
            self.file_lines[file] = len(text.splitlines())
            self.functions += functions_of(file, code)
            self.joined += joined_steps(code)
            if file.endswith(".hpp"):
                for _, documented in public_items(text, code):
                    self.items += 1
                    self.undocumented += not documented
                    self.items_by_folder[str(pathlib.Path(file).parent)] += not documented


def lines_in(root, folders):
    return sum(len((root / file).read_text().splitlines()) for file in cpp_files(root, folders))


def print_table(root):
    figures = Figures(root)
    long_functions = sorted((f for f in figures.functions if f.lines > MAX_FUNCTION_LINES), key=lambda f: -f.lines)
    long_files = sorted((file for file in figures.file_lines if figures.file_lines[file] > MAX_FILE_LINES),
                        key=lambda file: -figures.file_lines[file])
    longest_function = max(figures.functions, key=lambda f: f.lines)
    longest_file = max(figures.file_lines, key=figures.file_lines.get)
    all_lines, test_lines = lines_in(root, ["."]), lines_in(root, TESTS)
    print("| measure | value |")
    print("| --- | --- |")
    print(f"| lines of C++ | {all_lines:,} |")
    print(f"| share of tests | {100 * test_lines / all_lines:.0f}% |")
    print(f"| functions over {MAX_FUNCTION_LINES} lines | {len(long_functions)} of {len(figures.functions)} |")
    print(f"| longest function | `{longest_function.file}:{longest_function.line}`, {longest_function.lines} |")
    print(f"| files over {MAX_FILE_LINES} lines | {len(long_files)} of {len(figures.file_lines)} |")
    print(f"| longest file | `{longest_file}`, {figures.file_lines[longest_file]:,} |")
    print(f"| lines with two assignments joined by a comma | {figures.joined} |")
    print(f"| public items without doc comment | {figures.undocumented} of {figures.items} |")
    return long_functions, long_files, figures


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("root", nargs="?", type=pathlib.Path, default=pathlib.Path(__file__).resolve().parents[2])
    parser.add_argument("--list", action="store_true", help="name the long functions and files, too")
    options = parser.parse_args()
    long_functions, long_files, figures = print_table(options.root)
    if options.list:
        for function in long_functions:
            print(f"{function.lines:5} {function.file}:{function.line}")
        for file in long_files:
            print(f"{figures.file_lines[file]:5} {file}")
        for folder, count in sorted(figures.items_by_folder.items()):
            print(f"{count:5} public items without doc comment in {folder}")


if __name__ == "__main__":
    main()
