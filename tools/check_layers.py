"""Check that imports respect the layers and import modules, not names.

Layers: daemons -> transport -> coordination -> state -> protocol. If a lower layer
imported a higher one, its decisions would depend on I/O, and the same code could
no longer run in replays.
"""

import ast
import pathlib
import sys

PACKAGE = "greengagehaven"
RANKS_BY_LAYER = {
    "protocol": 0,
    "state": 1,
    "coordination": 2,
    "transport": 3,
    "standin": 4,
    "daemons": 4,
    "replay": 4,
}
TOP_RANK = 5
# Importable from every layer.
SHARED_MODULES = frozenset({"exceptions", "clock", "rng", "settings", "log"})
CORE_LAYERS = frozenset({"protocol", "state", "coordination"})
FORBIDDEN_IN_CORE = {
    "coordination": frozenset({"asyncio", "socket", "grpc", "h11", "time", "threading"})
}
NAME_IMPORTS_ALLOWED = frozenset({("loguru", "logger")})


def main() -> int:
    """Print every violation; return 1 if there are any, otherwise 0."""
    root = pathlib.Path(__file__).parent.parent / "src"
    violations = [
        violation
        for path in sorted((root / PACKAGE).rglob("*.py"))
        for violation in check_file(root, path)
    ]
    for violation in violations:
        print(violation)
    return min(len(violations), 1)


def check_file(root: pathlib.Path, path: pathlib.Path) -> list[str]:
    """Return the violations in one source file."""
    module = path.relative_to(root).with_suffix("").parts
    tree = ast.parse(path.read_text(encoding="utf-8"))
    violations = []
    for node in ast.walk(tree):
        for target in imported_modules(root, node):
            reason = find_violation(module, target)
            if reason:
                violations.append(f"{path}:{node.lineno}: {reason}")
        violations.extend(check_imported_names(root, path, node))
    return violations


def imported_modules(root: pathlib.Path, node: ast.AST) -> list[tuple[str, ...]]:
    """Return the modules that a statement imports, each as a tuple of name parts."""
    if isinstance(node, ast.Import):
        return [tuple(alias.name.split(".")) for alias in node.names]
    if isinstance(node, ast.ImportFrom) and node.module:
        base = tuple(node.module.split("."))
        return [
            (*base, alias.name) if is_module(root, (*base, alias.name)) else base
            for alias in node.names
        ]
    return []


def find_violation(module: tuple[str, ...], target: tuple[str, ...]) -> str | None:
    """Return why ``module`` must not import ``target``, or ``None`` if it may."""
    layer = module[1] if len(module) > 2 else None
    if target[0] != PACKAGE:
        if target[0] in FORBIDDEN_IN_CORE.get(layer or "", frozenset()):
            return f"layer {layer} must not import {target[0]}"
        return None
    imported = target[1] if len(target) > 1 else ""
    if imported in SHARED_MODULES or imported == "":
        return None
    if rank_of(imported) > rank_of(layer):
        return f"layer {layer} must not import {'.'.join(target)}"
    return None


def rank_of(layer: str | None) -> int:
    """Return the rank of a layer; modules outside all layers rank highest."""
    return RANKS_BY_LAYER.get(layer or "", TOP_RANK)


def check_imported_names(
    root: pathlib.Path, path: pathlib.Path, node: ast.AST
) -> list[str]:
    """Return a violation for each imported name that is not a module."""
    if not isinstance(node, ast.ImportFrom) or node.module is None:
        return []
    if path.name == "__init__.py" and path.parent.name == PACKAGE:
        return []
    base = tuple(node.module.split("."))
    return [
        f"{path}:{node.lineno}: imports the name {alias.name}, not a module"
        for alias in node.names
        if (node.module, alias.name) not in NAME_IMPORTS_ALLOWED
        and not is_module(root, (*base, alias.name))
    ]


def is_module(root: pathlib.Path, parts: tuple[str, ...]) -> bool:
    """Return whether the parts name a module of the project or an installed one."""
    if parts[0] == PACKAGE:
        path = root.joinpath(*parts)
        return path.is_dir() or path.with_suffix(".py").exists()
    try:
        __import__(".".join(parts))
    except ImportError:
        return False
    return True


if __name__ == "__main__":
    sys.exit(main())
