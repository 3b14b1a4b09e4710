"""A query tier over many shards: prompt, complete and single answers.

>>> answer = await greengagehaven.search(
...     "http://127.0.0.1:8080", ["credits-0"], "sweep", key="demo-key"
... )
"""

from greengagehaven.client import Session
from greengagehaven.client import run_search as search
from greengagehaven.exceptions import GreengagehavenError, RequestError

__all__ = ["GreengagehavenError", "RequestError", "Session", "search"]
__version__ = "0.1.0"
