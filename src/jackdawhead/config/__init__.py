"""Loads and validates the operators' configuration and the node settings."""
