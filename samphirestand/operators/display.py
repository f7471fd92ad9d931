"""Shows answers to operators as tables or as JSON."""

import collections.abc
import json
from typing import Any

# Rows of lists have these fields beside them.
_ROWS = 'rows'
_NOTES = 'notes'

# One row with more columns than this is shown as fields.
WIDEST = 7


def as_json(document: dict[str, Any]) -> str:
    """Return the whole answer as indented JSON."""
    return json.dumps(document, indent=2, ensure_ascii=False)


def as_table(document: dict[str, Any]) -> str:
    """Return lists as aligned columns and other answers as fields."""
    lines = []
    if _ROWS in document:
        lines += _table(document[_ROWS])
    else:
        lines += [
            f'{name}: {_cell(value)}'
            for name, value in document.items()
            if name != _NOTES and value not in ([], '', None)
        ]
    lines += [f'note: {note}' for note in document.get(_NOTES, [])]
    return '\n'.join(lines)


def _table(rows: collections.abc.Sequence[dict[str, Any]]) -> list[str]:
    if not rows:
        return ['no rows']
    names = list(dict.fromkeys(name for row in rows for name in row))

    # One column of sentences needs no heading.
    if len(names) == 1:
        return [_cell(row[names[0]]) for row in rows]
    if len(rows) == 1 and len(names) > WIDEST:
        return [f'{name}: {_cell(rows[0][name])}' for name in names]
    cells = [names] + [
        [_cell(row.get(name)) for name in names] for row in rows
    ]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    lines = [
        '  '.join(
            cell.ljust(width) for cell, width in zip(each, widths, strict=True)
        ).rstrip()
        for each in cells
    ]
    return [lines[0], '  '.join('-' * width for width in widths), *lines[1:]]


def _cell(value: Any) -> str:
    match value:
        case None:
            return ''
        case bool():
            return 'yes' if value else 'no'
        case list():
            return ', '.join(_cell(each) for each in value)
        case dict():
            return ', '.join(
                f'{name} {_cell(each)}' for name, each in value.items()
            )
    # A control character could change what the terminal shows.
    return ''.join(each if each.isprintable() else ' ' for each in str(value))
