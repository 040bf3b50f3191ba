"""Room that is reserved for answers."""

import unittest

from damaskproxy.forwarding import AnswerSizes

LIMIT_BYTES = 1_000_000
ROUTE = "reports"


class AnswerSizesTests(unittest.TestCase):
    """Guards against answers without room, and against routes refused for good."""

    def setUp(self):
        self.held_bytes = 0
        self.sizes = AnswerSizes(
            lambda count: self.held_bytes + count <= LIMIT_BYTES, LIMIT_BYTES // 2
        )

    def answer(self, size):
        """Play one request with an answer of `size` bytes."""
        reserved = self.sizes.reserve(ROUTE)
        self.sizes.finish(ROUTE, reserved, size)
        return reserved

    def test_room_is_reserved_for_answers_as_large_as_before(self):
        self.assertEqual(self.answer(400_000), 0)
        self.assertEqual([self.sizes.reserve(ROUTE) for _ in range(2)], [400_000] * 2)
        self.assertIsNone(self.sizes.reserve(ROUTE))
        self.assertEqual(self.sizes.reserve("other"), 0)
        self.sizes.finish(ROUTE, 400_000, None)
        self.assertEqual(self.sizes.reserve(ROUTE), 400_000)

    def test_nothing_is_reserved_for_small_answers(self):
        self.held_bytes = LIMIT_BYTES
        for _ in range(3):
            self.assertEqual(self.answer(65_536), 0)

    def test_expected_size_follows_smaller_answers(self):
        self.answer(400_000)
        expected = [self.answer(100) for _ in range(20)]
        self.assertEqual(expected[:2], [400_000, 360_000])
        self.assertEqual(expected[-1], 0)

    def test_request_is_accepted_while_nothing_is_held(self):
        self.answer(3 * LIMIT_BYTES)
        self.assertEqual(self.sizes.reserve(ROUTE), LIMIT_BYTES // 2)
