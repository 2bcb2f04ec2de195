"""What the steps share: starting programs, calling them, reading journals."""
