"""Durable state of a control under one data folder."""
