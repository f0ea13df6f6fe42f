"""Tests real processes whose listeners all use TLS."""

import asyncio
import ssl

import pytest
import trustme

from bilberrystack import client
from bilberrystack_standins import statements
from system import proxies
from system import site


@pytest.fixture
def authority(tmp_path, monkeypatch):
    """A certificate authority that issued the certificates of the processes."""
    test_authority = trustme.CA()
    certificate = test_authority.issue_cert("127.0.0.1")
    chain = tmp_path / "chain.pem"
    for part in certificate.cert_chain_pems:
        part.write_to_path(chain, append=True)
    certificate.private_key_pem.write_to_path(tmp_path / "key.pem")
    test_authority.cert_pem.write_to_path(tmp_path / "ca.pem")
    monkeypatch.setenv("BILBERRYSTACK_TLS_CERTIFICATE", str(chain))
    monkeypatch.setenv("BILBERRYSTACK_TLS_KEY", str(tmp_path / "key.pem"))
    monkeypatch.setenv("BILBERRYSTACK_TLS_CA", str(tmp_path / "ca.pem"))
    monkeypatch.setenv("BILBERRYSTACK_OPERATOR_CA", str(tmp_path / "ca.pem"))
    return test_authority


def test_callers_peers_and_operators_work_over_tls(tmp_path, authority, monkeypatch):
    """Guards against a listener or a link that ignores the TLS settings or fails with them."""

    async def run():
        async with site.Site(tmp_path) as running_site:
            await running_site.start()
            context = ssl.create_default_context()
            authority.configure_trust(context)
            async with running_site.connect(tls=context) as connected:
                session = await connected.open_session()
                # The group has one owner of rank 0, so most requests are forwarded to a peer.
                for number in range(20):
                    body = statements.append("k", number)
                    outcome = await session.write(site.GROUP, body, timeout_s=20.0)
                    assert isinstance(outcome, client.Answer)
                    session = connected.restore(session.save())
            operators = running_site.proxies["p0"].ready.operators
            assert site.GROUP in await proxies.operate(operators, "status")
            async with running_site.connect() as plain:
                with pytest.raises(client.NoProxy):
                    await plain.open_session(timeout_s=0.5)
            monkeypatch.delenv("BILBERRYSTACK_OPERATOR_CA")
            with pytest.raises(proxies.CommandFailed):
                await proxies.operate(operators, "status")

    asyncio.run(run())


def test_client_rejects_a_certificate_of_another_authority(tmp_path, authority):
    """Guards against a client library that accepts certificates of any authority."""

    async def run():
        async with site.Site(tmp_path) as running_site:
            await running_site.start()
            address = running_site.proxies["p0"].ready.callers
            untrusting_context = ssl.create_default_context()
            trustme.CA().configure_trust(untrusting_context)
            async with client.connect([address], "c", "s", tls=untrusting_context) as connected:
                with pytest.raises(client.NoProxy):
                    await connected.open_session(timeout_s=0.5)

    asyncio.run(run())
