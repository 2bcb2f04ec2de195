"""Adapter to the users' platform: translates calls, headers and records without decision logic."""
