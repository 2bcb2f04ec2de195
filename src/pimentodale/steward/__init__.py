"""Stewards: one leader-elected controller per failure domain sends fenced orders to engines."""
