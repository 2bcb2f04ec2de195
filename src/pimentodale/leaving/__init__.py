"""Draining: leaving backend servers get no new work, and a host shuts down gracefully."""
