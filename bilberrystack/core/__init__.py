"""Decisions without input or output: functions and state machines over time and events."""
