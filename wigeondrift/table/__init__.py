"""The operators' table: its types, checks and the state made from it."""
