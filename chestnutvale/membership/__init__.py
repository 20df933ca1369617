"""What is known of hosts: announcements, freshness, views and leases."""
