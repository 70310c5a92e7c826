"""Tests of the model checking script on a machine without its tools."""

import runpy
from pathlib import Path

CHECK = Path(__file__).resolve().parent.parent / 'models' / 'check.py'


class TestMissingTools:
    def test_error_line_names_the_missing_tools(
        self, monkeypatch, capsys, tmp_path
    ):
        monkeypatch.setenv('PATH', str(tmp_path))
        main = runpy.run_path(str(CHECK))['main']
        assert main() == 2
        error = capsys.readouterr().err
        assert error == 'make model needs spin and gcc on the PATH\n'
