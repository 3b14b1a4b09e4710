"""Sockets, HTTP by h11 and gRPC channels; no decision is taken here."""
