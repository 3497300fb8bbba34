"""Streams of msgpack messages between nodes."""
