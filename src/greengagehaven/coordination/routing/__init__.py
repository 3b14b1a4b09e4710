"""Requests passed on as bytes to one upstream, or to one of each shard."""
