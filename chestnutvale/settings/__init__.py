"""Settings files: JSON with comments, validated against the schema."""
