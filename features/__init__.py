"""Behaviour tests."""
