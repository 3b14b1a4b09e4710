"""Host membership and the upstream directory, replicated by gossip.

Failure detection follows SWIM (Das, Gupta and Motivala, "SWIM: Scalable
Weakly-consistent Infection-style Process Group Membership Protocol", DSN
2002), with the local health score of Lifeguard (Dadgar, Phillips and Currey,
2018) and the fixed observers of Rapid (Suresh et al., USENIX ATC 2018).
"""
