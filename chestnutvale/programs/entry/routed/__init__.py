"""Calls that callers address by host name and path, passed on to endpoints."""
