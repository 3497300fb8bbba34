"""Tickets: a caller's own resends run at most once."""
