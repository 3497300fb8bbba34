"""The entry side: takes callers' requests and dispatches them."""
