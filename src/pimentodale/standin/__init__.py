"""Small stand-ins for the outside systems, with faults that an admin path switches on."""
