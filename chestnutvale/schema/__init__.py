"""Generated message classes; the schema folder at the root is their source."""
