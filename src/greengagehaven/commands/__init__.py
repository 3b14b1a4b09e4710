"""Groups of commands of the command line; each module has one."""
