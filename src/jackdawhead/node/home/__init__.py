"""The home side: owns the slots of the upstreams that a node serves."""
