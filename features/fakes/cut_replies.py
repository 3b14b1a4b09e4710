"""Upstreams whose replies are cut."""

import asyncio
import socket
import struct

RESET_PAUSE_S = 0.02


def reset(writer):
    """Reset a connection instead of closing it."""
    sock = writer.get_extra_info("socket")
    linger = struct.pack("ii", 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


async def end(writer, how):
    """Send what was written, then end the connection.

    :param how: ``closed`` or ``reset``.
    """
    await writer.drain()
    if how == "reset":
        # Otherwise the peer may be told of the reset before it has read the data.
        await asyncio.sleep(RESET_PAUSE_S)
        reset(writer)
    writer.close()


def regions(reply):
    """Return the first byte of the headers and of the body of a reply."""
    return reply.index(b"\r\n") + 2, reply.index(b"\r\n\r\n") + 4


def region_of(reply, size):
    """Return in which part of a reply a cut after ``size`` bytes lies."""
    headers_at, body_at = regions(reply)
    if size < headers_at:
        return "status line"
    return "headers" if size < body_at else "body"


async def serve(answer):
    """Start a server that calls ``answer(head, writer)`` for each request.

    It returns whether the connection goes on.
    """

    async def serve_connection(reader, writer):
        try:
            while await answer(await reader.readuntil(b"\r\n\r\n"), writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve_connection, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()[:2]
    return server, f"{host}:{port}"


def header(head, name):
    """Return the value of a header in the bytes of a request head."""
    for line in head.decode("latin-1").split("\r\n")[1:]:
        key, _, value = line.partition(":")
        if key.lower() == name.lower():
            return value.strip()
    return ""
