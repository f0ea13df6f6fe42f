"""Thrift over framed asyncio connections."""
