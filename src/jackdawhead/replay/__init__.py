"""Replays a recorded trace through the nodes' decision code in virtual time."""
