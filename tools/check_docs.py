"""Check the documents: links lead somewhere, commands exist with their flags.

A page that names a file, a heading or a flag that is gone sends an operator the
wrong way in the middle of a failure; this check finds it in CI.
"""

import pathlib
import re
import shlex
import sys

import click

from greengagehaven import cli

ROOT = pathlib.Path(__file__).parent.parent
LINK = re.compile(r"\[[^\]]*\]\(([^)\s]+)\)")
HEADING = re.compile(r"^#+\s+(.*)$", re.MULTILINE)
COMMAND = re.compile(r"^(?:\s*\$\s+|\s{4,}|)(?:\S*/)?(greengagehaven\s.*)$")
FENCE = re.compile(r"^```.*?^```", re.MULTILINE | re.DOTALL)
INDENTED = re.compile(r"^(?: {4}.*\n?)+", re.MULTILINE)
INLINE = re.compile(r"`(greengagehaven [^`]+)`")
SCRIPT = re.compile(r"\bpython (tools/\w+\.py)")
PLACEHOLDER = re.compile(r"^[A-Z]")


def main() -> int:
    """Print every mistake; return 1 where there is one."""
    pages = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]
    mistakes = [
        f"{page.relative_to(ROOT)}: {mistake}"
        for page in pages
        if page.exists()
        for mistake in (*check_links(page), *check_commands(page))
    ]
    print("\n".join(mistakes))
    return min(len(mistakes), 1)


def check_links(page: pathlib.Path) -> list[str]:
    """Return the links of a page that lead nowhere."""
    text = page.read_text(encoding="utf-8")
    mistakes = []
    for target in LINK.findall(FENCE.sub("", text)):
        if "://" in target:
            continue
        name, _, anchor = target.partition("#")
        file = (page.parent / name).resolve() if name else page
        if not file.exists():
            mistakes.append(f"link {target} leads to no file")
        elif anchor and file.suffix == ".md" and anchor not in anchors_of(file):
            mistakes.append(f"link {target} leads to no heading")
    return mistakes


def anchors_of(page: pathlib.Path) -> set[str]:
    """Return the anchors of a page's headings."""
    headings = HEADING.findall(page.read_text(encoding="utf-8"))
    plain = [re.sub(r"[^\w\- ]", "", heading.lower()) for heading in headings]
    return {heading.strip().replace(" ", "-") for heading in plain}


def check_commands(page: pathlib.Path) -> list[str]:
    """Return the commands of a page that do not exist as written."""
    text = page.read_text(encoding="utf-8")
    blocks = [*FENCE.findall(text), *INDENTED.findall(text)]
    joined = "\n".join(blocks).replace("\\\n", " ")
    lines = [match[1] for match in map(COMMAND.match, joined.splitlines()) if match]
    lines += INLINE.findall(text)
    mistakes = [mistake for line in lines for mistake in check_command(line)]
    for script in SCRIPT.findall(text):
        if not (ROOT / script).exists():
            mistakes.append(f"{script} does not exist")
    return mistakes


def check_command(line: str) -> list[str]:
    """Return what is wrong with one command line."""
    try:
        words = shlex.split(line.partition("#")[0])[1:]
    except ValueError:
        return [f"{line!r} is not a command line"]
    command: click.Command = cli.greengagehaven
    while isinstance(command, click.Group) and words:
        word = words.pop(0)
        if word.startswith("-"):
            break
        if PLACEHOLDER.match(word) or word in ("|", "&"):
            return []
        found = command.commands.get(word.rstrip(":,."))
        if found is None:
            if "/" in word or "|" in word:
                return []
            return [f"{line!r}: no command {word}"]
        command = found
    known = {"--help", "--version"}
    for parameter in command.params:
        known.update(parameter.opts + parameter.secondary_opts)
    flags = {word.partition("=")[0] for word in words if word.startswith("--")}
    return [f"{line!r}: no flag {flag}" for flag in sorted(flags - known)]


if __name__ == "__main__":
    sys.exit(main())
