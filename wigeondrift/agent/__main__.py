"""Runs the program of this package."""

from wigeondrift.agent.agent import main

if __name__ == "__main__":
    main()
