"""HTTP both ways, messages between the project's own processes, and links."""
