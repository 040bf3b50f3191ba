"""Bodies that arrive in parts."""

import unittest

from nose2.tools import params

from damaskproxy.common.memory import add_part, join_parts


class PartsTests(unittest.TestCase):
    """Guards against bodies that change while their parts are joined."""

    @params([], [b"one"], [b"", b"one"], [b"one", b"", b"two", b"three"])
    def test_parts_are_joined_in_order(self, parts):
        body = b""
        for part in parts:
            body = add_part(body, part)
        self.assertEqual(join_parts(body), b"".join(parts))
