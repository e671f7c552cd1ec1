"""Parses an S-expression file into a typed struct; errors state the file, the line and the path of the field.

A struct is a list that starts with its name: `(front (name "f1") (listen "127.0.0.1:8080"))`. Each field is a
list that starts with the name of the field, with `-` for `_`, and contains its value. A field with several
plain values contains all of them, `(rungs 0 1)`; a field with several structs contains a list for each,
`(room-types (room-type (name "live")) ...)`. Booleans are `true` and `false`.
"""

from __future__ import annotations

import re
import types
import typing
from pathlib import Path
from typing import Any, TypeVar, get_args, get_origin

import msgspec
import sexpdata
from fennelcove.errors import OperatorError

MAX_FILE_BYTES = 4 * 1024 * 1024
T = TypeVar("T", bound=msgspec.Struct)


class SettingsError(OperatorError):
    """Settings are invalid; the file, the line and the path of the first error are stated."""

    code = "settings-amiss"
    advice = (
        "Correct the file and run `fennelcove config check FILE`; a running front keeps its previous settings"
    )

    @classmethod
    def from_violation(cls, source: str, violation: str) -> SettingsError:
        """The error for a violation as `checks` reports it, `PATH: WHAT WAS FOUND; REMEDY`."""
        path, _, message = violation.partition(": ")
        happened, _, suggestion = message.partition("; ")
        return cls(happened, f"{source}: {path}", suggestion)


# sexpdata reports no line numbers, so a separate scan of brackets and names finds the line of each path.
_LEXEME = re.compile(r';[^\n]*|"(?:[^"\\]|\\.)*"|[()]|[^\s()";]+|\n')


def _error_at(source: str, lines: dict[str, int], path: str, found: str, suggestion: str) -> SettingsError:
    probe = path
    while probe and probe not in lines:
        probe = probe.rpartition(".")[0] if not probe.endswith("]") else probe.rpartition("[")[0]
    place = f"{source}:{lines[probe]}" if probe in lines else source
    return SettingsError(f"found {found}", f"{place}: {path}", suggestion)


def _line_numbers(text: str) -> dict[str, int]:
    """The line of each path in the settings, such as `room-types[1].floor`.

    The scan can't distinguish an element of a list from a field of a struct, so it records each list as both.
    """
    found: dict[str, int] = {}
    line, expects_head = 1, False
    stack: list[tuple[list[str], int]] = []  # both possible paths, and the number of lists inside
    for match in _LEXEME.finditer(text):
        token = match.group()
        if token == "(":
            if stack:
                stack[-1] = (stack[-1][0], stack[-1][1] + 1)
            stack.append(([], 0))
            expects_head = True
        elif token == ")":
            if stack:
                stack.pop()
            expects_head = False
        elif token != "\n" and not token.startswith(";"):
            if expects_head and len(stack) == 1:
                stack[-1] = ([""], 0)
            elif expects_head:
                above, count = stack[-2]
                paths = [f"{path}.{token}" if path else token for path in above]
                paths += [f"{path}[{count - 1}]" for path in above]
                for path in paths:
                    found.setdefault(path, line)
                stack[-1] = (paths, 0)
            expects_head = False
        line += token.count("\n")
    return found


def _check_brackets(source: str, text: str) -> None:
    depth, line, open_lines = 0, 1, list[int]()
    for match in _LEXEME.finditer(text):
        token = match.group()
        if token == "(":
            depth += 1
            open_lines.append(line)
        elif token == ")":
            if depth == 0:
                raise SettingsError("found a ')' that closes nothing", f"{source}:{line}", "remove it")
            depth -= 1
            open_lines.pop()
        line += token.count("\n")
    if depth:
        raise SettingsError("found a '(' that is never closed", f"{source}:{open_lines[-1]}", "add a ')'")
    remaining = _LEXEME.sub("", text).strip()
    if remaining:
        raise SettingsError(
            f"found {remaining[:20]!r} that is neither name, text nor number", source, "put it in quotes"
        )


def _unwrap(type_: Any) -> Any:
    """The type without `Annotated` and without `| None`."""
    if get_origin(type_) is typing.Annotated:
        type_ = get_args(type_)[0]
    if get_origin(type_) in (typing.Union, types.UnionType):
        kinds = [kind for kind in get_args(type_) if kind is not type(None)]
        return _unwrap(kinds[0])
    return type_


def _is_struct(type_: Any) -> bool:
    return isinstance(type_, type) and issubclass(type_, msgspec.Struct)


