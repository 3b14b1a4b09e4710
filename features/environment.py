"""Makes the fakes beside the features importable for the steps."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent))
