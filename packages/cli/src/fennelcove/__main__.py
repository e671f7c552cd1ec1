"""Runs the command line: python -m fennelcove."""

from fennelcove.cli.main import main

if __name__ == "__main__":
    main()
