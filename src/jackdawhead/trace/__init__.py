"""Traces: recorded arrivals and outcomes of requests, for replay."""
