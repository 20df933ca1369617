"""Load-balancing policies, which choose among the groups that may run a request."""
