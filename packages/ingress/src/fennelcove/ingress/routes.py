"""The routes of the session interface: paths and methods, and how bodies and CMCD are read."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec
from fennelcove.core.core import Core
from fennelcove.core.requests import SessionRequest
from fennelcove.decisions.clients import access_tokens
from fennelcove.decisions.clients.access_tokens import Permission, PresentedToken
from fennelcove.decisions.operators import command_authorization
from fennelcove.decisions.servers.load_signals import ClientHints
from fennelcove.hints import cmcd
from fennelcove.hints.cmcd import Cmcd
from fennelcove.ingress import replies
from fennelcove.ingress.connection import ReceivedRequest
from fennelcove.ingress.operator_commands import OperatorCommands
from fennelcove.ingress.playback_routes import PlaybackRoutes
from fennelcove.ingress.replies import Reply
from fennelcove.settings.schema import Author
from fennelcove.timeline.model import Change
from fennelcove.wire.operator_commands import COMMANDS
from fennelcove.wire.sessions import SeatRenewal, SeatState, SetUp, TopRung

ChangePersister = Callable[[Change, bool, int], None]
_ABSOLUTE = re.compile(r"https?://[^/?#]*", re.IGNORECASE)
_SETUP: msgspec.json.Decoder[SetUp] = msgspec.json.Decoder(SetUp)
_SEAT: msgspec.json.Decoder[SeatRenewal] = msgspec.json.Decoder(SeatRenewal)
_TOP: msgspec.json.Decoder[TopRung] = msgspec.json.Decoder(TopRung)


@dataclass(frozen=True, slots=True)
class RouteRequest:
    """A parsed request: its route, the session id and the resource named in its path, its query arguments."""

    route: Route
    id: str
    resource: str
    query: dict[str, str]
    received: ReceivedRequest


Handler = Callable[["Routes", RouteRequest], "Reply | SessionRequest"]


@dataclass(frozen=True, slots=True)
class Route:
    """An operation of the interface."""

    method: str
    path: str
    pattern: re.Pattern[str]
    handler: Handler
    requires_json: bool
    name: str


class Routes:
    """Handles requests: a set-up yields a `SessionRequest`, everything else a `Reply`."""

    def __init__(
        self, core: Core, front: str, persist_change: ChangePersister, operator_commands: OperatorCommands
    ) -> None:
        self.core = core
        self.operator_commands = operator_commands
        self.front = front
        self.playback = PlaybackRoutes(core, front, persist_change)
        self.dropped_hint_count = 0

    def handle(self, received: ReceivedRequest) -> Reply | SessionRequest:
        """Return the session request that a request contains, or the response to it."""
        target = _ABSOLUTE.sub("", received.head.target, count=1)
        path, _, query = target.partition("?")
        methods = []
        for route in ROUTES:
            match = route.pattern.fullmatch(path or "/")
            if match is None:
                continue
            methods.append(route.method)
            if route.method != received.head.method:
                continue
            if route.requires_json and not _has_json_body(received):
                return replies.fault("not-json", "send Content-Type: application/json")
            named = match.groupdict()
            id, resource = named.get("id") or "", named.get("resource") or ""
            return route.handler(
                self, RouteRequest(route, id, resource, cmcd.query_arguments(query), received)
            )
        if not methods:
            return replies.fault("unknown-path", path[:80])
        reply = replies.fault("wrong-method", f"{received.head.method} {path[:80]}")
        reply.fields.append(("Allow", ", ".join(sorted(set(methods)))))
        return reply

    def read_cmcd(self, request: RouteRequest, body: dict[str, Any] | None = None) -> Cmcd:
        """Read the client's CMCD from headers, query or body; malformed keys are only counted."""
        fields = {
            name.decode(): value.decode("latin-1")
            for name, value in request.received.head.headers
            if name.startswith(b"cmcd-")
        }
        found = cmcd.read(fields, request.query, body)
        self.dropped_hint_count += found.dropped
        return found

    def set_up(self, request: RouteRequest) -> Reply | SessionRequest:
        """Check the access token and the body of a set-up."""
        try:
            body = _SETUP.decode(request.received.body)
        except msgspec.MsgspecError as error:
            return replies.fault("malformed", str(error))
        hints = self.read_cmcd(request, body.cmcd)
        presented = presented_token(self.core, request.received.head.get(b"authorization"))
        if not presented.has_permission(Permission.CREATE_SESSION) and self.core.requires_token:
            reply = replies.fault(
                "no-pass", f"the pass is {access_tokens.STATUS_DESCRIPTIONS[presented.status]}"
            )
            reply.fields.append(("WWW-Authenticate", 'Bearer realm="subscriptions"'))
            return reply
        found = build_session_request(self.core, body, hints, presented)
        return found if isinstance(found, SessionRequest) else replies.fault(*found)

    def state(self, request: RouteRequest) -> Reply:
        """Answer with the session's state; CMCD in the request counts as a client report."""
        view = self.core.on_client_report(request.id, client_hints(self.read_cmcd(request)))
        return self._missing_session(request.id) if view is None else replies.state(view, self.front)

    def rung(self, request: RouteRequest) -> Reply:
        """Answer with the session's current rung."""
        view = self.core.on_client_report(request.id, client_hints(self.read_cmcd(request)))
        return self._missing_session(request.id) if view is None else replies.rung(view, self.front)

    def set_top(self, request: RouteRequest) -> Reply:
        """Set the highest rung that the client wants."""
        try:
            body = _TOP.decode(request.received.body)
        except msgspec.MsgspecError as error:
            return replies.fault("malformed", str(error))
        view = self.core.on_client_report(request.id, client_hints(self.read_cmcd(request)), body.top_rung)
        return self._missing_session(request.id) if view is None else replies.rung(view, self.front)

    def release(self, request: RouteRequest) -> Reply:
        """Release the session."""
        if self.core.release(request.id, "released by its viewer"):
            return Reply(204)
        return self._missing_session(request.id)

    def renew_seat(self, request: RouteRequest) -> Reply:
        """Renew the session's seat lease."""
        try:
            body = _SEAT.decode(request.received.body or b"{}")
        except msgspec.MsgspecError as error:
            return replies.fault("malformed", str(error))
        if self.core.on_client_report(request.id, client_hints(self.read_cmcd(request))) is None:
            return self._missing_session(request.id)
        left_us = self.core.seat_leases.renew(request.id, body.key or "")
        if left_us is None:
            return replies.fault("no-seat")
        state = SeatState(subscription=request.id, seat_for_ms=left_us / 1000)
        return Reply(200, [replies.JSON], msgspec.json.encode(state))

    def manifest(self, request: RouteRequest) -> Reply:
        """Answer with a manifest; `interstitials=1` asks for clips as HLS interstitials."""
        as_interstitials = request.query.get("interstitials") == "1"
        reply = self.playback.manifest(
            request.id, request.resource, client_hints(self.read_cmcd(request)), as_interstitials
        )
        return reply or self._missing_session(request.id)

    def asset(self, request: RouteRequest) -> Reply:
        """Answer with the playlist of an interstitial."""
        reply = self.playback.asset(request.id, request.resource, client_hints(self.read_cmcd(request)))
        return reply or self._missing_session(request.id)

    def asset_segment(self, request: RouteRequest) -> Reply:
        """Redirect to a segment of an interstitial."""
        change, _, number = request.resource.rpartition("/")
        reply = self.playback.asset_segment(
            request.id, change, int(number), client_hints(self.read_cmcd(request))
        )
        return reply or self._missing_session(request.id)

    def segment(self, request: RouteRequest) -> Reply:
        """Redirect to a segment."""
        reply = self.playback.segment(
            request.id, int(request.resource), client_hints(self.read_cmcd(request))
        )
        return reply or self._missing_session(request.id)

    def init(self, request: RouteRequest) -> Reply:
        """Redirect to an initialization segment."""
        reply = self.playback.init(request.id, request.resource, client_hints(self.read_cmcd(request)))
        return reply or self._missing_session(request.id)

    def _authorize_author(self, request: RouteRequest, needs_write: bool) -> Author | Reply:
        return self.playback.author(bearer(request.received.head.get(b"authorization")), needs_write)

    def submit_change(self, request: RouteRequest) -> Reply:
        """Apply an author's change."""
        author = self._authorize_author(request, True)
        return author if isinstance(author, Reply) else self.playback.submit(author, request.received.body)

    def withdraw_change(self, request: RouteRequest) -> Reply:
        """Withdraw an author's change."""
        author = self._authorize_author(request, True)
        return author if isinstance(author, Reply) else self.playback.withdraw(request.resource)

    def list_changes(self, request: RouteRequest) -> Reply:
        """Answer with all changes, or those of the title in the query."""
        author = self._authorize_author(request, False)
        return author if isinstance(author, Reply) else self.playback.changes(request.query.get("title"))

    def show_change(self, request: RouteRequest) -> Reply:
        """Answer with one change."""
        author = self._authorize_author(request, False)
        return author if isinstance(author, Reply) else self.playback.changes(None, request.resource)

    def status(self, request: RouteRequest) -> Reply:
        """Answer with the front's status."""
        return Reply(200, [replies.JSON], msgspec.json.encode(self.core.status().to_json_fields()))

    def command(self, request: RouteRequest) -> Reply:
        """Execute an operator command."""
        header = request.received.head.get(command_authorization.HEADER_NAME.encode())
        signature = None if header is None else header.decode("latin-1")
        path = f"/v1/control/{request.resource}"
        return self.operator_commands.handle(signature, path, request.resource, request.received.body)

    def openapi(self, request: RouteRequest) -> Reply:
        # Imported on demand: most fronts are never asked for their description.
        """Answer with the OpenAPI description."""
        from fennelcove.api import openapi

        return Reply(200, [replies.JSON], openapi.text(ROUTE_TABLE).encode())

    def asyncapi(self, request: RouteRequest) -> Reply:
        """Answer with the AsyncAPI description."""
        from fennelcove.api import asyncapi

        return Reply(200, [replies.JSON], asyncapi.text().encode())

    def _missing_session(self, id: str) -> Reply:
        reason = self.core.close_reason(id)
        return (
            replies.fault("unknown-subscription", id[:80])
            if reason is None
            else replies.fault("ended", reason)
        )


