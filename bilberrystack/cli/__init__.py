"""The command line of daemon and operators."""
