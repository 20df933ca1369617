"""Settings files: JSON with comments, checked against the schema."""