def bearer(authorization: bytes | None) -> str:
    """The token of an `Authorization: Bearer` field (RFC 6750, section 2.1); empty if there is none."""
    scheme, _, token = (authorization or b"").decode("latin-1").partition(" ")
    return token.strip() if scheme.lower() == "bearer" else ""


def presented_token(core: Core, authorization: bytes | None) -> PresentedToken:
    """The access token in a header field, and its status."""
    return access_tokens.verify_access_token(bearer(authorization), core.token_keys, core.clock.wall_us())


def build_session_request(
    core: Core, body: SetUp, hints: Cmcd, presented: PresentedToken
) -> SessionRequest | tuple[str, str]:
    """Build the session request of a set-up, from either protocol.

    Returns:
        The request, or the kind and the detail of the problem.
    """
    title = body.title or hints.text("cid")
    if body.room_type not in core.catalogue.service_classes:
        return "unknown-room-type", f"{body.room_type!r}; known: {', '.join(core.catalogue.service_classes)}"
    if title is None or title not in core.catalogue.titles:
        return "unknown-title", "name a title in the body or as CMCD cid" if title is None else repr(title)
    timeout_us = None if body.client_timeout_ms is None else round(body.client_timeout_ms * 1000)
    client = presented.token.client if presented.token is not None else hints.text("sid") or ""
    if presented.token is not None and presented.token.titles and title not in presented.token.titles:
        return "not-entitled", f"it names {', '.join(presented.token.titles)}"
    key = body.key or ""
    expected_watch_us = None if body.watch_ms is None else round(body.watch_ms * 1000)
    return SessionRequest(
        title,
        body.room_type,
        body.top_rung,
        timeout_us,
        client_hints(hints),
        client,
        body.retry,
        body.place,
        key,
        body.tenant,
        expected_watch_us,
    )


