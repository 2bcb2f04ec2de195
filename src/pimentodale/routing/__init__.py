"""Routing: plans routes over the backend servers and picks one for each request."""
