"""Local mirror of the store's keys on each host, updated by a watch or through other hosts."""
