"""Load generator and measurement of running processes."""