class _Builder:
    """Builds the dicts and lists that msgspec converts, according to the types of the struct."""

    def __init__(self, source: str, lines: dict[str, int]) -> None:
        self.source = source
        self.lines = lines

    def error_at(self, path: str, found: str, suggestion: str) -> SettingsError:
        return _error_at(self.source, self.lines, path, found, suggestion)

    def struct(self, items: list[Any], type_: Any, path: str) -> dict[str, Any]:
        fields = typing.get_type_hints(type_, include_extras=True)
        names = {name.replace("_", "-"): name for name in fields}
        built: dict[str, Any] = {}
        for item in items:
            if not isinstance(item, list) or not item or not isinstance(item[0], sexpdata.Symbol):
                raise self.error_at(path or "the file", _shorten(item), "write each field as (name value)")
            key = item[0].value()
            field_path = f"{path}.{key}" if path else key
            if key not in names:
                raise self.error_at(
                    field_path, f"unknown field {key!r}", f"known are: {', '.join(sorted(names))}"
                )
            if names[key] in built:
                raise self.error_at(field_path, f"field {key!r} a second time", "remove one of them")
            built[names[key]] = self.value(item[1:], fields[names[key]], field_path)
        return built

    def value(self, values: list[Any], type_: Any, path: str) -> Any:
        unwrapped = _unwrap(type_)
        if _is_struct(unwrapped):
            return self.struct(values, unwrapped, path)
        if get_origin(unwrapped) in (list, tuple):
            element = _unwrap(get_args(unwrapped)[0])
            if not _is_struct(element):
                return [self.atom(item, path) for item in values]
            built = []
            for i, item in enumerate(values):
                if not isinstance(item, list) or not item or not isinstance(item[0], sexpdata.Symbol):
                    suggestion = "write each element as (name (field value) ...)"
                    raise self.error_at(f"{path}[{i}]", _shorten(item), suggestion)
                built.append(self.struct(item[1:], element, f"{path}[{i}]"))
            return built
        if len(values) != 1:
            raise self.error_at(path, f"{len(values)} values", "give exactly one")
        return self.atom(values[0], path)

    def atom(self, item: Any, path: str) -> Any:
        if isinstance(item, list):
            raise self.error_at(path, _shorten(item), "give a plain value, not a list")
        if isinstance(item, sexpdata.Symbol):
            token = item.value()
            return {"true": True, "false": False}.get(token, token)
        if isinstance(item, sexpdata.Quoted):
            raise self.error_at(path, "a quote mark", "give a plain value")
        return item


def _shorten(item: Any) -> str:
    text = str(sexpdata.dumps(item))
    return text if len(text) <= 40 else text[:37] + "..."


_VALIDATION_MESSAGE = re.compile(r"^(?P<what>.*?)(?: - at `\$(?P<path>[^`]*)`)?$", re.DOTALL)


def parse(text: str, type_: type[T], source: str, defaults: dict[str, Any] | None = None) -> T:
    """Parse settings; fields that the text omits, at any depth, are taken from `defaults`.

    Raises:
        SettingsError: a syntax error, an unknown or duplicate field, a wrong type, or a value out of range.
    """
    _check_brackets(source, text)
    try:
        tree = sexpdata.parse(text, true=None, false=None, nil=None)
    except Exception as error:  # sexpdata raises several types of its own, and AssertionError
        found = f"text that is not an S-expression ({error})"
        raise SettingsError(f"found {found}", source, "see docs/operate/front.md") from None
    head = getattr(type_, "HEAD", "")
    if len(tree) != 1 or not isinstance(tree[0], list) or not tree[0] or str(tree[0][0]) != head:
        raise SettingsError(
            f"found {len(tree)} expressions, or another name than {head!r}", source, f"write ({head} ...)"
        )
    lines = _line_numbers(text)
    built = _Builder(source, lines).struct(tree[0][1:], type_, "")
    if defaults is not None:
        built = _merge(defaults, built)
    try:
        return msgspec.convert(built, type_)
    except msgspec.ValidationError as error:
        match = _VALIDATION_MESSAGE.match(str(error))
        assert match is not None
        path = (match["path"] or "").lstrip(".").replace("_", "-")
        what = match["what"].replace("_", "-")
        raise _error_at(source, lines, path or "the file", _describe_value(built, path), what) from None


def _merge(defaults: Any, overrides: Any) -> Any:
    if not isinstance(defaults, dict) or not isinstance(overrides, dict):
        return overrides
    return defaults | {name: _merge(defaults.get(name), value) for name, value in overrides.items()}


def _describe_value(built: Any, path: str) -> str:
    value_at_path = built
    for part in re.findall(r"[^.\[\]]+", path):
        if isinstance(value_at_path, list) and part.isdigit() and int(part) < len(value_at_path):
            value_at_path = value_at_path[int(part)]
        elif isinstance(value_at_path, dict):
            value_at_path = value_at_path.get(part.replace("-", "_"))
        else:
            return "nothing"
    if isinstance(value_at_path, dict | list):
        return "a group with a missing or invalid field"
    return repr(value_at_path)


def load(path: str, type_: type[T]) -> T:
    """Read settings from a file.

    Raises:
        SettingsError: the errors of `parse`; or the file can't be read, is too long or is not UTF-8.
    """
    try:
        raw = Path(path).read_bytes()
    except OSError as error:
        raise SettingsError(f"found no readable file ({error.strerror})", path, "check the path") from None
    if len(raw) > MAX_FILE_BYTES:
        raise SettingsError(f"found {len(raw)} bytes", path, f"use at most {MAX_FILE_BYTES} bytes")
    try:
        return parse(raw.decode("utf-8"), type_, path)
    except UnicodeDecodeError as error:
        found = f"a byte that is not UTF-8 at offset {error.start}"
        raise SettingsError(f"found {found}", path, "save the file as UTF-8") from None
