"""The entry: takes calls and announcements, routes and streams."""
