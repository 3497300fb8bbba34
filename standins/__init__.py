"""Small stand-ins for the systems around jackdawhead, for tests only."""
