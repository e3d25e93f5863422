"""Runs the program of this package."""

from wigeondrift.operator.ctl import main

if __name__ == "__main__":
    main()
