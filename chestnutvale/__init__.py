"""Serve models that span several hosts, with replicated, durable state."""

import warnings

# The users chose eventlet; its deprecation warning would otherwise be the first line of
# every log.
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")
