"""Orders to engines: one steward for each failure domain, by lease, with a fencing number."""
