"""nose2 plugin that awaits parameterised coroutine tests.

`nose2.tools.params` wraps each row of a coroutine test in a plain function. unittest
then does not recognise the coroutine, never awaits it and counts the row as passed.
"""

import functools
import inspect

from nose2 import events
from nose2.plugins.loader.parameters import Parameters

__all__ = ["AsyncRows", "await_rows"]


def _as_coroutine(row, method):
    """Return `row` as a coroutine function."""

    @functools.wraps(method)
    async def run(self):
        return await row(self)

    del run.paramList
    return run


def await_rows(generate):
    """Wrap `Parameters._generate` so that rows of coroutine tests are awaited."""

    @functools.wraps(generate)
    def _generate(self, event, name, method, test_case_class):
        names = generate(self, event, name, method, test_case_class)
        if inspect.iscoroutinefunction(method):
            for row_name in names:
                row = getattr(test_case_class, row_name)
                if not inspect.iscoroutinefunction(row):
                    setattr(test_case_class, row_name, _as_coroutine(row, method))
        return names

    return _generate


class AsyncRows(events.Plugin):
    """Patches the loader of parameterised tests when nose2 starts."""

    alwaysOn = True
    configSection = "async-rows"

    def __init__(self):
        if not hasattr(Parameters._generate, "__wrapped__"):
            Parameters._generate = await_rows(Parameters._generate)
