"""The outside systems, one module for each, so that another protocol replaces one file."""
