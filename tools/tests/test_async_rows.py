"""Rows of parameterised coroutine tests are awaited."""

import unittest

from nose2.tools import params

ran = []


class AsyncRowsTests(unittest.IsolatedAsyncioTestCase):
    """Guards against rows of coroutine tests that pass without having run."""

    @params(1, 2)
    async def test_a_row(self, number):
        ran.append(number)

    def test_b_rows_ran(self):
        self.assertEqual(sorted(ran), [1, 2])
