"""The product's real processes beside the stand-ins: the demonstration and the process tests."""
