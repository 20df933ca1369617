"""Tests of the rate limits that endpoints name."""
