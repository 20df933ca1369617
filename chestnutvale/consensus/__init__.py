"""The replicated log: Raft as a pure object and the task that drives it."""
