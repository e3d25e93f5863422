"""Entry point of ``python -m wigeondrift.agent``."""

from wigeondrift.agent.agent import main

if __name__ == "__main__":
    main()
