"""Thrift RPC over framed asyncio connections."""
