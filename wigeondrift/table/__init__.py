"""The operators' table: types, checks and the state of a process."""
