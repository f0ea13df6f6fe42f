"""A member whose answers a test controls: it can send more data than its answers."""

import asyncio
import collections

from bilberrystack.platform import wire
from bilberrystack.pooling import group
from bilberrystack.pooling import tasks
from bilberrystack.routing import model
from bilberrystack.routing import permission

SERVICE = model.Service("store", 23, 0)


class ScriptedMember:
    """A member that keeps a transaction state per connection and answers each statement.

    Attributes:
      received: Connection number and text of each query, in the order of arrival.
      states: State of the connection before each received query.
      committed: Ids of the requests that committed writes.
      errors: Errors by the first word of a statement, with which the next ones are rejected;
        one for which there is an empty text is not rejected.
      data_before: Data by the first word of a statement, each sent before the answer to one.
      data_after: The same, sent together with the answer, behind it.
      held: Events by the first word of a statement, for which its answers wait. The data in
        `data_before` are sent at once.
      start_data: Data that follow the answer to START.
      row_text: Text of the row that a read returns; empty for one that names the request.
      role_and_term: The role and the term in its status reports.
      received_position: The received position in its status reports; empty for that in its answers.
    """

    def __init__(self) -> None:
        self.received: list[tuple[int, str]] = []
        self.states: list[str] = []
        self.committed: list[str] = []
        self.errors: dict[str, list[str]] = collections.defaultdict(list)
        self.data_before: dict[str, list[bytes]] = collections.defaultdict(list)
        self.data_after: dict[str, list[bytes]] = collections.defaultdict(list)
        self.held: dict[str, asyncio.Event] = {}
        self.start_data = b""
        self.row_text = ""
        self.role_and_term = "primary 1"
        self.received_position = ""
        self._connections = 0
        self._position = 1
        self._writers: list[asyncio.StreamWriter] = []
        self._server: asyncio.Server | None = None

    async def start(self) -> int:
        """Starts listening and returns the port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    async def close(self) -> None:
        """Closes the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.close()
            await asyncio.gather(writer.wait_closed(), return_exceptions=True)

    def texts(self) -> list[str]:
        """Returns the texts of the received queries."""
        return [text for _, text in self.received]

    def send(self, data: bytes) -> None:
        """Sends data on all connections that are open."""
        for writer in self._writers:
            if not writer.is_closing():
                writer.write(data)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections += 1
        self._writers.append(writer)
        number, state = self._connections, "I"
        writes: list[str] = []
        await reader.readline()
        writer.write(b"READY I 1.1\r\n" + self.start_data)
        while line := (await reader.readline()).decode().strip():
            _, request_id, text = line.split(" ", 2)
            self.received.append((number, text))
            self.states.append(state)
            word = text.split(" ")[0]
            error = self.errors[word].pop(0) if self.errors[word] else ""
            if error:
                result = f"ERR {error}"
            else:
                result, state = self._run(word, request_id, state, writes)
            data = answer = f"{result}\r\nREADY {state} 1.{self._position}\r\n".encode()
            if self.data_before[word]:
                data = self.data_before[word].pop(0) + data
            if word in self.held:
                before, data = data[: -len(answer)], answer
                writer.write(before)
                await self.held[word].wait()
            if self.data_after[word]:
                data += self.data_after[word].pop(0)
            writer.write(data)
        writer.close()

    def _run(self, word: str, request_id: str, state: str, writes: list[str]) -> tuple[str, str]:
        """Runs a statement and returns its result and the new state."""
        match word:
            case "BEGIN":
                return "DONE -", "T"
            case "ROLLBACK":
                writes.clear()
                return "DONE -", "I"
            case "COMMIT":
                self.committed += writes
                writes.clear()
                return f"DONE proof-{request_id}", "I"
            case "READ":
                row = self.row_text or f"row-{request_id}"
                return f"ROW {row}\r\nDONE proof-{request_id}", state
            case "WRITE":
                self._position += 1
                (self.committed if state == "I" else writes).append(request_id)
                return f"DONE proof-{request_id}", state
            case "STATUS" | "HOLD" | "DEMOTE" | "RESUME":
                received = self.received_position or f"1.{self._position}"
                return f"ROW {self.role_and_term} {received} 0 0 0 1\r\nDONE -", state
            case _:
                return "DONE -", state


def open_group(port: int, background_tasks: tasks.Tasks) -> group.Group:
    """Returns a group whose only member "a" is the granted primary and listens at a port."""
    clock = asyncio.get_running_loop().time
    served = group.Group(
        service=SERVICE,
        failure_domain="zone",
        instance_name="proxy",
        dialect=wire,
        clock=clock,
        background_tasks=background_tasks,
    )
    endpoint = model.Endpoint("127.0.0.1", port)
    member = model.Member("a", SERVICE.name, endpoint, "zone", 3, False, None, 1)
    served.update(SERVICE, [member], frozenset())
    served.permission.grant(permission.Leader("a", 1), clock() + 1e6, (1, 0))
    return served
