"""The node: the process beside each backend server."""
