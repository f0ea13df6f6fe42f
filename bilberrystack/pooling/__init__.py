"""The session mode's asynchronous shell: client sessions over pooled connections to members."""
