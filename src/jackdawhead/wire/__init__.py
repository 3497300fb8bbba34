"""Protocol between nodes: streams of msgpack messages."""
