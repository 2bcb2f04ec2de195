"""Adapter to the users' platform: translates its calls, headers and records, and decides nothing."""
