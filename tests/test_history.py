"""Tests of writing and reading history files."""

import pathlib
import tempfile
import unittest

from filbertstep import checking


class TestHistory(unittest.TestCase):
    """History files of several processes, some of them killed."""

    def setUp(self) -> None:
        """Create a temporary directory for the history files."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = pathlib.Path(directory.name)

    def test_events_of_all_files_are_sorted_by_time(self) -> None:
        """Guards against events that are merged by file instead of by time."""
        writers = [
            checking.HistoryWriter(
                str(self.directory / f'{name}.jsonl'), name, '1'
            )
            for name in ('b', 'a')
        ]
        for number in range(4):
            writers[number % 2].write('count', number=number)
        events = checking.read_history(self.directory)
        self.assertEqual([0, 1, 2, 3], [event['number'] for event in events])
        self.assertEqual(
            ['b', 'a', 'b', 'a'], [event['process'] for event in events]
        )
        for writer in writers:
            writer.close()

    def test_events_are_written_immediately(self) -> None:
        """Guards against buffered events, which a killed process loses."""
        path = self.directory / 'a.jsonl'
        writer = checking.HistoryWriter(str(path), 'a', '1')
        writer.write('one')
        self.assertTrue(path.read_bytes().endswith(b'}\n'))
        writer.close()
        writer.write('dropped')
        self.assertEqual(1, len(checking.read_history(self.directory)))

    def test_incomplete_last_line_is_skipped(self) -> None:
        """Guards against a history made unreadable by a killed process."""
        complete_line = b'{"t": 1.0, "event": "a"}\n'
        for incomplete in (b'', b'{"t": 2', b'{"t": 2.0, "event": "b"'):
            with self.subTest(incomplete=incomplete):
                events = list(
                    checking.decode_events(complete_line + incomplete)
                )
                self.assertEqual(1, len(events))

    def test_invalid_line_is_an_error(self) -> None:
        """Guards against checking a history that lacks events."""
        for invalid in (b'{"t": 2\n', b'[]\n', b'{"event": "a"}\n'):
            with self.subTest(invalid=invalid):
                with self.assertRaises(ValueError):
                    list(checking.decode_events(invalid + b'{"t": 1.0}\n'))
