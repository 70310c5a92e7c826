"""Responses to submissions by request id, for submissions that are resent."""

from papayalock.messages import SubmitRes

MAX_KEPT_REQUESTS = 10000
REQUEST_BYTES = 768  # memory of a response beside its problems
PROBLEM_BYTES = 320  # memory of a problem beside its texts


class RequestLog:
    """The newest responses, bounded in number and in memory.

    A refused submission may have thousands of problems. ``size`` is the
    memory in bytes that all responses take up.
    """

    __slots__ = ('_max_bytes', 'fingerprints', 'responses', 'size')

    def __init__(self, max_bytes: int) -> None:
        """Starts empty; the oldest responses are dropped first."""
        self.responses: dict[str, SubmitRes] = {}
        self.fingerprints: dict[str, str] = {}
        self.size = 0
        self._max_bytes = max_bytes

    def restore(
        self, responses: dict[str, SubmitRes], fingerprints: dict[str, str]
    ) -> None:
        """Replaces the responses by those of a snapshot."""
        self.responses = responses
        self.fingerprints = fingerprints
        self.size = sum(map(_response_size, responses.values()))
        self._prune()

    def add(self, request: str, fingerprint: str, response: SubmitRes) -> None:
        """Keeps the response to a new request.

        :param fingerprint: digest of the submission's content
        """
        self.responses[request] = response
        self.fingerprints[request] = fingerprint
        self.size += _response_size(response)
        self._prune()

    def _prune(self) -> None:
        while len(self.responses) > 1 and (
            len(self.responses) > MAX_KEPT_REQUESTS
            or self.size > self._max_bytes
        ):
            oldest = next(iter(self.responses))
            self.size -= _response_size(self.responses.pop(oldest))
            self.fingerprints.pop(oldest)


def _response_size(response: SubmitRes) -> int:
    problems = sum(
        PROBLEM_BYTES + len(problem.where) + len(problem.message)
        for problem in response.problems
    )
    return REQUEST_BYTES + len(response.message) + problems
