"""Router process: I/O around the decision logic in ``wigeondrift.systems``."""
