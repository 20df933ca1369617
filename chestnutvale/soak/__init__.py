"""Soak test: planned work and pausing endpoints under callers, with real processes."""
