"""One caller's call and its attempts at groups of endpoints."""
