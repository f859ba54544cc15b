"""Probes of upstreams over HTTP."""

import urllib3

from cassiahaven_core.edge import UpstreamProbe
from cassiahaven_core.endpoint_address import EndpointAddress
from cassiahaven_entry._connection import WholeResponsePool

PROBE_TIMEOUT_S = 0.5
PROBE_PATH = "/health"


class HttpProbe(UpstreamProbe):
    """Probe an upstream's health path over a new connection."""

    def probe(self, address: EndpointAddress) -> bool:
        """Return whether the endpoint reports that it is healthy."""
        pool = WholeResponsePool(address.host, address.port, maxsize=1, retries=False)
        try:
            response = pool.urlopen("GET", PROBE_PATH, retries=False, timeout=PROBE_TIMEOUT_S)
        except urllib3.exceptions.HTTPError:
            return False
        finally:
            pool.close()
        return response.status == 200
