"""Measurements of the decision objects; run each module with ``python -m``."""
