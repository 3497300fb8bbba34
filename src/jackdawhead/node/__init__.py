"""The long-running role: entry and home in one process."""
