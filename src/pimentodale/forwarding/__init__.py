"""Clients' requests, forwarded to replicas of the services that their routes lead to."""
