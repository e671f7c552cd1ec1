"""Serializes settings to the S-expression that `reader` parses."""

from __future__ import annotations

from typing import Any

import msgspec


def _atom(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, str):
        return '"' + value.replace("\\", "\\\\").replace('"', '\\"') + '"'
    return repr(value)


def _fields(struct: msgspec.Struct, indent: str) -> str:
    lines = []
    for field in msgspec.structs.fields(struct):
        value = getattr(struct, field.name)
        name = field.name.replace("_", "-")
        if value is None:
            continue
        if isinstance(value, msgspec.Struct):
            lines.append(f"{indent}({name}\n{_fields(value, indent + '  ')})")
        elif isinstance(value, list | tuple) and value and isinstance(value[0], msgspec.Struct):
            items = "\n".join(f"{indent}  (item\n{_fields(item, indent + '    ')})" for item in value)
            lines.append(f"{indent}({name}\n{items})")
        elif isinstance(value, list | tuple):
            lines.append(f"{indent}({name} {' '.join(_atom(item) for item in value)})")
        else:
            lines.append(f"{indent}({name} {_atom(value)})")
    return "\n".join(lines)


def write(settings: msgspec.Struct) -> str:
    """The settings as the text of a settings file."""
    head = getattr(type(settings), "HEAD", "settings")
    return f"({head}\n{_fields(settings, '  ')})\n"
