"""Case 8: an entry that stops goes on reading requests, and breaks them off as it exits."""

import os
import sys
import traceback
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1] / "target" / "review-2"))
COULD_NOT_RUN = 2

if __name__ == "__main__":
    try:
        from planned_stop import run_stop

        result = run_stop(FOLDER / "record.txt", has_trouble=os.environ.get("TROUBLE") != "0")
    except Exception:
        traceback.print_exc()
        result = COULD_NOT_RUN
    sys.exit(result)
