"""Groups of hosts that serve models: replicated state, planning and orders."""
