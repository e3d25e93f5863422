"""The command line tool ``wigeondriftctl`` and the operations behind it."""
