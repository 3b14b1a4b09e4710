"""Network I/O: sockets, HTTP/1.1 through h11 and gRPC channels.

Routing and membership decisions are made in ``coordination``, not here.
"""

import os

# gRPC would write its own log to standard error, among the key=value lines. Its
# failures are reported as errors of the calls. The variable is read on import.
os.environ.setdefault("GRPC_VERBOSITY", "NONE")
