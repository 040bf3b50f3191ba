"""Fibers that are suspended, resumed synchronously, cancelled, or fail."""

import asyncio
import contextlib
import gc
import unittest
import weakref

from nose2.tools import params

from damaskproxy.common.deadline import Deadline
from damaskproxy.common.fibers import Fiber, Waiter, current_fiber


class FiberTests(unittest.IsolatedAsyncioTestCase):
    """Guards against steps that are lost, run twice or run in another fiber."""

    def setUp(self):
        self.log = []
        self.errors = []

    def start(self, coroutine):
        return Fiber(coroutine, self.errors.append)

    async def wait_for(self, waiter):
        """Record how a wait ends."""
        try:
            self.log.append(await waiter)
        except ValueError as error:
            self.log.append(str(error))
        except asyncio.CancelledError:
            self.log.append("cancelled")
            raise
        finally:
            self.log.append("end")

    async def test_result_resumes_the_fiber_synchronously(self):
        waiter = Waiter()
        fiber = self.start(self.wait_for(waiter))
        self.assertEqual(self.log, [])
        waiter.set_result(7)
        self.assertEqual(self.log, [7, "end"])
        self.assertTrue(fiber.is_done)
        waiter.set_result(8)
        self.assertEqual(self.log, [7, "end"])

    async def test_result_set_before_the_wait_does_not_suspend(self):
        waiter = Waiter()
        waiter.set_result(7)
        self.assertTrue(self.start(self.wait_for(waiter)).is_done)
        self.assertEqual(self.log, [7, "end"])

    async def test_error_is_raised_in_the_fiber(self):
        waiter = Waiter()
        self.start(self.wait_for(waiter))
        waiter.set_exception(ValueError("bad"))
        self.assertEqual(self.log, ["bad", "end"])

    async def test_unhandled_error_is_reported(self):
        waiter = Waiter()
        fiber = self.start(self.wait_for(waiter))
        waiter.set_exception(KeyError("bad"))
        self.assertTrue(fiber.is_done)
        self.assertIsInstance(self.errors[0], KeyError)

    async def test_futures_and_tasks_of_asyncio_can_be_awaited(self):
        async def later():
            await asyncio.sleep(0.01)
            return 5

        async def run():
            self.log.append(await asyncio.create_task(later()))
            await asyncio.sleep(0)
            self.log.append(current_fiber() is not None)

        fiber = self.start(run())
        while not fiber.is_done:  # noqa: ASYNC110
            await asyncio.sleep(0.005)
        self.assertEqual((self.log, self.errors), ([5, True], []))

    @params("waiter", "future", "task")
    async def test_cancellation_is_delivered_once(self, kind):
        awaitables = {
            "waiter": Waiter(),
            "future": asyncio.get_running_loop().create_future(),
            "task": asyncio.create_task(asyncio.sleep(5)),
        }
        fiber = self.start(self.wait_for(awaitables[kind]))
        fiber.cancel()
        fiber.cancel()
        self.assertEqual(self.log, ["cancelled", "end"])
        if kind != "task":
            with contextlib.suppress(asyncio.InvalidStateError):
                awaitables[kind].set_result(1)
        await asyncio.sleep(0.01)
        self.assertEqual(self.log, ["cancelled", "end"])

    async def test_cancellation_racing_with_a_result_is_delivered_once(self):
        future = asyncio.get_running_loop().create_future()
        second = Waiter()

        async def run():
            try:
                await future
            except asyncio.CancelledError:
                self.log.append("cancelled")
                self.log.append(await second)

        fiber = self.start(run())
        future.set_result(1)
        fiber.cancel()
        await asyncio.sleep(0.01)
        self.assertEqual((self.log, self.errors), (["cancelled"], []))
        second.set_result(2)
        self.assertEqual((self.log, fiber.is_done), (["cancelled", 2], True))

    async def test_fiber_that_cancels_itself_ends_at_its_next_wait(self):
        waiter = Waiter()

        async def run():
            current_fiber().cancel()
            self.log.append("still runs")
            await self.wait_for(waiter)

        self.start(run())
        self.assertEqual(self.log, ["still runs", "cancelled", "end"])
        waiter.set_result(1)
        self.assertEqual(len(self.log), 3)

    async def test_current_fiber_is_restored_after_a_nested_resume(self):
        first, second = Waiter(), Waiter()

        async def outer():
            own_fiber = current_fiber()
            await first
            second.set_result(2)
            self.log.append(current_fiber() is own_fiber)

        self.start(outer())
        self.start(self.wait_for(second))
        first.set_result(1)
        self.assertEqual(self.log, [2, "end", True])
        self.assertIsNone(current_fiber())

    async def test_task_can_wait_for_a_waiter(self):
        waiter = Waiter()
        task = asyncio.create_task(self.wait_for(waiter))
        await asyncio.sleep(0)
        waiter.set_result(3)
        await task
        self.assertEqual(self.log, [3, "end"])

    @params((0.01, "expired"), (1.0, 7))
    async def test_deadline_cancels_a_fiber(self, delay_s, expected):
        waiter = Waiter()

        async def run():
            deadline = Deadline(asyncio.get_running_loop(), delay_s)
            try:
                self.log.append(await waiter)
            except asyncio.CancelledError:
                self.assertTrue(deadline.is_expired())
                self.log.append("expired")
            finally:
                deadline.close()

        self.start(run())
        await asyncio.sleep(0.03)
        waiter.set_result(7)
        self.assertEqual((self.log, self.errors), ([expected], []))


class Body:
    """Large object of a request."""


class MemoryTests(unittest.IsolatedAsyncioTestCase):
    """Guards against failed requests that stay in memory until a collection."""

    def setUp(self):
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)

    @params("fails", "fails when awaited late", "cancelled", "handled", "unhandled")
    async def test_fiber_that_failed_frees_its_objects_at_once(self, end):
        waiter = Waiter()
        body = Body()
        reference = weakref.ref(body)

        async def exchange(body):
            try:
                return await waiter
            finally:
                self.assertIsInstance(body, Body)

        async def run(body):
            try:
                await exchange(body)
            except asyncio.CancelledError:
                if end != "handled":
                    raise
            except ValueError as error:
                if end == "unhandled":
                    raise RuntimeError("expected by the test") from error

        if end == "fails when awaited late":
            waiter.set_exception(ValueError("bad"))
        fiber = Fiber(run(body), lambda error: None)
        del body
        if end in ("cancelled", "handled"):
            fiber.cancel()
        else:
            waiter.set_exception(ValueError("bad"))
        self.assertTrue(fiber.is_done)
        del fiber
        self.assertIsNone(reference())
