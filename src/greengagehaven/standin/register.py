"""The stand-in's register: rows of woodland carbon credits, made up by rule."""

import typing

import xxhash

CREDITS_PER_SERVICE = 60
DEFAULT_ROWS = 3
_HOLDERS = 17


def shard_of(credit: str, shard_count: int) -> int:
    """Return the shard that holds a credit."""
    return xxhash.xxh64_intdigest(credit.encode()) % shard_count


def credits_of(service: str, shard: int, shard_count: int) -> list[str]:
    """Return the credits of one shard, in order."""
    names = (f"{service}:{number}" for number in range(CREDITS_PER_SERVICE))
    return [name for name in names if shard_of(name, shard_count) == shard]


def make_row(credit: str, snapshot: int) -> dict[str, typing.Any]:
    """Return a credit as one snapshot of the register shows it."""
    seed = xxhash.xxh64_intdigest(credit.encode())
    return {
        "credit": credit,
        "holder": f"holder-{seed % _HOLDERS}",
        "tonnes": 1 + seed % 40,
        "retired": (seed + snapshot) % 5 == 0,
        "snapshot": snapshot,
    }


def search(
    credits: typing.Sequence[str], query: dict[str, typing.Any], snapshot: int
) -> list[dict[str, typing.Any]]:
    """Return the rows of a shard that a query asks for.

    :param query: ``key`` names one credit, ``holder`` one holder, ``limit`` the
        number of rows; ``reference`` is repeated in every row.
    """
    rows = []
    limit = query.get("limit", DEFAULT_ROWS)
    for credit in credits:
        if "key" in query and query["key"] != credit:
            continue
        row = make_row(credit, snapshot)
        if "holder" in query and query["holder"] != row["holder"]:
            continue
        if "reference" in query:
            row["reference"] = query["reference"]
        rows.append(row)
        if len(rows) >= limit:
            break
    return rows
