"""Host membership: announcements, failure detection, views and leases."""
