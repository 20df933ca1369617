"""Seeded simulation of callers and engines around the real admission and routing."""
