"""Differences of texts: every byte comes back, and the work stays linear."""

import random
import sys

import pytest

from papayalock.core import textedit
from papayalock.core.textedit import SEPARATOR, apply_edits, diff_text


def document(count: int, timeout_ms: int = 1200, **changes) -> str:
    """Returns a document of split routes, as an operator sends it.

    :param changes: ``order`` of the routes, their ``name``, and whether only
        each ``every``-th route has the time-out
    """
    name = changes.get('name', 'r')
    every = changes.get('every', 1)
    routes = [
        f'{{"name":"{name}-{number:05x}","path_prefix":"/p{number:05x}/",'
        f'"timeout":"{1200 if number % every else timeout_ms}ms",'
        '"traffic_split":[{"service":"shop-a","weight":90},'
        '{"service":"shop-b","weight":10}],"max_attempts":2}'
        for number in changes.get('order', range(count))
    ]
    return f'{{"version":7,"routes":[{",".join(routes)}],"services":[]}}'


def shuffled(count: int) -> list[int]:
    order = list(range(count))
    random.Random(count).shuffle(order)
    return order


SHAPES = {
    'same': lambda count: document(count),
    'all': lambda count: document(count, 1500),
    'second': lambda count: document(count, 1500, every=2),
    'renamed': lambda count: document(count, name='x'),
    'reversed': lambda count: document(count, order=range(count)[::-1]),
    'shuffled': lambda count: document(count, order=shuffled(count)),
    'shuffled and changed': lambda count: document(
        count, 1500, order=shuffled(count)
    ),
    'third removed': lambda count: document(
        count, 1500, order=[n for n in range(count) if n % 3]
    ),
    'doubled': lambda count: document(
        count, order=[n // 2 for n in range(2 * count)]
    ),
    'grown': lambda count: document(count, order=range(count + 50)),
    'all alike': lambda count: document(count, order=[0] * count),
    'no separator': lambda count: 'x' * 100 * count,
    'empty': lambda count: '',
}


def steps_of_diff(count: int, shape: str) -> int:
    """Returns how many lines of code run for a difference."""
    old, new = document(count), SHAPES[shape](count)
    steps = 0

    def trace(_frame, event, _arg):
        nonlocal steps
        steps += event == 'line'
        return trace

    earlier = sys.gettrace()
    sys.settrace(trace)
    try:
        diff_text(old, new)
    finally:
        sys.settrace(earlier)
    return steps


class TestBytes:
    @pytest.mark.parametrize('shape', SHAPES)
    def test_each_shape_of_change_gives_back_every_byte(self, shape):
        old, new = document(200), SHAPES[shape](200)
        assert apply_edits(old, diff_text(old, new)) == new
        assert apply_edits(new, diff_text(new, old)) == old

    @pytest.mark.parametrize('seed', range(20))
    def test_random_pieces_that_are_alike(self, seed):
        rng = random.Random(seed)
        for _ in range(100):
            letters = 'abcdefgh'[: rng.randrange(1, 9)]
            old, new = (
                SEPARATOR.join(
                    rng.choice(letters) for _ in range(rng.randrange(14))
                )
                for _ in range(2)
            )
            assert apply_edits(old, diff_text(old, new)) == new

    def test_equal_texts_need_no_edit(self):
        assert not diff_text(document(50), document(50))


class TestSize:
    def test_a_changed_route_carries_its_own_piece_only(self):
        old = document(100)
        (edit,) = diff_text(old, old.replace('r-00020', 'r-00fff'))
        assert len(edit.pieces) == 1

    def test_a_change_of_all_carries_only_the_pieces_that_differ(self):
        edits = diff_text(document(100), document(100, 1500))
        assert sum(len(edit.pieces) for edit in edits) == 100

    def test_a_removed_route_carries_nothing_of_the_others(self):
        rest = [number for number in range(100) if number != 40]
        edits = diff_text(document(100), document(100, order=rest))
        assert sum(len(edit.pieces) for edit in edits) <= 1


class TestWork:
    # Guards against a change that stops a control VM (review case 4).
    @pytest.mark.parametrize('shape', SHAPES)
    def test_twice_the_routes_take_twice_the_work(self, shape):
        assert steps_of_diff(80, shape) <= 2.5 * steps_of_diff(40, shape) + 100

    def test_the_separator_is_that_of_a_compact_list(self):
        assert textedit.SEPARATOR == '},{'
