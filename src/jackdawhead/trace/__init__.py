"""Recorded arrivals and outcomes."""