def client_hints(hints: Cmcd) -> ClientHints:
    """The CMCD keys that affect decisions: top bitrate, measured throughput, buffer starvation."""
    return ClientHints(hints.number("tb"), hints.number("mtp"), hints.flag("bs"))


def _has_json_body(received: ReceivedRequest) -> bool:
    kind = received.head.get(b"content-type")
    return kind is not None and kind.split(b";")[0].strip().lower() == b"application/json"


_ID = r"(?P<id>[0-9a-f]{1,16}-[0-9a-f]{24})"
_NAME = r"[A-Za-z0-9._-]{1,64}"
_PARAMETER_PATTERNS = {  # what each parameter of a path matches
    "id": _ID,
    "change": f"(?P<resource>{_NAME})",
    "manifest": r"(?P<resource>master\.m3u8|media\.m3u8|manifest\.mpd)",
    "seq": r"(?P<resource>[0-9]{1,9})",
    "clip": f"(?P<resource>{_NAME})",
    "clip_segment": f"(?P<resource>{_NAME}/[0-9]{{1,9}})",
    "init": r"(?P<resource>.+)",
    "command": f"(?P<resource>{'|'.join(COMMANDS)})",
}


def compile_path(path: str) -> re.Pattern[str]:
    """Compile a path of the table into the pattern that it matches."""
    parts = re.split(r"\{([a-z_]+)\}", path)
    return re.compile(
        "".join(_PARAMETER_PATTERNS[part] if i % 2 else re.escape(part) for i, part in enumerate(parts))
    )


