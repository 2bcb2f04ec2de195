"""Detection and refusal of poison requests: requests that crash the backend servers that run them.

A strike records that a request was running when a backend server crashed. A request with strikes
runs again only in a trial, isolated from other requests with strikes. A convicted request is
refused on every host.
"""
