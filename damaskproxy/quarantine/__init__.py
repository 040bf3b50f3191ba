"""Protection of backend servers against poison requests."""

from damaskproxy.quarantine.quarantine import Quarantine, SuspectPermit
from damaskproxy.quarantine.records import QuarantineRecord
from damaskproxy.quarantine.settings import QuarantineSettings

__all__ = ["Quarantine", "QuarantineRecord", "QuarantineSettings", "SuspectPermit"]
