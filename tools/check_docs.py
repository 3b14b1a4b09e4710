"""Check the links and commands in the documentation.

Every linked file and heading, and every command and option that is shown, has to
exist. A stale reference misleads an operator during an incident; CI finds it first.
"""

import pathlib
import re
import shlex
import sys

import click

from greengagehaven import cli

ROOT = pathlib.Path(__file__).parent.parent
LINK_PATTERN = re.compile(r"\[[^\]]*\]\(([^)\s]+)\)")
HEADING_PATTERN = re.compile(r"^#+\s+(.*)$", re.MULTILINE)
COMMAND_PATTERN = re.compile(r"^(?:\s*\$\s+|\s{4,}|)(?:\S*/)?(greengagehaven\s.*)$")
FENCED_CODE_PATTERN = re.compile(r"^```.*?^```", re.MULTILINE | re.DOTALL)
INDENTED_CODE_PATTERN = re.compile(r"^(?: {4}.*\n?)+", re.MULTILINE)
INLINE_COMMAND_PATTERN = re.compile(r"`(greengagehaven [^`]+)`")
SCRIPT_PATTERN = re.compile(r"\bpython (tools/\w+\.py)")
PLACEHOLDER_PATTERN = re.compile(r"^[A-Z]")


def main() -> int:
    """Print every error; return 1 if there are any, otherwise 0."""
    pages = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]
    errors = [
        f"{page.relative_to(ROOT)}: {error}"
        for page in pages
        if page.exists()
        for error in (*check_links(page), *check_commands(page))
    ]
    print("\n".join(errors))
    return min(len(errors), 1)


def check_links(page: pathlib.Path) -> list[str]:
    """Return an error for each link of a page whose file or heading does not exist."""
    text = page.read_text(encoding="utf-8")
    errors = []
    for target in LINK_PATTERN.findall(FENCED_CODE_PATTERN.sub("", text)):
        if "://" in target:
            continue
        name, _, anchor = target.partition("#")
        file = (page.parent / name).resolve() if name else page
        if not file.exists():
            errors.append(f"link {target}: the file does not exist")
        elif anchor and file.suffix == ".md" and anchor not in anchors_of(file):
            errors.append(f"link {target}: the heading does not exist")
    return errors


def anchors_of(page: pathlib.Path) -> set[str]:
    """Return the anchors that a page's headings generate."""
    headings = HEADING_PATTERN.findall(page.read_text(encoding="utf-8"))
    without_punctuation = [
        re.sub(r"[^\w\- ]", "", heading.lower()) for heading in headings
    ]
    return {heading.strip().replace(" ", "-") for heading in without_punctuation}


def check_commands(page: pathlib.Path) -> list[str]:
    """Return an error for each command or script of a page that does not exist."""
    text = page.read_text(encoding="utf-8")
    blocks = [*FENCED_CODE_PATTERN.findall(text), *INDENTED_CODE_PATTERN.findall(text)]
    joined = "\n".join(blocks).replace("\\\n", " ")
    lines = [
        match[1] for match in map(COMMAND_PATTERN.match, joined.splitlines()) if match
    ]
    lines += INLINE_COMMAND_PATTERN.findall(text)
    errors = [error for line in lines for error in check_command(line)]
    for script in SCRIPT_PATTERN.findall(text):
        if not (ROOT / script).exists():
            errors.append(f"{script} does not exist")
    return errors


def check_command(line: str) -> list[str]:
    """Return the errors of one command line: an unknown command or options."""
    try:
        words = shlex.split(line.partition("#")[0])[1:]
    except ValueError:
        return [f"{line!r} cannot be parsed as a command line"]
    command: click.Command = cli.greengagehaven
    while isinstance(command, click.Group) and words:
        word = words.pop(0)
        if word.startswith("-"):
            break
        if PLACEHOLDER_PATTERN.match(word) or word in ("|", "&"):
            return []
        subcommand = command.commands.get(word.rstrip(":,."))
        if subcommand is None:
            if "/" in word or "|" in word:
                return []
            return [f"{line!r}: unknown command {word}"]
        command = subcommand
    known_options = {"--help", "--version"}
    for parameter in command.params:
        known_options.update(parameter.opts + parameter.secondary_opts)
    used_options = {word.partition("=")[0] for word in words if word.startswith("--")}
    return [
        f"{line!r}: unknown option {option}"
        for option in sorted(used_options - known_options)
    ]


if __name__ == "__main__":
    sys.exit(main())
