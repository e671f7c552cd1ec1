"""TLS certificates and access tokens: their commands, TLS on both listeners, and replacement at run time."""

from __future__ import annotations

import random
import ssl
import tempfile
import threading
from datetime import UTC, datetime, timedelta
from pathlib import Path

import httpx
from click.testing import CliRunner
from fennelcove.cli.main import main
from fennelcove.core.retry_storm_guard import keyed_mac
from fennelcove.daemon import certificates, key_file
from fennelcove.decisions.clients import access_tokens
from fennelcove.decisions.clients.access_tokens import AccessToken, Permission, PresentedToken, TokenStatus
from fennelcove.emulators.websocket_client import WebSocketClient
from fennelcove.ingress.tls import TlsError, TlsKeys
from fennelcove.settings.schema import TlsSettings

from tests.front_case import FrontTestCase, wait_for

NAMES = ("localhost", "127.0.0.1")


class TlsTest(FrontTestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name
        certificates.make(self.folder, NAMES, datetime.now(UTC), timedelta(days=2))
        here = Path(self.folder)
        self.tls = TlsSettings(certificate=str(here / "certificate.pem"), key=str(here / "key.pem"))
        self.start_system(tls=self.tls)

    def context(self) -> ssl.SSLContext:
        return ssl.create_default_context(cafile=self.tls.certificate)

    def connect(self) -> WebSocketClient:
        player = WebSocketClient(
            self.front.http_server.address, self.clock, random.Random(1), context=self.context()
        )
        self.addCleanup(player.close)
        assert player.next_of_type("welcome")["front"] == "front-t"
        return player

    def set_up(self, client: httpx.Client) -> int:
        body = {"room_type": "free", "title": "t1"}
        url = f"https://{self.front.http_server.address}/v1/subscriptions"
        return client.post(url, json=body, timeout=10).status_code

    def test_a_certificate_is_replaced_for_both_listeners(self) -> None:
        with httpx.Client(verify=self.context()) as before:
            assert self.set_up(before) == 201
            socket = self.connect()
            old = certificates.read(self.folder).fingerprint
            certificates.make(self.folder, NAMES, datetime.now(UTC), timedelta(days=2))
            wait_for(
                lambda: self.front.tls is not None
                and not self.front.tls.check()
                and self.is_replacement_loaded(),
                "the new key pair",
            )
            assert self.set_up(before) == 201, "an open connection keeps its certificate"
            reply = socket.ask("set-up", ask={"room_type": "free", "title": "t1"})
            assert reply["type"] == "playing"
            with httpx.Client(verify=self.context()) as after:
                assert self.set_up(after) == 201
            assert certificates.read(self.folder).fingerprint != old

    def is_replacement_loaded(self) -> bool:
        tls = self.front.tls
        return tls is not None and tls.loaded_stamp == tls._file_stamp()

    def test_handshakes_succeed_while_certificates_change(self) -> None:
        failed: list[str] = []
        done = threading.Event()

        def ask() -> None:
            while not done.is_set():
                context = ssl.create_default_context()
                context.check_hostname, context.verify_mode = False, ssl.CERT_NONE
                try:
                    with httpx.Client(verify=context) as client:
                        if self.set_up(client) not in (201, 503):
                            failed.append("status")
                except httpx.HTTPError as error:
                    failed.append(repr(error))

        threads = [threading.Thread(target=ask) for _ in range(3)]
        for thread in threads:
            thread.start()
        for _ in range(5):
            certificates.make(self.folder, NAMES, datetime.now(UTC), timedelta(days=2))
            assert self.front.tls is not None
            self.front.tls.check()
        done.set()
        for thread in threads:
            thread.join()
        assert failed == []

    def test_an_invalid_key_pair_leaves_the_previous_one(self) -> None:
        events: list[str] = []
        tls = TlsKeys(self.tls, lambda event, **fields: events.append(event))
        previous = tls.context
        Path(self.tls.key).write_text("no key")
        assert not tls.check()
        assert (events, tls.context) == (["certificate_refused"], previous)
        with self.assertRaises(TlsError) as caught:
            TlsKeys(self.tls, lambda event, **fields: None)
        assert "fennelcove keys new" in str(caught.exception)

    def test_a_connection_without_a_handshake_is_closed(self) -> None:
        player = self.new_client()
        with self.assertRaises(Exception):  # noqa: B017 - plain HTTP on a TLS port: reset or garbage
            player.ask("GET", "/v1/status", [], b"", 5.0)
        wait_for(lambda: self.front.core.admission_controller.connections == 0, "the connection to close")


class KeysCommandTest(FrontTestCase):
    def run_command(self, *arguments: str) -> tuple[int, str]:
        result = CliRunner().invoke(main, ["keys", *arguments])
        return result.exit_code, result.output

    def test_certificates_and_tokens_by_command(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            folder_path = str(Path(folder) / "tls")
            assert self.run_command("list", folder_path)[0] == 2
            assert (
                self.run_command("new", folder_path, "--name", "front-1.example", "--name", "127.0.0.1")[0]
                == 0
            )
            assert self.run_command("new", folder_path)[0] == 2
            status, text = self.run_command("list", folder_path)
            assert status == 0
            assert "names: front-1.example, 127.0.0.1" in text
            assert self.run_command("rotate", folder_path)[0] == 0
            assert self.run_command("list", folder_path)[1] != text
            Path(folder_path, "key.pem").write_bytes(Path(folder_path, "key.pem").read_bytes()[:50])
            assert self.run_command("list", folder_path)[0] == 2
            file = str(Path(folder) / "passes.keys")
            assert self.run_command("pass", file, "--client", "v")[0] == 2
            assert self.run_command("pass-key", file)[0] == 0
            status, token = self.run_command("pass", file, "--client", "v", "--minutes", "5", "--most", "3")
            key = keyed_mac(key_file.load(file, 10**13)[0])
            verification = access_tokens.verify_access_token(token.strip(), [key], 0)
            assert verification.token is not None
            assert (status, verification.token.client, verification.token.most) == (0, "v", 3)

    def test_the_table_of_tokens_is_complete_and_denies_unknown_clients(self) -> None:
        assert set(access_tokens.ACCESS_RULES) == {(s, d) for s in TokenStatus for d in Permission}
        assert set(access_tokens.STATUS_DESCRIPTIONS) == set(TokenStatus)
        for token_status in (TokenStatus.MISSING, TokenStatus.FORGED, TokenStatus.NOT_YET):
            assert not any(PresentedToken(token_status).has_permission(demand) for demand in Permission)
        access_token = AccessToken("v", 100, 1100)
        for at, token_status in (
            (99, TokenStatus.NOT_YET),
            (100, TokenStatus.VALID),
            (849, TokenStatus.VALID),
            (850, TokenStatus.EXPIRING),
            (1100, TokenStatus.EXPIRED),
        ):
            assert access_tokens.status_at(access_token, at) is token_status


if __name__ == "__main__":
    import unittest

    unittest.main()
