"""The HTTP server of both daemons: limits, problem answers, graceful shutdown."""
