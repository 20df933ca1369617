"""Logging, metrics and dumps of the state of a process."""
