"""Emulated endpoints: engines, a plain service, a weight store and a load tool."""
