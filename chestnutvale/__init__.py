"""Serve models that span several hosts, with durable state of its own."""

import warnings

# The users chose eventlet; its advice against itself would open every log.
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")
