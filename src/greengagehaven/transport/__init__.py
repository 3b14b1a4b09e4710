"""Sockets, HTTP by h11 and gRPC channels; no decision is taken here."""

import os

# gRPC writes to standard error by itself, among the key=value lines. What it
# has to say comes back as errors of the calls; it reads this when imported.
os.environ.setdefault("GRPC_VERBOSITY", "NONE")
