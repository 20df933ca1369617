"""Claims and recorded answers of calls that may not be repeated."""
