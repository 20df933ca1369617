"""Limits on request rates that endpoints name for all entries together."""
