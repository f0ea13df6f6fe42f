"""The asynchronous layer of the proxy: instance roles, listeners and links."""
