"""Changes of the configuration under running calls: phases times changes."""
