"""Runs the decisions in virtual time against a recorded trace."""
