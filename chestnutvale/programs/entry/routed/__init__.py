"""Calls that are routed to endpoints by their host name and path."""
