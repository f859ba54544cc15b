"""The live entries of the cluster, as seen from this one."""

from cassiahaven_core.edge import Vm, VmRole
from cassiahaven_core.peer_message import PeerMessage
from cassiahaven_core.steering import EntryAddress, EntrySet, active_size, choose_entry_set
from cassiahaven_entry.peer_handler import PeerHandler
from cassiahaven_entry.peer_link import PeerLink
from cassiahaven_entry.supervisor import spawn_supervised


class Members:
    """Manage the links to all other entries.

    Args:
        name: Name of this entry's VM.
        cluster: Name of the cluster.
        key: Shared key of the peer links.
        handler: Handler of the peers' messages.
    """

    def __init__(self, name: str, *, cluster: str, key: str, handler: PeerHandler) -> None:
        self.link_by_name: dict[str, PeerLink] = {}
        self._name = name
        self._cluster = cluster
        self._key = key
        self._handler = handler

    def set_vms(self, vms: list[Vm]) -> None:
        """Open links to newly listed entries; close links to entries that left the list."""
        url_by_name = {
            vm.name: f"ws://{vm.host}:{vm.port}"
            for vm in vms
            if vm.role is VmRole.ENTRY and vm.name != self._name
        }
        for name, link in list(self.link_by_name.items()):
            # The VM list lags, so an unlisted entry stays a member while it is live.
            if url_by_name.get(name) != link.url and not (name not in url_by_name and link.is_live):
                self.link_by_name.pop(name).close()
        for name, url in url_by_name.items():
            if name not in self.link_by_name:
                self._open(name, url)

    def live_entries(self, own: EntryAddress) -> list[EntryAddress]:
        """Return this entry and all live peers."""
        peers = [link.entry for link in self.link_by_name.values() if link.is_live and link.entry]
        return [own, *peers]

    def link_to_process(self, process: str) -> PeerLink | None:
        """Return the link to the live entry process of this name."""
        for link in self.link_by_name.values():
            if link.is_live and link.entry is not None and link.entry.process == process:
                return link
        return None

    def entry_set(
        self,
        service: str,
        availability_zone: str,
        own: EntryAddress,
        own_demand_per_s: float,
        *,
        entry_capacity_per_s: float,
    ) -> EntrySet:
        """Return the entries that callers in an availability zone use for a service."""
        demand = own_demand_per_s if own.availability_zone == availability_zone else 0.0
        for link in self.link_by_name.values():
            if link.is_live and link.entry and link.entry.availability_zone == availability_zone:
                demand += link.demand_by_service.get(service, 0.0)
        active = active_size(demand, entry_capacity_per_s=entry_capacity_per_s)
        entries = self.live_entries(own)
        return choose_entry_set(service, availability_zone, entries, active=active)

    def send_to_one(self, message: PeerMessage) -> bool:
        """Send ``message`` to any one live peer; return whether it was sent."""
        return any(link.is_live and link.send(message) for link in self.link_by_name.values())

    def close(self) -> None:
        """Close all links."""
        for link in self.link_by_name.values():
            link.close()

    def _open(self, name: str, url: str) -> None:
        link = PeerLink(name, url, cluster=self._cluster, key=self._key, handler=self._handler)
        self.link_by_name[name] = link
        spawn_supervised(f"link to {name}", link.run)
