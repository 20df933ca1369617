"""Seeded stand-ins that drive the real decision objects."""
