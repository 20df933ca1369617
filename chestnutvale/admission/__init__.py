"""Admission control: admits, queues or refuses requests at an entry proxy."""
