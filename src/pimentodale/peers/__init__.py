"""Membership of the entry hosts, and the small state that they spread among themselves."""
