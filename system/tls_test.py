"""Tests of real processes whose listeners all use TLS."""

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
    """A test authority; the processes' certificates come from it."""
    issued = trustme.CA()
    certificate = issued.issue_cert("127.0.0.1")
    chain = tmp_path / "chain.pem"
    for part in certificate.cert_chain_pems:
        part.write_to_path(chain, append=True)
    certificate.private_key_pem.write_to_path(tmp_path / "key.pem")
    issued.cert_pem.write_to_path(tmp_path / "ca.pem")
    monkeypatch.setenv("BILBERRYSTACK_TLS_CERTIFICATE", str(chain))
    monkeypatch.setenv("BILBERRYSTACK_TLS_KEY", str(tmp_path / "key.pem"))
    monkeypatch.setenv("BILBERRYSTACK_TLS_CA", str(tmp_path / "ca.pem"))
    monkeypatch.setenv("BILBERRYSTACK_OPERATOR_CA", str(tmp_path / "ca.pem"))
    return issued


def test_callers_peers_and_operators_work_over_tls(tmp_path, authority, monkeypatch):
    """Guards against a listener or a link that ignores the TLS settings or can't use them."""

    async def run():
        async with site.Site(tmp_path) as where:
            await where.start()
            context = ssl.create_default_context()
            authority.configure_trust(context)
            async with where.connect(tls=context) as connected:
                session = await connected.open_session()
                # The group has one owner of rank 0, so most requests cross a link between peers.
                for number in range(20):
                    body = statements.append("k", number)
                    written = await session.write(site.GROUP, body, timeout_s=20.0)
                    assert isinstance(written, client.Answer)
                    session = connected.restore(session.save())
            operators = where.proxies["p0"].ready.operators
            assert site.GROUP in await proxies.operate(operators, "status")
            async with where.connect() as plain:
                with pytest.raises(client.NoProxy):
                    await plain.open_session(timeout_s=0.5)
            monkeypatch.delenv("BILBERRYSTACK_OPERATOR_CA")
            with pytest.raises(proxies.CommandFailed):
                await proxies.operate(operators, "status")

    asyncio.run(run())


def test_client_rejects_a_certificate_of_another_authority(tmp_path, authority):
    """Guards against a client library that accepts any certificate."""

    async def run():
        async with site.Site(tmp_path) as where:
            await where.start()
            address = where.proxies["p0"].ready.callers
            stranger = ssl.create_default_context()
            trustme.CA().configure_trust(stranger)
            async with client.connect([address], "c", "s", tls=stranger) as connected:
                with pytest.raises(client.NoProxy):
                    await connected.open_session(timeout_s=0.5)

    asyncio.run(run())
