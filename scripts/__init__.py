"""Helper scripts for the build and for CI."""
