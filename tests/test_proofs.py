"""Tests that the tests and modules named on the page of proofs exist."""

import ast
import pathlib
import re

from bench import checker
from bench import scenarios
from tests.bench import test_checker

ROOT = pathlib.Path(__file__).parent.parent
PAGE = (ROOT / 'docs' / 'proofs.md').read_text()
SECTIONS = re.split(r'^## ', PAGE, flags=re.MULTILINE)[1:]
INVARIANTS = SECTIONS[: len(checker.INVARIANTS)]


def defined_names(path):
    """Return the names of a file's functions; methods as `Class::name`."""
    names = set()
    for node in ast.parse(path.read_text()).body:
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            names.add(node.name)
        elif isinstance(node, ast.ClassDef):
            names.update(
                f'{node.name}::{each.name}'
                for each in node.body
                if isinstance(each, ast.FunctionDef | ast.AsyncFunctionDef)
            )
    return names


def test_sections_are_in_order():
    """Guards against an invariant that is missing on the page."""
    numbers = [int(section.split('.')[0]) for section in INVARIANTS]
    assert numbers == list(checker.INVARIANTS)
    assert SECTIONS[-1].startswith('Not proved')


def test_named_tests_exist():
    """Guards against references to renamed or removed tests."""
    named = set(re.findall(r'`(tests/[^`:]+\.py)::([^`]+)`', PAGE))
    assert named
    for file, name in sorted(named):
        assert name in defined_names(ROOT / file), f'{file}::{name}'
    for section in INVARIANTS:
        assert '::test_' in section, section.splitlines()[0]


def test_short_names_of_failed_tests_exist():
    """Guards against short names of renamed or removed tests."""
    names = set()
    for path in (ROOT / 'tests').rglob('test_*.py'):
        names |= {name.split('::')[-1] for name in defined_names(path)}
    prose = re.sub(r'`[^`]*`', '', PAGE)
    for short in re.findall(r'\b[a-z]+(?:_[a-z0-9]+){3,}\b', prose):
        assert f'test_{short}' in names, short


def test_named_modules_exist():
    """Guards against references to modules that were moved."""
    for path in re.findall(r'`((?:samphirestand|bench)/[^`]+\.py)`', PAGE):
        assert (ROOT / path).is_file(), path


def test_checks_and_planted_violations_exist():
    """Guards against a checker that differs from the page's description."""
    parametrize_mark = test_checker.test_planted_violation_is_found.pytestmark[
        0
    ]
    planted_by_invariant = {}
    for plant, invariant in parametrize_mark.args[1]:
        names = planted_by_invariant.setdefault(invariant, set())
        names.add(plant.__name__)
    known_scenarios = {each.name for each in scenarios.SCENARIOS}

    for invariant, section in zip(checker.INVARIANTS, INVARIANTS, strict=True):
        external_checks = section.partition('From outside:')[2]
        named = set(re.findall(r'`([^`]+)`', external_checks))
        check = checker._CHECKS[invariant].__name__
        assert check in named
        assert planted_by_invariant[invariant] <= named
        for name in named - planted_by_invariant[invariant]:
            assert name in known_scenarios or hasattr(checker, name), name
