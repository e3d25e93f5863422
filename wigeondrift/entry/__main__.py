"""Entry point of ``python -m wigeondrift.entry``."""

from wigeondrift.entry.main import main

if __name__ == "__main__":
    main()
