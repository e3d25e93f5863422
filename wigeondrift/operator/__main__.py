"""Runs ``wigeondriftctl`` as ``python -m wigeondrift.operator``."""

from wigeondrift.operator.ctl import main

if __name__ == "__main__":
    main()
