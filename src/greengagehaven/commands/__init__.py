"""Commands of the command line, one module per group of commands."""
