"""Forwarding of client requests to replicas of the services that their routes select."""
