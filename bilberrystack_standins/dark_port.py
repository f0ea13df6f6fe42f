"""A port that answers no attempt to connect, like that of a machine that is off the network."""

import contextlib
import socket

# Linux drops the SYN of a connection for which a listening socket has no room. With a backlog of 0
# there is room for one.
_FILLING_CONNECTIONS = 2


class DarkPort:
    """Holds a loopback port on which attempts to connect wait without an answer."""

    def __init__(self, port: int) -> None:
        """Binds the port, which has no other listener now.

        Args:
          port: The port.
        """
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind(("127.0.0.1", port))
        self._listener.listen(0)
        self._filling = [socket.socket() for _ in range(_FILLING_CONNECTIONS)]
        for connection in self._filling:
            connection.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                connection.connect(("127.0.0.1", port))

    def close(self) -> None:
        """Releases the port. Attempts that still wait try again by themselves."""
        for connection in self._filling:
            connection.close()
        self._listener.close()
