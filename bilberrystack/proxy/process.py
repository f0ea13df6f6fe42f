"""Turns the checked settings into a running process."""

import ssl

from bilberrystack import logs
from bilberrystack import settings
from bilberrystack.proxy import assembly
from bilberrystack.proxy import daemon
from bilberrystack.proxy import operations


def run(checked: settings.Settings) -> int:
    """Runs an instance until a signal ends it.

    Args:
      checked: The settings.
    Returns:
      The exit code. Raises OSError if a listener or a TLS file can't be opened.
    """
    logs.configure(checked.log_level, checked.log_format == "json", _secrets(checked))
    return daemon.run(daemon_settings(checked), assembly.adapters_of(checked.store_url))


def daemon_settings(checked: settings.Settings) -> daemon.DaemonSettings:
    """Returns what the daemon needs of the settings. Raises OSError for unreadable TLS files."""
    previous = checked.token_key_previous
    keys = [checked.token_key] if previous is None else [checked.token_key, previous]
    return daemon.DaemonSettings(
        instance_id=checked.instance_id,
        failure_domain=checked.failure_domain,
        advertised_host=checked.advertised_host,
        callers_host=checked.callers_listen.host,
        callers_port=checked.callers_listen.port,
        peers_host=checked.peers_listen.host,
        peers_port=checked.peers_listen.port,
        token_keys=tuple(key.reveal().encode() for key in keys),
        peer_secret=checked.peer_secret.reveal().encode(),
        server_tls=_server_tls(checked),
        peer_tls=_peer_tls(checked),
        shutdown_grace_s=checked.shutdown_grace_s,
        max_frame_bytes=checked.max_frame_bytes,
        operator_side=operations.OperationsSettings(
            operators_host=checked.operators_listen.host,
            operators_port=checked.operators_listen.port,
            operator_secret=checked.operator_secret.reveal(),
            metrics_host=checked.metrics_listen.host,
            metrics_port=checked.metrics_listen.port,
        ),
    )


def _secrets(checked: settings.Settings) -> list[str]:
    """Returns the texts that must not be logged."""
    values = (getattr(checked, name) for name in checked.__struct_fields__)
    return [value.reveal() for value in values if isinstance(value, settings.Secret)]


def _server_tls(checked: settings.Settings) -> ssl.SSLContext | None:
    if checked.tls_certificate is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(checked.tls_certificate, checked.tls_key)
    return context


def _peer_tls(checked: settings.Settings) -> ssl.SSLContext | None:
    """Peers are addressed by IP number, so certificates are checked, names are not."""
    if checked.tls_certificate is None:
        return None
    context = ssl.create_default_context(cafile=checked.tls_ca)
    context.check_hostname = False
    return context
