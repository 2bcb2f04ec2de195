"""Open-loop load, experiments with faults, reports and journal checks."""
