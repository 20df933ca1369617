"""The replicated log: a sans-I/O Raft object and the task that drives it."""
