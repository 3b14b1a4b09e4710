"""The Raft consensus algorithm as a state machine that performs no I/O.

Sources: D. Ongaro and J. Ousterhout, "In Search of an Understandable Consensus
Algorithm", USENIX ATC 2014; D. Ongaro, "Consensus: Bridging Theory and Practice", PhD
thesis, Stanford 2014 (pre-vote: 9.6, check-quorum and lease reads: 6.2 and 6.4.1,
single-server membership change: 4, snapshots: 5).
"""
