"""Decides which group runs a request."""
