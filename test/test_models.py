"""The model checker's start on a machine without its tools."""

import runpy
from pathlib import Path

CHECK = Path(__file__).resolve().parent.parent / 'models' / 'check.py'


class TestMissingTools:
    def test_one_line_says_what_is_missing(self, monkeypatch, capsys, tmp_path):
        monkeypatch.setenv('PATH', str(tmp_path))
        main = runpy.run_path(str(CHECK))['main']
        assert main() == 2
        told = capsys.readouterr().err
        assert told == 'make model needs spin and gcc on the PATH\n'
