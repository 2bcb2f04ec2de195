"""Cluster membership of the entry hosts and replication of small shared state between them."""
