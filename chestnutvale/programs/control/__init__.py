"""The control: keeps the replicated log and decides on groups."""
