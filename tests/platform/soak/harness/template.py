"""Renders the settings templates of `deploy/`."""

import re

_SECTION = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.S)
_VALUE = re.compile(r"\{\{([\w.]+|@|,)\}\}")


def _look_up(fields, name):
    value = fields
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        elif isinstance(value, dict):
            value = value.get(part)
        else:
            return None
    return value


def _render_section(match, fields):
    kind, name, text = match.groups()
    value = _look_up(fields, name)
    if kind == "^":
        return "" if value else text
    if not value:
        return ""
    if not isinstance(value, dict):
        return text
    keys = list(value)
    return "".join(
        text.replace("{{@}}", key)
        .replace("{{,}}", "," if key != keys[-1] else "") for key in keys)


def render(text, fields):
    """Returns the text with its placeholders and sections filled in."""
    text = _SECTION.sub(lambda match: _render_section(match, fields), text)

    def value(match):
        found = _look_up(fields, match.group(1))
        if isinstance(found, list):
            return ",".join(map(str, found))
        return "" if found is None else str(found)

    return _VALUE.sub(value, text)
