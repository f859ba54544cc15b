"""Run all benchmarks and print one JSON line per result.

Pass ``slopes``, ``hop``, ``control``, ``traffic``, ``policy`` or ``scarcity`` as arguments to run
only those.
"""

import json
import sys
import warnings
from collections.abc import Callable, Iterator
from typing import Any

warnings.filterwarnings("ignore", message="(?s).*Eventlet is deprecated.*")

from benchmarks import control, hop, peer_traffic, scarcity, scenarios, slopes

SECTIONS: dict[str, Callable[[], Iterator[dict[str, Any]]]] = {
    "slopes": slopes.measure,
    "hop": hop.measure,
    "control": control.measure,
    "traffic": peer_traffic.measure,
    "policy": scenarios.run_all,
    "scarcity": scarcity.measure,
}


def main() -> None:
    """Run the sections named on the command line, or all of them."""
    for name in sys.argv[1:] or SECTIONS:
        for figure in SECTIONS[name]():
            print(json.dumps(figure), flush=True)


if __name__ == "__main__":
    main()
