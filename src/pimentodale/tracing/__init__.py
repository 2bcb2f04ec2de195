"""Traces: a span for each hop and each decision, kept in memory and read by request id."""
