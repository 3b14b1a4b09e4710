"""Generate the tables of settings in docs/CONFIGURATION.md from the commands.

python tools/write_settings.py           rewrite the tables
python tools/write_settings.py --check   fail if the page is out of date
"""

import pathlib
import sys
import typing

import click

from greengagehaven import cli

PAGE = pathlib.Path(__file__).parent.parent / "docs/CONFIGURATION.md"
BEGIN_MARKER = "<!-- settings begin: python tools/write_settings.py -->"
END_MARKER = "<!-- settings end -->"
VARIABLE_PREFIX = "GREENGAGEHAVEN"


def main(arguments: list[str]) -> int:
    """Rewrite the tables, or with ``--check`` compare them with the page."""
    page = PAGE.read_text(encoding="utf-8")
    start, end = page.index(BEGIN_MARKER), page.index(END_MARKER) + len(END_MARKER)
    tables = "\n".join(render(cli.greengagehaven, ()))
    text = f"{BEGIN_MARKER}\n\n{tables}\n{END_MARKER}"
    if arguments == ["--check"]:
        if page[start:end] == text:
            return 0
        print(
            f"{PAGE.name}: settings are out of date, run python tools/write_settings.py"
        )
        return 1
    PAGE.write_text(page[:start] + text + page[end:], encoding="utf-8")
    return 0


def render(command: click.Command, path: tuple[str, ...]) -> typing.Iterator[str]:
    """Yield the Markdown lines of a command, or of each command of a group."""
    if isinstance(command, click.Group):
        for name in sorted(command.commands):
            yield from render(command.commands[name], (*path, name))
        return
    yield f"### `greengagehaven {' '.join(path)}`\n"
    yield f"{command.get_short_help_str(limit=200)}\n"
    options = [each for each in command.params if isinstance(each, click.Option)]
    if not options:
        return
    yield "| flag | environment variable | default | meaning |"
    yield "|---|---|---|---|"
    for option in options:
        yield render_option(option, path)
    yield ""


def render_option(option: click.Option, path: tuple[str, ...]) -> str:
    """Return the table row of one option."""
    flag = max(option.opts, key=len)
    parts = (VARIABLE_PREFIX, *path, option.name or "")
    variable = "_".join(parts).upper().replace("-", "_")
    meaning = (option.help or "").replace("|", "\\|")
    return f"| `{flag}` | `{variable}` | {render_default(option)} | {meaning} |"


def render_default(option: click.Option) -> str:
    """Return the default as it would be typed, or an empty string without one."""
    if option.required:
        return "required"
    default = option.default
    if isinstance(default, tuple):
        default = ", ".join(map(str, default))
    is_set = isinstance(default, str | int | float) and default not in ("", False)
    return f"`{default}`" if is_set else ""


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
