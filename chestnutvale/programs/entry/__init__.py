"""Entry proxy: accepts calls and host announcements, routes calls to groups."""
