"""The asynchronous part of the session mode: client sessions over pooled connections to members."""
