"""Rows of coroutine tests must run, or their failures go unnoticed."""

import unittest

from nose2.tools import params

ran = []


class AsyncRowsTests(unittest.IsolatedAsyncioTestCase):
    """Guards against coroutine rows that count as passed without running."""

    @params(1, 2)
    async def test_a_row(self, number):
        ran.append(number)

    def test_b_rows_ran(self):
        self.assertEqual(sorted(ran), [1, 2])
