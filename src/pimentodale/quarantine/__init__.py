"""Requests that crash backend servers: strikes, trials and convictions."""
