"""Logs, metrics and the dump of a process's state."""
