"""Emulators of the systems that wigeondrift routes to and depends on."""
