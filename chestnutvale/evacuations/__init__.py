"""Evacuation of data centres on the order of an operator."""
