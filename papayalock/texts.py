"""Helpers for reading text files and formatting messages."""

from pathlib import Path

from papayalock.result import Code, PapayalockError


def read_text(path: str | Path) -> str:
    """Reads a UTF-8 file, dropping a byte order mark.

    :raises PapayalockError: ``FILE_UNREADABLE``, naming the file and the reason
    """
    try:
        return Path(path).read_text(encoding='utf-8-sig')
    except OSError as exc:
        reason = exc.strerror or str(exc)
    except UnicodeDecodeError as exc:
        reason = f'not UTF-8 text at byte {exc.start}'
    raise PapayalockError(Code.FILE_UNREADABLE, f'{path}: {reason}')


def one_line(text: str) -> str:
    """Joins the lines of a text with spaces."""
    return ' '.join(text.splitlines())
