"""Scenarios and their steps."""
