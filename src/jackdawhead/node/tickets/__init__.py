"""Tickets: a request that a caller resends runs at most once."""
