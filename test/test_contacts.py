"""Lost and regained dependencies: one line each."""

import logging

from papayalock.contacts import Contacts


class TestContacts:
    def test_silence_is_told_once_and_so_is_the_return(self, caplog):
        caplog.set_level(logging.INFO)
        contacts = Contacts(logging.getLogger('t'), 'control VM')
        for _ in range(3):
            contacts.lost('a:1', 'refused', version=7)
        for _ in range(2):
            contacts.answered('a:1')
        contacts.answered('b:1')
        told = [record.getMessage() for record in caplog.records]
        assert told == ['control VM lost', 'control VM regained']
        assert caplog.records[0].version == 7
