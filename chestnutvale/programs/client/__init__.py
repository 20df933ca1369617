"""The operators' client."""
