"""Turns of connections that keep the event loop busy."""

import asyncio
import unittest

from damaskproxy.common.turns import TURNS_PER_ITERATION, Turns


class TurnTests(unittest.IsolatedAsyncioTestCase):
    """Guards against connections that keep others from being served."""

    async def test_other_callbacks_run_between_the_turns(self):
        turns, order = Turns(), []
        for number in range(3 * TURNS_PER_ITERATION):
            turns.add(lambda number=number: order.append(number))
        await asyncio.sleep(0)
        order.append("other")
        while len(order) <= 3 * TURNS_PER_ITERATION:  # noqa: ASYNC110
            await asyncio.sleep(0)
        self.assertEqual(order.index("other"), TURNS_PER_ITERATION)
        order.remove("other")
        self.assertEqual(order, list(range(3 * TURNS_PER_ITERATION)))

    async def test_callback_that_adds_itself_is_last(self):
        turns, order = Turns(), []

        def again():
            order.append("again")
            if len(order) < 4:
                turns.add(again)

        turns.add(again)
        turns.add(lambda: order.append("other"))
        while order.count("again") < 3:  # noqa: ASYNC110
            await asyncio.sleep(0)
        self.assertEqual(order[:3], ["again", "other", "again"])

    async def test_turns_go_on_after_one_has_raised(self):
        turns, order = Turns(), []
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)

        def fail():
            raise ValueError

        turns.add(fail)
        turns.add(lambda: order.append("other"))
        while not order:  # noqa: ASYNC110
            await asyncio.sleep(0)
