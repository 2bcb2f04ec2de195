"""Clients of the outside systems: one small module for each published protocol."""
