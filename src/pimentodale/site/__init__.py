"""What a host knows of its site: configuration, replicas and other hosts."""
