"""The programs: entry, control and the operators' client."""