# The server and the API description (fennelcove/api) share this table, so neither can have a path that the
# other lacks.
ROUTE_TABLE: tuple[tuple[str, str, Handler, str], ...] = (
    ("POST", "/v1/subscriptions", Routes.set_up, "setUp"),
    ("GET", "/v1/subscriptions/{id}", Routes.state, "state"),
    ("DELETE", "/v1/subscriptions/{id}", Routes.release, "release"),
    ("GET", "/v1/subscriptions/{id}/rung", Routes.rung, "rung"),
    ("PUT", "/v1/subscriptions/{id}/rung", Routes.set_top, "setTop"),
    ("POST", "/v1/subscriptions/{id}/seat", Routes.renew_seat, "renewSeat"),
    ("GET", "/v1/subscriptions/{id}/{manifest}", Routes.manifest, "manifest"),
    ("GET", "/v1/subscriptions/{id}/seg/{seq}.m4s", Routes.segment, "segment"),
    ("GET", "/v1/subscriptions/{id}/asset/{clip}.m3u8", Routes.asset, "asset"),
    ("GET", "/v1/subscriptions/{id}/asset/{clip_segment}.m4s", Routes.asset_segment, "assetSegment"),
    ("GET", "/v1/subscriptions/{id}/init/{init}", Routes.init, "init"),
    ("POST", "/v1/changes", Routes.submit_change, "submitChange"),
    ("GET", "/v1/changes", Routes.list_changes, "listChanges"),
    ("GET", "/v1/changes/{change}", Routes.show_change, "showChange"),
    ("DELETE", "/v1/changes/{change}", Routes.withdraw_change, "withdrawChange"),
    ("GET", "/v1/status", Routes.status, "status"),
    ("POST", "/v1/control/{command}", Routes.command, "command"),
    ("GET", "/v1/openapi.json", Routes.openapi, "openapi"),
    ("GET", "/v1/asyncapi.json", Routes.asyncapi, "asyncapi"),
)
ROUTES: tuple[Route, ...] = tuple(
    Route(method, path, compile_path(path), handler, method in ("POST", "PUT"), name)
    for method, path, handler, name in ROUTE_TABLE
)
