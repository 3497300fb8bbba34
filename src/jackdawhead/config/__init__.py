"""Loading, checking and typed form of the operators' configuration."""
