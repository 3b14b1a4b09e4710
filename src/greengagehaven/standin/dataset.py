"""Data set of the stand-in: generated rows of woodland carbon credits.

Rows are computed from hashes, so that any process can tell which rows an answer
must hold.
"""

import typing

import xxhash

CREDITS_PER_SERVICE = 60
_DEFAULT_LIMIT = 3
_HOLDER_COUNT = 17


def shard_of(credit: str, shard_count: int) -> int:
    """Return the number of the shard that holds a credit."""
    return xxhash.xxh64_intdigest(credit.encode()) % shard_count


def credits_of(service: str, shard: int, shard_count: int) -> list[str]:
    """Return the names of the credits of one shard in order."""
    names = (f"{service}:{number}" for number in range(CREDITS_PER_SERVICE))
    return [name for name in names if shard_of(name, shard_count) == shard]


def make_row(credit: str, snapshot: int) -> dict[str, typing.Any]:
    """Return the row of a credit in one snapshot."""
    digest = xxhash.xxh64_intdigest(credit.encode())
    return {
        "credit": credit,
        "holder": f"holder-{digest % _HOLDER_COUNT}",
        "tonnes": 1 + digest % 40,
        "retired": (digest + snapshot) % 5 == 0,
        "snapshot": snapshot,
    }


def find_rows(
    credits: typing.Sequence[str], query: dict[str, typing.Any], snapshot: int
) -> list[dict[str, typing.Any]]:
    """Return the rows that match a query.

    :param credits: credits of the shard, in order.
    :param query: ``key`` selects one credit, ``holder`` one holder, ``limit`` is the
        maximum number of rows; ``reference`` is copied to every row.
    :param snapshot: snapshot to read.
    """
    rows = []
    limit = query.get("limit", _DEFAULT_LIMIT)
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
