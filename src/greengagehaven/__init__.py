"""A query tier over many shards: prompt, complete and single answers."""

__version__ = "0.1.0"
