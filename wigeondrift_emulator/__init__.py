"""Emulator of the systems that wigeondrift serves and depends on."""
