"""Key-value store: contract, HTTP client, in-memory form."""
