"""Decision logic without I/O: functions and state machines driven by time and events."""
