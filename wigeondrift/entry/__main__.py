"""Runs the program of this package."""

from wigeondrift.entry.main import main

if __name__ == "__main__":
    main()
