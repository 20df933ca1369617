"""Groups of hosts: replicated state, assembly, repair and orders."""
