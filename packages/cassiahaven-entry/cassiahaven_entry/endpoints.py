"""Endpoints of the services, from the VM list and drain notices."""

from collections.abc import Callable

import eventlet

from cassiahaven_core.edge import Vm, VmList, VmListUnavailable, VmRole
from cassiahaven_core.endpoint_address import EndpointAddress
from cassiahaven_core.peer_message import DrainNotice
from cassiahaven_core.settings import Settings
from cassiahaven_entry.clock import MS_PER_S
from cassiahaven_entry.drains import Drains
from cassiahaven_entry.event import LogEvent, log
from cassiahaven_entry.service_task import ServiceTask

VM_LIST_INTERVAL_MS = 500.0


class Endpoints:
    """Poll the VM list and apply it and the drain notices to the services' endpoints.

    Args:
        settings: Settings of the entry.
        vm_list: The platform's VM list.
        task_by_service: The task of each service, which owns its policy.
        on_vms: Called with the VMs of each successful poll.
        on_drain: Called with each new drain notice.
    """

    def __init__(
        self,
        settings: Settings,
        vm_list: VmList,
        task_by_service: dict[str, ServiceTask],
        *,
        on_vms: Callable[[list[Vm]], None],
        on_drain: Callable[[DrainNotice], None],
    ) -> None:
        self.drains = Drains()
        self._settings = settings
        self._vm_list = vm_list
        self._task_by_service = task_by_service
        self._on_vms = on_vms
        self._on_drain = on_drain
        self._is_available = True

    def run(self) -> None:
        """Poll the VM list forever; while it is unavailable, the last answer stays in use."""
        while True:
            self.poll()
            eventlet.sleep(VM_LIST_INTERVAL_MS / MS_PER_S)

    def poll(self) -> None:
        """Poll the VM list once and apply its answer."""
        try:
            vms = self._vm_list.fetch()
        except VmListUnavailable as error:
            if self._is_available:
                log(LogEvent.VM_LIST_UNAVAILABLE, error=str(error))
            self._is_available = False
            return
        self._is_available = True
        self._apply_vms(vms)

    def record_drain(self, notice: DrainNotice) -> None:
        """Stop dispatching to a draining endpoint and report each notice once."""
        if self.drains.add(notice):
            self._apply_drain(notice)
            self._on_drain(notice)

    def _apply_vms(self, vms: list[Vm]) -> None:
        upstreams = [vm for vm in vms if vm.role is VmRole.UPSTREAM]
        for name, task in self._task_by_service.items():
            task.set_endpoints([self._address(vm) for vm in upstreams if vm.service == name])
        for vm in upstreams:
            if vm.leaving:
                self.record_drain(DrainNotice(vm.service, vm.name, vm.incarnation, "VM list"))
        for notice in self.drains.notices():
            self._apply_drain(notice)
        self._on_vms(vms)

    def _apply_drain(self, notice: DrainNotice) -> None:
        task = self._task_by_service.get(notice.service)
        if task is not None:
            task.drain(notice.endpoint, notice.incarnation, notice.reason)

    def _address(self, vm: Vm) -> EndpointAddress:
        zone = self._settings.zone_by_name.get(vm.availability_zone)
        is_near = vm.availability_zone == self._settings.entry.availability_zone
        distance_ms = 0.0 if is_near or zone is None else zone.distance_ms
        return EndpointAddress(
            vm.name, vm.incarnation, vm.availability_zone, vm.host, vm.port, vm.slots, distance_ms
        )
