#!/bin/bash
# Builds what the scripts of the second review (6 and up) start beside the deploy file's own build: nothing. Their stand-ins are in
# parts_2.py and the folders of the cases, and need only Python's standard library.
set -euo pipefail
python3 -c 'import asyncio, base64, json, socket, subprocess, sys; assert sys.version_info >= (3, 9), sys.version'
