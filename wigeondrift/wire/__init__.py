"""HTTP client and server, and messages between the project's own processes."""
