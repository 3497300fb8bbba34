"""Helpers of the build and of CI."""
