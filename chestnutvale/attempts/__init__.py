"""Calls, their attempts at groups or endpoints, and retries after failures."""
