"""Query tier that fans searches out over many shards and merges the answers.

>>> answer = await greengagehaven.search(
...     "http://127.0.0.1:8080", ["credits-0"], "sweep", key="demo-key"
... )
"""

import typing

if typing.TYPE_CHECKING:
    from greengagehaven.client import Session
    from greengagehaven.client import run_search as search
    from greengagehaven.exceptions import GreengagehavenError, RequestError

__all__ = ["GreengagehavenError", "RequestError", "Session", "search"]
__version__ = "0.1.0"


def __getattr__(name: str) -> typing.Any:
    # Loaded on first use: daemons don't need the client, and importing it would
    # add 2 MB to each process.
    if name in ("Session", "search"):
        from greengagehaven import client

        return client.Session if name == "Session" else client.run_search
    if name in ("GreengagehavenError", "RequestError"):
        from greengagehaven import exceptions

        return getattr(exceptions, name)
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
