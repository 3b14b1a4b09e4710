"""What a member does in its term."""

import enum


class Role(enum.StrEnum):
    """A member's role."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"
