"""Entry side of a node: accepts callers' requests and dispatches them."""
