"""The entry host's program: wires the slices together."""
