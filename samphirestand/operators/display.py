"""Formats answers to operators as tables or as JSON."""

import collections.abc
import json
from typing import Any

# Fields of an answer that are not shown as ``name: value``.
_ROWS_FIELD = 'rows'
_NOTES_FIELD = 'notes'

# A single row with more columns than this is shown as one field per line.
MAX_TABLE_COLUMNS = 7


def as_json(document: dict[str, Any]) -> str:
    """Return the complete answer as indented JSON."""
    return json.dumps(document, indent=2, ensure_ascii=False)


def as_table(document: dict[str, Any]) -> str:
    """Return rows as aligned columns, other answers as one field per line."""
    lines = []
    if _ROWS_FIELD in document:
        lines += _format_table(document[_ROWS_FIELD])
    else:
        lines += [
            f'{name}: {_format_cell(value)}'
            for name, value in document.items()
            if name != _NOTES_FIELD and value not in ([], '', None)
        ]
    lines += [f'note: {note}' for note in document.get(_NOTES_FIELD, [])]
    return '\n'.join(lines)


def _format_table(rows: collections.abc.Sequence[dict[str, Any]]) -> list[str]:
    if not rows:
        return ['no rows']
    names = list(dict.fromkeys(name for row in rows for name in row))

    # A single column, which holds sentences, needs no heading.
    if len(names) == 1:
        return [_format_cell(row[names[0]]) for row in rows]
    if len(rows) == 1 and len(names) > MAX_TABLE_COLUMNS:
        return [f'{name}: {_format_cell(rows[0][name])}' for name in names]
    cells = [names] + [
        [_format_cell(row.get(name)) for name in names] for row in rows
    ]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    lines = [
        '  '.join(
            cell.ljust(width) for cell, width in zip(each, widths, strict=True)
        ).rstrip()
        for each in cells
    ]
    return [lines[0], '  '.join('-' * width for width in widths), *lines[1:]]


def _format_cell(value: Any) -> str:
    match value:
        case None:
            return ''
        case bool():
            return 'yes' if value else 'no'
        case list():
            return ', '.join(_format_cell(each) for each in value)
        case dict():
            return ', '.join(
                f'{name} {_format_cell(each)}' for name, each in value.items()
            )
    # Replace control characters: they could manipulate the terminal.
    return ''.join(each if each.isprintable() else ' ' for each in str(value))
