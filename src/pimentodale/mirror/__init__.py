"""A copy of the store's keys on each host, kept by a watch or through other hosts."""
