"""Decisions about statements that wait for a member, without input or output."""
