"""Services that a node holds because callers asked for them."""

from papayalock.core.subscriptions import Subscriptions


class TestSubscriptions:
    def test_the_least_recently_used_service_is_evicted(self):
        subscriptions = Subscriptions(2, 1000)
        subscriptions.subscribe('a', 0.0)
        subscriptions.subscribe('b', 0.0)
        subscriptions.mark_used('a')
        subscriptions.subscribe('c', 0.0)
        assert subscriptions.names == ['a', 'c']

    def test_an_unknown_name_is_refused_for_a_while_and_evicts_nothing(
        self,
    ):
        subscriptions = Subscriptions(2, 1000)
        subscriptions.subscribe('a', 0.0)
        subscriptions.subscribe('ghost', 0.0)
        subscriptions.mark_unknown('ghost', 1.0)
        assert not subscriptions.subscribe('ghost', 1.5)
        assert subscriptions.names == ['a']
        assert subscriptions.subscribe('ghost', 2.5)

    def test_unknown_names_are_bounded(self):
        subscriptions = Subscriptions(2, 1000)
        for number in range(10_000):
            subscriptions.mark_unknown(f'ghost-{number}', 0.0)
        assert len(subscriptions._unknown) == 256
