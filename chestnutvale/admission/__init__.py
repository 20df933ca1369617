"""Decides which requests may run now, which wait and which are refused."""
