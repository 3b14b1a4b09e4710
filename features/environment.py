"""Puts this folder on the import path, so that steps can import ``fakes``."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent))
