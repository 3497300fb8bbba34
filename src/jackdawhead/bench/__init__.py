"""Load generator, and measurement of the resource usage of running nodes."""
