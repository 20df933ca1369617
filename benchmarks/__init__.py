"""Measurements of decisions; run with ``python -m benchmarks.NAME``."""
