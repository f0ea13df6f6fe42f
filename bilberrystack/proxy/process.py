"""Start of an instance's process from validated settings."""

import ssl

from bilberrystack import logs
from bilberrystack import settings
from bilberrystack.proxy import assembly
from bilberrystack.proxy import daemon
from bilberrystack.proxy import operations


def run(validated: settings.Settings) -> int:
    """Run an instance until it receives a signal.

    Args:
      validated: The validated settings.
    Returns:
      The exit code.
    Raises:
      OSError: A listener or a TLS file can't be opened.
    """
    logs.configure(validated.log_level, validated.log_format == "json", _secrets(validated))
    return daemon.run(daemon_settings(validated), assembly.adapter_opener(validated.store_url))


def daemon_settings(validated: settings.Settings) -> daemon.DaemonSettings:
    """Return the daemon's settings.

    Args:
      validated: The validated settings.
    Raises:
      OSError: A TLS file can't be read.
    """
    previous = validated.token_key_previous
    keys = [validated.token_key] if previous is None else [validated.token_key, previous]
    return daemon.DaemonSettings(
        instance_id=validated.instance_id,
        failure_domain=validated.failure_domain,
        advertised_host=validated.advertised_host,
        callers_host=validated.callers_listen.host,
        callers_port=validated.callers_listen.port,
        peers_host=validated.peers_listen.host,
        peers_port=validated.peers_listen.port,
        token_keys=tuple(key.reveal().encode() for key in keys),
        peer_secret=validated.peer_secret.reveal().encode(),
        server_tls=_server_tls(validated),
        peer_tls=_peer_tls(validated),
        shutdown_grace_s=validated.shutdown_grace_s,
        max_frame_bytes=validated.max_frame_bytes,
        operations_settings=operations.OperationsSettings(
            operators_host=validated.operators_listen.host,
            operators_port=validated.operators_listen.port,
            operator_secret=validated.operator_secret.reveal(),
            metrics_host=validated.metrics_listen.host,
            metrics_port=validated.metrics_listen.port,
        ),
    )


def _secrets(validated: settings.Settings) -> list[str]:
    """Return the values that must not appear in logs."""
    values = (getattr(validated, name) for name in validated.__struct_fields__)
    return [value.reveal() for value in values if isinstance(value, settings.Secret)]


def _server_tls(validated: settings.Settings) -> ssl.SSLContext | None:
    if validated.tls_certificate is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(validated.tls_certificate, validated.tls_key)
    return context


def _peer_tls(validated: settings.Settings) -> ssl.SSLContext | None:
    """Return the TLS context of links to peers; None for plain TCP.

    Certificates are verified, but host names are not, as peers are addressed by IP address.
    """
    if validated.tls_certificate is None:
        return None
    context = ssl.create_default_context(cafile=validated.tls_ca)
    context.check_hostname = False
    return context
