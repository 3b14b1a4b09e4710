"""Routing of opaque requests to one upstream, or to one upstream of each shard."""
