"""Emulated engines, services, callers and deployments for tests and benchmarks."""
