"""Key-value stores: interfaces, HTTP client and in-memory implementation."""
