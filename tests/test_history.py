"""Tests of history files."""

import pathlib
import tempfile
import unittest

from filbertstep import checking


class TestHistory(unittest.TestCase):
    """Files of several processes, some of them killed."""

    def setUp(self) -> None:
        """Make a directory."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = pathlib.Path(directory.name)

    def test_events_of_all_files_by_time(self) -> None:
        """Guards against a merge in the order of the files."""
        writers = [
            checking.HistoryWriter(
                str(self.directory / f'{name}.jsonl'), name, '1'
            )
            for name in ('b', 'a')
        ]
        for number in range(4):
            writers[number % 2].write('count', number=number)
        found = checking.read_history(self.directory)
        self.assertEqual([0, 1, 2, 3], [event['number'] for event in found])
        self.assertEqual(['b', 'a', 'b', 'a'], [e['process'] for e in found])
        for writer in writers:
            writer.close()

    def test_lines_are_in_the_file_at_once(self) -> None:
        """Guards against events that a kill would lose."""
        path = self.directory / 'a.jsonl'
        writer = checking.HistoryWriter(str(path), 'a', '1')
        writer.write('one')
        self.assertTrue(path.read_bytes().endswith(b'}\n'))
        writer.close()
        writer.write('dropped')
        self.assertEqual(1, len(checking.read_history(self.directory)))

    def test_cut_last_line_is_skipped(self) -> None:
        """Guards against a killed process that spoils its history."""
        whole = b'{"t": 1.0, "event": "a"}\n'
        for cut in (b'', b'{"t": 2', b'{"t": 2.0, "event": "b"'):
            with self.subTest(cut=cut):
                found = list(checking.decode_events(whole + cut))
                self.assertEqual(1, len(found))

    def test_hole_is_an_error(self) -> None:
        """Guards against a check over a history that is not whole."""
        for bad in (b'{"t": 2\n', b'[]\n', b'{"event": "a"}\n'):
            with self.subTest(bad=bad):
                with self.assertRaises(ValueError):
                    list(checking.decode_events(bad + b'{"t": 1.0}\n'))
