"""The programs: entry and control daemons, and the operators' client."""
