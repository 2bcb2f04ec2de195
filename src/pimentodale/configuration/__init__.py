"""The operators' folder: files checked alone, merged in the order of their names, and followed."""
