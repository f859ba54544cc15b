"""HTTP client of the platform's VM list."""

import json

import urllib3

from cassiahaven_core.edge import Vm, VmList, VmListUnavailable, VmRole
from cassiahaven_entry._connection import whole_response_pools

CALL_TIMEOUT_S = 1.0


class HttpVmList(VmList):
    """Client of the VM list at ``url``."""

    def __init__(self, url: str) -> None:
        self._url = url
        self._http = whole_response_pools(retries=False)

    def fetch(self) -> list[Vm]:
        """Return the listed VMs."""
        try:
            response = self._http.request("GET", f"{self._url}/vms", timeout=CALL_TIMEOUT_S)
            if response.status != 200:
                raise VmListUnavailable(f"status {response.status}")
            return [vm_from_plain(item) for item in json.loads(response.data)]
        except urllib3.exceptions.HTTPError as error:
            raise VmListUnavailable(str(error)) from None
        except (ValueError, TypeError, KeyError) as error:
            raise VmListUnavailable(f"malformed answer: {error}") from None


def vm_from_plain(plain: dict) -> Vm:
    """Return the VM that the mapping ``plain`` describes."""
    return Vm(**{**plain, "role": VmRole(plain["role"])})
