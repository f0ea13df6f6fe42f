"""The asynchronous shell: roles of an instance, listeners and links."""
