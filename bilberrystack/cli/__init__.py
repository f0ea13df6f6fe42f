"""Command line of the proxy and of its operators."""
