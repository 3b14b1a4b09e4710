"""Roles of a Raft member."""

import enum


class Role(enum.StrEnum):
    """Role of a member in its current term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"
