"""Home side of a node: owns the slots of the upstreams that it serves."""
