"""Passes calls of an entry that reaches no endpoint on to other entries."""
