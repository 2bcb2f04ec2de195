"""Which replica holds which layers, and which replicas a request passes through."""
