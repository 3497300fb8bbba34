"""Decisions as pure state machines: clock and random source are passed in."""
