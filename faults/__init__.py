"""Fault-injection tests: fakes of the proxy's interfaces, history checkers and the fault matrix."""
