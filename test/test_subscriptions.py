"""Services that a node holds because callers asked for them."""

from papayalock.core.subscriptions import Subscriptions


class TestSubscriptions:
    def test_the_least_recently_used_goes(self):
        one = Subscriptions(2, 1000)
        one.want('a', 0.0)
        one.want('b', 0.0)
        one.touch('a')
        one.want('c', 0.0)
        assert one.names == ['a', 'c']

    def test_an_unknown_name_is_refused_for_a_while_and_pushes_nothing_out(
        self,
    ):
        one = Subscriptions(2, 1000)
        one.want('a', 0.0)
        one.want('ghost', 0.0)
        one.refute('ghost', 1.0)
        assert not one.want('ghost', 1.5)
        assert one.names == ['a']
        assert one.want('ghost', 2.5)

    def test_remembered_names_are_bounded(self):
        one = Subscriptions(2, 1000)
        for number in range(10_000):
            one.refute(f'ghost-{number}', 0.0)
        assert len(one._unknown) == 256
